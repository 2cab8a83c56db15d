// All calls into the core pass through one queue and run in one fiber, so that hooks may
// suspend and never run inside a completion handler.
#include "pomelohead/distribution/distributor.h"

#include "pomelohead/distribution/peer_transport.h"
#include "pomelohead/runtime/fiber.h"

#include <deque>
#include <random>

namespace pomelohead::distribution {
namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::uint64_t milliseconds_since_1970()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

std::optional<milliseconds> age(const std::optional<time_point>& since, time_point now)
{
    if (!since) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *since);
}

core_options make_core_options(const distribution_options& options)
{
    core_options result = options.m_core;
    result.m_self = options.m_self;
    result.m_seeds = options.m_seeds;
    result.m_epoch = milliseconds_since_1970();
    return result;
}

// Runs posted functions in order in the fiber that calls run().
class work_queue {
public:
    void post(std::function<void()> work)
    {
        m_work.push_back(std::move(work));
        m_ready.set();
    }

    void close()
    {
        m_closed = true;
        m_ready.set();
    }

    void run()
    {
        while (!m_closed) {
            while (!m_work.empty() && !m_closed) {
                const std::function<void()> work = std::move(m_work.front());
                m_work.pop_front();
                work();
            }
            if (!m_closed) {
                m_ready.reset();
                m_ready.wait();
            }
        }
    }

private:
    std::deque<std::function<void()>> m_work;
    fiber_event m_ready;
    bool m_closed = false;
};

// Runs the callbacks of another timer_service in the queue's fiber.
class queued_timers final : public timer_service {
public:
    queued_timers(timer_service& timers, work_queue& queue) : m_timers(timers), m_queue(queue) {}

    [[nodiscard]] time_point now() const override { return m_timers.now(); }

    [[nodiscard]] timer_subscription after(duration delay, std::function<void()> callback) override
    {
        return wrap(std::move(callback), [&](std::function<void()> call) {
            return m_timers.after(delay, std::move(call));
        });
    }

    [[nodiscard]] timer_subscription every(duration period, std::function<void()> callback) override
    {
        return wrap(std::move(callback), [&](std::function<void()> call) {
            return m_timers.every(period, std::move(call));
        });
    }

private:
    template <class Subscribe>
    timer_subscription wrap(std::function<void()> callback, Subscribe subscribe)
    {
        auto cancelled = std::make_shared<bool>(false);
        auto inner = std::make_shared<timer_subscription>(
            subscribe([this, cancelled, callback = std::move(callback)] {
                m_queue.post([cancelled, callback] {
                    if (!*cancelled) {
                        callback();
                    }
                });
            }));
        return timer_subscription([cancelled, inner] {
            *cancelled = true;
            inner->cancel();
        });
    }

    timer_service& m_timers;
    work_queue& m_queue;
};

} // namespace

struct distributor::impl {
    impl(distribution_options options, timer_service& timers, boost::asio::io_context& io)
        : m_options(std::move(options)), m_timers(timers, m_queue),
          m_source(io, m_options.m_source),
          m_peers({.m_address = m_options.m_self.m_address, .m_port = m_options.m_control_port},
                  m_timers, io, make_transport_hooks()),
          m_core(make_core_options(m_options), m_timers, make_hooks(), random_seed())
    {
    }

    transport_hooks make_transport_hooks()
    {
        return {.m_make_hello = [this] { return m_core.make_hello(); },
                .m_receive =
                    [this](const std::string& from, message item) {
                        m_queue.post(
                            [this, from, item = std::move(item)] { m_core.receive(from, item); });
                    },
                .m_failed =
                    [this](const std::string& address) {
                        m_queue.post([this, address] { m_core.connection_failed(address); });
                    },
                .m_log = make_log_hook()};
    }

    log_hook make_log_hook()
    {
        return [this](log_level level, std::string_view event, const std::string& text) {
            if (m_options.m_log) {
                m_options.m_log(level, event, text);
            }
        };
    }

    core_hooks make_hooks()
    {
        return {
            .m_read =
                [this](const source::read_request& request,
                       std::function<void(source::read_result)> done) {
                    m_fibers.spawn([this, request, done = std::move(done)] {
                        m_queue.post([done, answer = m_source.read(request)] { done(answer); });
                    });
                },
            .m_send = [this](const std::string& address,
                             const message& item) { m_peers.send(address, item); },
            .m_applied = [this](const config::snapshot_ptr& config) { run_applied_hooks(config); },
            .m_resumed = [this](duration frozen) { run_resume_hooks(frozen); },
            .m_log = make_log_hook()};
    }

