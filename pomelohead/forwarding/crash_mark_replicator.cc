// Marks merge as sets (outcome/quarantine.h), so messages may be lost, duplicated or delayed. Every
// message carries the complete digest, which is usually empty, and is answered with what the sender
// lacks.
#include "pomelohead/forwarding/crash_mark_replicator.h"

#include "pomelohead/forwarding/connection_pool.h"
#include "pomelohead/membership/overlay.h"
#include "pomelohead/outcome/mark_codec.h"
#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>

namespace pomelohead::forwarding {
namespace {

constexpr std::size_t max_message_bytes = 512UL * 1024UL;
constexpr duration receive_timeout = std::chrono::seconds(2);
constexpr unsigned status_ok = 200;
constexpr unsigned status_malformed = 400;
constexpr unsigned status_learning = 503;

// Other nodes that hold the marks of a service at least, so that they outlive two processes that
// end at once.
constexpr std::size_t min_other_holders = 3;

// How many holders a node asks at once, and in all. Where half of a fleet restarts at once, twelve
// drawn at random have all restarted in one of 4,000 cases.
constexpr std::size_t asked_at_once = 3;
constexpr std::size_t max_asked = 12;

template <class Reader>
body_state read_bounded(Reader& reader, std::string& bytes, time_point deadline, reason& why)
{
    std::string piece;
    body_state state = reader.done() ? body_state::end : body_state::more;
    while (state == body_state::more && bytes.size() <= max_message_bytes) {
        state = reader.read_body(piece, max_piece_bytes, deadline, why);
        bytes += piece;
    }
    return state;
}

} // namespace

std::string_view to_string(mark_knowledge value)
{
    switch (value) {
    case mark_knowledge::learning:
        return "learning";
    case mark_knowledge::assumed:
        return "assumed";
    case mark_knowledge::complete:
        return "complete";
    }
    return "complete";
}

crash_mark_replicator::crash_mark_replicator(boost::asio::io_context& io, timer_service& timers,
                                             crash_mark_replicator_options options,
                                             std::function<config::snapshot_ptr()> config,
                                             outcome::quarantine& quarantine)
    : m_io(io), m_timers(timers), m_options(std::move(options)), m_config(std::move(config)),
      m_quarantine(quarantine), m_random(m_options.m_seed)
{
}

void crash_mark_replicator::start()
{
    m_anti_entropy_timer =
        m_timers.every(m_options.m_anti_entropy_period, [this] { run_anti_entropy(); });
}

void crash_mark_replicator::apply(const config::snapshot& config)
{
    for (const config::service& service : config.m_services) {
        const bool is_owned = std::ranges::find(service.m_targets, m_options.m_self.m_address,
                                                &config::target::m_host) != service.m_targets.end();
        service_state& state = m_services[service.m_name];
        if (std::exchange(state.m_is_owned, is_owned) || !is_owned ||
            state.m_knowledge == mark_knowledge::learning) {
            continue;
        }
        state.m_learned = std::make_shared<fiber_event>();
        // Without memory for fibers the node goes on, and the anti-entropy asks later.
        state.m_knowledge = mark_knowledge::assumed;
        if (can_start_fibers(1 + asked_at_once)) {
            state.m_knowledge = mark_knowledge::learning;
            m_fibers.spawn([this, name = service.m_name] { learn(name); });
        }
    }
}

mark_knowledge crash_mark_replicator::knowledge(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() ? it->second.m_knowledge : mark_knowledge::complete;
}

void crash_mark_replicator::wait_until_learned(const std::string& service)
{
    const auto it = m_services.find(service);
    if (it != m_services.end() && it->second.m_knowledge == mark_knowledge::learning) {
        const auto learned = it->second.m_learned;
        learned->wait_for(m_options.m_learn_limit);
    }
}

void crash_mark_replicator::set_knowledge(const std::string& service, mark_knowledge value)
{
    service_state& state = m_services[service];
    state.m_knowledge = value;
    if (state.m_learned) {
        state.m_learned->set();
    }
}

void crash_mark_replicator::learn(const std::string& service)
{
    const time_point begun = m_timers.now();
    auto knowledge = mark_knowledge::assumed;
    guarded_call("crash_marks_failed", [&] { knowledge = ask_holders(service); });
    set_knowledge(service, knowledge);
    log_event(log_level::info, "crash_marks_learned",
              {{"service", service},
               {"knowledge", to_string(knowledge)},
               {"holders", other_holders(service).size()},
               {"marks", m_quarantine.digest(m_timers.now()).size()},
               {"ms", std::chrono::duration_cast<milliseconds>(m_timers.now() - begun).count()}});
}

// Asks the holders, a few at once, until one has told all its marks.
mark_knowledge crash_mark_replicator::ask_holders(const std::string& service)
{
    const time_point begun = m_timers.now();
    const std::set<std::string> holders = other_holders(service);
    std::vector<std::string> asked(holders.begin(), holders.end());
    std::ranges::shuffle(asked, m_random);
    asked.resize(std::min(asked.size(), max_asked));
    bool all_are_learning = asked.size() == holders.size();
    auto knowledge = mark_knowledge::assumed;
    auto next = asked.begin();
    while (next != asked.end() && knowledge != mark_knowledge::complete) {
        if (m_timers.now() - begun + m_options.m_push_timeout > m_options.m_learn_limit) {
            return mark_knowledge::assumed;
        }
        fiber_group calls;
        for (std::size_t i = 0; i < asked_at_once && next != asked.end(); ++i, ++next) {
            calls.spawn([&, address = *next] {
                const peer_answer answer = exchange_marks(address);
                all_are_learning = all_are_learning && answer == peer_answer::learning;
                if (answer == peer_answer::complete) {
                    knowledge = mark_knowledge::complete;
                    set_knowledge(service, knowledge); // without waiting for the others
                }
            });
        }
    }
    return all_are_learning ? mark_knowledge::complete : knowledge;
}

std::set<std::string> crash_mark_replicator::other_holders(const std::string& service) const
{
    std::set<std::string> addresses;
    const config::snapshot_ptr config = m_config();
    const config::service* found = config ? config->find_service(service) : nullptr;
    if (found == nullptr) {
        return addresses;
    }
    for (const config::target& target : found->m_targets) {
        addresses.insert(target.m_host);
    }
    addresses.erase(m_options.m_self.m_address);
    if (addresses.size() >= min_other_holders) {
        return addresses;
    }
    std::set<std::string> hosts;
    for (const config::service& item : config->m_services) {
        for (const config::target& target : item.m_targets) {
            hosts.insert(target.m_host);
        }
    }
    hosts.erase(m_options.m_self.m_address);
    for (const std::string& host :
         membership::sort_by_rendezvous_score({hosts.begin(), hosts.end()})) {
        if (addresses.size() < min_other_holders) {
            addresses.insert(host);
        }
    }
    return addresses;
}

void crash_mark_replicator::push_changes(const std::string& service)
{
    while (m_services[service].m_pushed_changes != m_services[service].m_changes) {
        // One push at a time; requests that failed together share it.
        if (const auto under_way = m_services[service].m_push_done) {
            under_way->wait();
        }
        else {
            push(service);
        }
    }
}

void crash_mark_replicator::push_changes_async(const std::string& service)
{
    mark_changed(service);
    m_fibers.spawn([this, service] { push_changes(service); });
}

void crash_mark_replicator::push(const std::string& service)
{
    const auto done = std::make_shared<fiber_event>();
    const std::uint64_t changes = m_services[service].m_changes;
    m_services[service].m_push_done = done;
    {
        fiber_group sends;
        for (const std::string& address : other_holders(service)) {
            sends.spawn([this, address] { exchange_marks(address); });
        }
    }
    m_services[service].m_pushed_changes = changes;
    m_services[service].m_push_done.reset();
    done->set();
}

// Sends all marks and merges those that the answer brings.
crash_mark_replicator::peer_answer crash_mark_replicator::exchange_marks(const std::string& address)
{
    const time_point deadline = clock_type::now() + m_options.m_push_timeout;
    reason why;
    const auto connection = connect(m_io, {address, m_options.m_self.m_port}, deadline, why);
    if (!connection) {
        return peer_answer::none;
    }
    const std::string body = outcome::encode_marks(m_quarantine.digest(m_timers.now()));
    http::header<true> head;
    head.method(http::verb::post);
    head.target(crash_marks_path);
    head.set(http::field::connection, "close");
    message_writer writer(connection->m_stream);
    response_reader reader(connection->m_stream, connection->m_buffer);
    std::string bytes;
    if (!writer.write_head(head, message_framing::of_length(body.size()), body, deadline, why) ||
        !reader.read_head({.m_first_byte = deadline}, why) ||
        read_bounded(reader, bytes, deadline, why) != body_state::end) {
        return peer_answer::none;
    }
    // A node of an earlier version answers without marks.
    const auto marks = outcome::decode_marks(bytes, why);
    if (!marks) {
        return peer_answer::none;
    }
    m_quarantine.merge(*marks, m_timers.now());
    return reader.head().result_int() == status_ok ? peer_answer::complete : peer_answer::learning;
}

void crash_mark_replicator::handle_push(server_exchange& exchange)
{
    const time_point deadline = clock_type::now() + receive_timeout;
    reason why;
    std::string bytes;
    std::string response;
    http::header<false> head;
    head.result(status_malformed);
    if (read_bounded(exchange.request(), bytes, deadline, why) == body_state::end) {
        if (const auto marks = outcome::decode_marks(bytes, why)) {
            const time_point now = m_timers.now();
            m_quarantine.merge(*marks, now);
            response = outcome::encode_marks(m_quarantine.missing_from(*marks, now));
            const bool is_learning = std::ranges::any_of(m_services, [](const auto& item) {
                return item.second.m_knowledge == mark_knowledge::learning;
            });
            head.result(is_learning ? status_learning : status_ok);
        }
    }
    else {
        exchange.close_after();
    }
    exchange.respond(head, response, deadline, why);
}

void crash_mark_replicator::run_anti_entropy()
{
    m_quarantine.expire(m_timers.now());
    std::set<std::string> peers;
    for (const auto& [service, state] : m_services) {
        if (!state.m_is_owned) {
            continue;
        }
        if (state.m_knowledge == mark_knowledge::assumed) {
            m_fibers.spawn([this, name = service] { learn(name); });
        }
        peers.merge(other_holders(service));
    }
    if (peers.empty() || m_quarantine.digest(m_timers.now(), 1).empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    const std::string address =
        *std::next(peers.begin(), static_cast<std::ptrdiff_t>(pick(m_random)));
    m_fibers.spawn([this, address] { exchange_marks(address); });
}

} // namespace pomelohead::forwarding
