#include "testing/fake_fleet.h"

#include "testing/freezable_timers.h"

#include <algorithm>
#include <deque>

namespace pomelohead::testing {
namespace {

using config::bundle;
using distribution::core;
using distribution::message;

constexpr milliseconds min_delay{1};
constexpr std::size_t seeds_per_domain = 2;
constexpr std::size_t ring_seed_count = 3;

config::snapshot sample_snapshot(config::version_number version, const std::string& salt)
{
    config::snapshot result;
    result.m_version = version;
    result.m_routes = {{.m_name = "rota",
                        .m_account = "gwynedd" + salt,
                        .m_method = "GET",
                        .m_path_prefix = "/rota",
                        .m_service = "rota",
                        .m_idempotent = true,
                        .m_deadline = milliseconds(500 + version)}};
    result.m_services = {{"rota",
                          {{.m_name = "rota-1",
                            .m_service = "rota",
                            .m_host = "10.0.0.1",
                            .m_port = 7100,
                            .m_failure_domain = "bala",
                            .m_slots = 9,
                            .m_connections = 110}}}};
    return result;
}

} // namespace

bundle sample_bundle(config::version_number version, const std::string& salt)
{
    return config::make_bundle(sample_snapshot(version, salt));
}

bundle invalid_bundle(config::version_number version)
{
    config::snapshot result = sample_snapshot(version, {});
    result.m_routes[0].m_service = "nowhere";
    return config::make_bundle(result);
}

struct fake_fleet::host {
    distribution::node_identity m_identity;
    std::unique_ptr<freezable_timers> m_timers;
    std::unique_ptr<core> m_core; ///< null while the node is dead
    bool m_frozen = false;
    std::deque<std::function<void()>> m_buffered_input; ///< while frozen
    fake_source* m_source = nullptr;
    std::uint64_t m_incarnation = 0;
    config::version_number m_last_applied = 0;
};

fake_fleet::fake_fleet(std::uint64_t seed) : m_random(seed), m_source(m_timers)
{
}

fake_fleet::~fake_fleet() = default;

void fake_fleet::run_after(duration delay, std::function<void()> work)
{
    const std::uint64_t id = m_next_timer_id++;
    m_pending_timers[id] = m_timers.after(delay, [this, id, work = std::move(work)] {
        const timer_subscription ended = std::move(m_pending_timers[id]);
        m_pending_timers.erase(id);
        work();
    });
}

std::vector<std::string> fake_fleet::add_domain(const std::string& failure_domain,
                                                std::size_t count)
{
    std::vector<std::string> added;
    for (std::size_t i = 1; i <= count; ++i) {
        auto item = std::make_unique<host>();
        const std::string address = "10.0." + std::to_string(m_domains) + "." + std::to_string(i);
        item->m_identity = {failure_domain + "-" + std::to_string(i), address, "gwynedd",
                            failure_domain};
        item->m_source = &m_source;
        m_hosts[address] = std::move(item);
        added.push_back(address);
    }
    ++m_domains;
    for (const std::string& address : added) {
        start(address);
    }
    return added;
}

std::vector<std::string> fake_fleet::seed_addresses(const std::string& address) const
{
    std::vector<std::string> seeds;
    if (m_ring_seeds) {
        auto next = m_hosts.find(address);
        for (std::size_t i = 0; i < ring_seed_count; ++i) {
            next = std::next(next) == m_hosts.end() ? m_hosts.begin() : std::next(next);
            seeds.push_back(next->first);
        }
        return seeds;
    }
    for (const auto& [seed_address, other] : m_hosts) {
        const std::string number = seed_address.substr(seed_address.rfind('.') + 1);
        if (std::stoul(number) <= seeds_per_domain) {
            seeds.push_back(seed_address);
        }
    }
    return seeds;
}

void fake_fleet::start(const std::string& address)
{
    host& at = *m_hosts.at(address);
    ++at.m_incarnation;
    at.m_last_applied = 0;
    at.m_frozen = false;
    at.m_buffered_input.clear();
    at.m_timers = std::make_unique<freezable_timers>(m_timers);
    distribution::core_options options;
    options.m_self = at.m_identity;
    options.m_epoch = m_epoch++;
    options.m_seeds = seed_addresses(address);
    const std::uint64_t incarnation = at.m_incarnation;
    at.m_core = std::make_unique<core>(
        options, *at.m_timers,
        distribution::core_hooks{
            .m_read =
                [this, &at, incarnation](const source::read_request& request,
                                         const std::function<void(source::read_result)>& done) {
                    if (at.m_source == nullptr) {
                        run_after(min_delay, [&at, incarnation, done] {
                            if (at.m_incarnation == incarnation && at.m_core) {
                                done({source::read_status::failed,
                                      0,
                                      {},
                                      {reason_code::unreachable, "cut"}});
                            }
                        });
                        return;
                    }
                    // An answer that comes after a cut from the source is lost.
                    at.m_source->read(request, [&at, incarnation, done, asked = at.m_source](
                                                   const source::read_result& answer) {
                        const source::read_result arriving =
                            at.m_source == asked
                                ? answer
                                : source::read_result{source::read_status::failed,
                                                      0,
                                                      {},
                                                      {reason_code::interrupted, "cut"}};
                        if (at.m_incarnation != incarnation || !at.m_core) {
                            return;
                        }
                        if (at.m_frozen) {
                            at.m_buffered_input.push_back([done, arriving] { done(arriving); });
                        }
                        else {
                            done(arriving);
                        }
                    });
                },
            .m_send = [this, address](const std::string& to,
                                      const message& item) { send(address, to, item); },
            .m_applied = [this,
                          &at](const config::snapshot_ptr& config) { check_applied(at, config); },
            .m_resumed = {},
            .m_log = [](distribution::log_level, std::string_view, const std::string&) {}},
        m_random());
    at.m_core->start();
}

void fake_fleet::kill(const std::string& address)
{
    host& at = *m_hosts.at(address);
    ++at.m_incarnation;
    at.m_core.reset();
    at.m_buffered_input.clear();
    std::erase_if(m_hello_sent, [&](const auto& pair) {
        return pair.first == address || pair.second == address;
    });
}

void fake_fleet::freeze(const std::string& address)
{
    host& at = *m_hosts.at(address);
    at.m_frozen = true;
    at.m_timers->freeze();
}

void fake_fleet::thaw(const std::string& address)
{
    host& at = *m_hosts.at(address);
    at.m_frozen = false;
    // Buffered input is processed before the first timer runs, the harder order.
    const auto arrived = std::exchange(at.m_buffered_input, {});
    for (const auto& work : arrived) {
        work();
    }
    at.m_timers->thaw();
}

void fake_fleet::cut_one_way(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    for (const std::string& from : a) {
        for (const std::string& to : b) {
            m_cuts.insert({from, to});
        }
    }
}

void fake_fleet::cut(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    cut_one_way(a, b);
    cut_one_way(b, a);
}

void fake_fleet::heal()
{
    m_cuts.clear();
}

void fake_fleet::set_source(const std::vector<std::string>& addresses, fake_source* source)
{
    for (const std::string& address : addresses) {
        m_hosts.at(address)->m_source = source;
    }
}

void fake_fleet::know(const bundle& bundle)
{
    reason why;
    if (const auto opened = config::open_bundle(bundle.m_manifest, bundle.m_sections, why)) {
        m_published[{opened->m_version, opened->m_manifest_hash}] = *opened;
    }
}

void fake_fleet::publish(config::version_number version, const std::string& salt)
{
    const bundle published = sample_bundle(version, salt);
    know(published);
    m_source.publish(published);
}

void fake_fleet::check_applied(host& at, const config::snapshot_ptr& config)
{
    if (config->m_version <= at.m_last_applied) {
        m_invariant_violations.push_back(at.m_identity.m_node + " went from " +
                                         std::to_string(at.m_last_applied) + " to " +
                                         std::to_string(config->m_version));
    }
    at.m_last_applied = config->m_version;
    const auto it = m_published.find({config->m_version, config->m_manifest_hash});
    if (it == m_published.end() || it->second != *config) {
        m_invariant_violations.push_back(at.m_identity.m_node +
                                         " put in force what was not published as " +
                                         std::to_string(config->m_version));
    }
}

void fake_fleet::send_hello(const std::string& from, const std::string& to)
{
    if (m_hello_sent.insert({from, to}).second) {
        deliver(from, to, distribution::encode(m_hosts.at(from)->m_core->make_hello()));
    }
}

void fake_fleet::send(const std::string& from, const std::string& to, const message& item)
{
    const auto target = m_hosts.find(to);
    if (target == m_hosts.end() || !target->second->m_core) {
        run_after(min_delay, [this, from, to] {
            if (host& at = *m_hosts.at(from); at.m_core && !at.m_frozen) {
                at.m_core->connection_failed(to);
            }
        });
        return;
    }
    send_hello(from, to);
    send_hello(to, from);
    deliver(from, to, distribution::encode(item));
}

void fake_fleet::inject(const std::string& from, const std::string& to, const message& item)
{
    deliver(from, to, distribution::encode(item));
}

void fake_fleet::deliver(const std::string& from, const std::string& to, const std::string& bytes)
{
    m_bytes += bytes.size();
    if (m_cuts.contains({from, to})) {
        return;
    }
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss) {
        return;
    }
    // Random delays reorder messages.
    const duration delay =
        min_delay +
        duration(std::uniform_int_distribution<duration::rep>(0, m_max_delay.count())(m_random));
    const std::uint64_t incarnation = m_hosts.at(to)->m_incarnation;
    run_after(delay, [this, from, to, bytes, incarnation] {
        host& at = *m_hosts.at(to);
        if (at.m_incarnation != incarnation || !at.m_core) {
            return;
        }
        reason why;
        const auto item = distribution::decode(bytes, why);
        if (!item) {
            m_invariant_violations.push_back("unreadable message: " + why.m_text);
            return;
        }
        if (at.m_frozen) {
            at.m_buffered_input.push_back([&at, from, item] { at.m_core->receive(from, *item); });
        }
        else {
            at.m_core->receive(from, *item);
        }
    });
}

std::optional<duration> fake_fleet::run_until_all_hold(config::version_number version,
                                                       duration limit)
{
    constexpr milliseconds step{50};
    for (duration passed{}; passed <= limit; passed += step) {
        if (all_hold(version)) {
            return passed;
        }
        run(step);
    }
    return std::nullopt;
}

bool fake_fleet::all_hold(config::version_number version) const
{
    return std::ranges::all_of(m_hosts, [&](const auto& entry) {
        return !entry.second->m_core ||
               entry.second->m_core->versions().gate().version_in_force().m_version == version;
    });
}

config::version_number fake_fleet::version_of(const std::string& address) const
{
    return m_hosts.at(address)->m_core->versions().gate().version_in_force().m_version;
}

core& fake_fleet::node(const std::string& address)
{
    return *m_hosts.at(address)->m_core;
}

std::size_t fake_fleet::watchers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [](const auto& entry) {
        return entry.second->m_core && entry.second->m_core->reader().status().m_watching;
    }));
}

std::vector<std::string> fake_fleet::addresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, unused] : m_hosts) {
        result.push_back(address);
    }
    return result;
}

} // namespace pomelohead::testing