    void run_applied_hooks(const config::snapshot_ptr& config)
    {
        m_applied_at = m_timers.now();
        for (const auto& hook : m_applied_hooks) {
            hook(config);
        }
    }

    void run_resume_hooks(duration frozen)
    {
        for (const auto& hook : m_resume_hooks) {
            hook(frozen);
        }
    }

    distribution_options m_options;
    work_queue m_queue;
    queued_timers m_timers;
    source::source_client m_source;
    peer_transport m_peers;
    core m_core;
    fiber_group m_fibers;
    std::vector<std::function<void(config::snapshot_ptr)>> m_applied_hooks;
    std::vector<std::function<void(duration)>> m_resume_hooks;
    std::optional<time_point> m_applied_at;
};

distributor::distributor(distribution_options options, timer_service& timers,
                         boost::asio::io_context& io)
    : m_impl(std::make_unique<impl>(std::move(options), timers, io))
{
}

distributor::~distributor() = default;

bool distributor::start(reason& why)
{
    m_impl->m_peers.block(m_impl->m_options.m_blocked_peers);
    if (m_impl->m_options.m_core.m_gossip_enabled && !m_impl->m_peers.start(why)) {
        return false;
    }
    m_impl->m_fibers.spawn([this] { m_impl->m_queue.run(); });
    m_impl->m_queue.post([this] { m_impl->m_core.start(); });
    return true;
}

bool distributor::start()
{
    reason unused;
    return start(unused);
}

void distributor::stop()
{
    m_impl->m_core.stop();
    m_impl->m_queue.close();
    m_impl->m_source.cancel();
    m_impl->m_peers.stop();
    m_impl->m_fibers.wait();
}

config::snapshot_ptr distributor::current() const
{
    return m_impl->m_core.versions().gate().current();
}

void distributor::on_applied(std::function<void(config::snapshot_ptr)> hook)
{
    m_impl->m_applied_hooks.push_back(std::move(hook));
}

void distributor::on_resumed(std::function<void(duration)> hook)
{
    m_impl->m_resume_hooks.push_back(std::move(hook));
}

std::vector<membership::member> distributor::members() const
{
    return m_impl->m_core.members();
}

void distributor::announce_leaving()
{
    m_impl->m_queue.post([this] { m_impl->m_core.announce_leaving(); });
}

void distributor::set_blocked_peers(std::vector<std::string> addresses)
{
    m_impl->m_peers.block(std::move(addresses));
}

distribution_status distributor::status() const
{
    const core& node = m_impl->m_core;
    const time_point now = m_impl->m_timers.now();
    distribution_status result;
    result.m_version = node.versions().gate().version_in_force().m_version;
    result.m_manifest_hash = node.versions().gate().version_in_force().m_manifest_hash;
    result.m_in_force_for = age(m_impl->m_applied_at, now);
    result.m_source = node.reader().status();
    result.m_source_contact_age = age(node.reader().status().m_last_contact, now);
    result.m_config_age = age(node.source_confirmed_at(), now);
    result.m_last_refusal = node.versions().gate().last_refusal();
    result.m_highest_claimed_version = node.versions().highest_claimed_version();
    result.m_incarnation = node.peers().table().self().m_incarnation;
    result.m_joined = node.is_joined();
    if (node.last_freeze()) {
        result.m_last_freeze = std::chrono::duration_cast<milliseconds>(*node.last_freeze());
    }
    result.m_confirmed = !node.peers().is_unconfirmed();
    result.m_superseded = node.peers().is_superseded();
    result.m_link_count = m_impl->m_peers.link_count();
    result.m_bytes_sent = m_impl->m_source.bytes_sent() + m_impl->m_peers.bytes_sent();
    result.m_bytes_received = m_impl->m_source.bytes_received() + m_impl->m_peers.bytes_received();
    result.m_source_bytes = m_impl->m_source.bytes_sent() + m_impl->m_source.bytes_received();
    result.m_messages = m_impl->m_peers.messages();
    return result;
}

} // namespace pomelohead::distribution
