#include "pomelohead/forwarding/owner_service.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/owner_exchange.h"
#include "pomelohead/forwarding/unanswered_request.h"
#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

#include <random>
#include <utility>

namespace pomelohead::forwarding {
namespace {

// What an entry adds to the head of its caller's request: names of the route, the account and the
// target, a ticket, a digest and figures.
constexpr std::size_t max_entry_header_bytes = 4UL * 1024UL;

// When a caller may come back to a node without memory for fibers; requests that end give theirs
// back, and most end within a second.
constexpr milliseconds unread_retry_hint{1000};

constexpr duration response_write_timeout = std::chrono::seconds(10);

std::string unread_response()
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + std::string(unread_header) + ": true\r\n" +
           std::string(retry_after_header) + ": " + std::to_string(unread_retry_hint.count()) +
           "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

std::uint64_t random_u64()
{
    static std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

owner_service::owner_service(boost::asio::io_context& io, timer_service& timers, metrics& stats,
                             owner_options options, owner_callbacks callbacks)
    : m_io(io), m_timers(timers), m_stats(stats), m_options(std::move(options)),
      m_callbacks(std::move(callbacks)), m_body_budget(m_options.m_max_buffered_bytes),
      m_quarantine(m_options.m_quarantine),
      m_crash_marks(io, timers, {.m_self = m_options.m_listen, .m_seed = m_options.m_incarnation},
                    m_callbacks.m_config, m_quarantine),
      m_ledger(m_options.m_tickets, m_options.m_listen.m_address, m_options.m_incarnation,
               random_u64),
      m_started(timers.now()), m_settled_version(m_options.m_settle_time.value_or(duration{})),
      m_server(io, m_options.m_listen,
               {.m_head = {},
                .m_on_left_unread = [this] { record_left_unread(m_stats, request_side::owner); },
                .m_unread_response = unread_response()},
               [this](server_exchange& e) { serve(e); })
{
}

owner_service::~owner_service()
{
    for (const auto& [name, target] : m_targets) {
        target->stop_queries();
    }
    m_health_queries.wait();
}

bool owner_service::start(reason& why)
{
    m_crash_marks.start();
    return m_server.start(why);
}

bool owner_service::release(const std::string& fingerprint)
{
    const bool released = m_quarantine.release(fingerprint, m_timers.now());
    if (released) {
        for (const auto& [name, target] : m_targets) {
            m_crash_marks.push_changes_async(target->target().m_service);
        }
    }
    return released;
}

void owner_service::apply(const config::snapshot& config)
{
    m_settled_version.record(config.m_version, m_timers.now());
    m_crash_marks.apply(config);
    const server_options defaults;
    m_server.set_limits(defaults.m_idle_limit,
                        config.m_limits.m_max_header_bytes + max_entry_header_bytes,
                        defaults.m_head.m_rest);
    m_host_share.clear();
    std::size_t targets = 0;
    for (const config::service& service : config.m_services) {
        targets += service.m_targets.size();
    }
    for (const config::service& service : config.m_services) {
        m_host_share[service.m_name] = static_cast<double>(service.m_targets.size()) /
                                       static_cast<double>(std::max<std::size_t>(targets, 1));
    }
    std::map<std::string, std::shared_ptr<owned_target>> retained;
    for (const config::service& service : config.m_services) {
        for (const config::target& target : service.m_targets) {
            if (target.m_host != m_options.m_listen.m_address) {
                continue;
            }
            const auto old = m_targets.find(target.m_name);
            const bool same_process = old != m_targets.end() &&
                                      old->second->target().m_port == target.m_port &&
                                      old->second->target().m_connections == target.m_connections;
            auto& slot = retained[target.m_name];
            slot = same_process ? old->second : make_target(target);
            slot->update(target, config.m_sheds,
                         {.m_rate = service.m_warm_up_rate,
                          .m_time = service.m_warm_up_time,
                          .m_health_path = service.m_health_path,
                          .m_is_evacuated = config.is_evacuated(target.m_failure_domain)});
        }
    }
    for (const auto& [name, target] : m_targets) {
        const auto now_owned = retained.find(name);
        if (now_owned == retained.end() || now_owned->second != target) {
            target->stop_queries();
        }
    }
    // Exchanges that still run on a removed target keep it alive.
    m_targets = std::move(retained);
    // A queued request would otherwise wait for a slot only to be refused at its hand-over.
    if (std::exchange(m_evacuated_domains, config.m_evacuated_domains) !=
        config.m_evacuated_domains) {
        reevaluate_pending_requests();
    }
}

// A target of the same name may be the same process, for which the object before has started
// requests. They are not counted in the new one, just as those of an owner before this one.
std::shared_ptr<owned_target> owner_service::make_target(const config::target& target)
{
    const bool is_known = m_targets.contains(target.m_name);
    return std::make_shared<owned_target>(
        m_io, m_timers, target, m_options.m_admission,
        warm_up_context{
            .m_counted_since = is_known ? m_timers.now() : m_started,
            .m_fibers = &m_health_queries,
            .m_read_health = m_options.m_dialect.m_read_health,
            .m_is_draining = [this,
                              name = target.m_name] { return m_callbacks.m_is_draining(name); },
            .m_stats = &m_stats});
}

std::size_t owner_service::count_warming_up() const
{
    const time_point now = m_timers.now();
    return static_cast<std::size_t>(std::ranges::count_if(m_targets, [now](const auto& item) {
        return item.second->queue().warm_up().is_limiting(now);
    }));
}

void owner_service::serve(server_exchange& exchange)
{
    m_callbacks.m_on_request_started();
    const std::string_view path = exchange.request().head().target();
    if (path.starts_with("/.pomelohead/ticket")) {
        issue_ticket(exchange);
    }
    else if (path == crash_marks_path) {
        m_crash_marks.handle_push(exchange);
    }
    else {
        owner_exchange request(*this, exchange);
        m_exchanges.insert(&request);
        if (!guarded_call("request_failed", [&] { request.run(); })) {
            guarded_call("request_failed", [&] { request.fail(); });
        }
        guarded_call("request_failed", [&] { request.record_if_unanswered(); });
        m_exchanges.erase(&request);
    }
    m_callbacks.m_on_request_ended();
}

bool owner_service::record_caller(const http::header<true>& request, const std::string& route,
                                  const std::string& service)
{
    const std::string& header = m_options.m_dialect.m_caller_service;
    const auto share = m_host_share.find(service);
    if (header.empty() || !m_options.m_admission.m_call_reserve || share == m_host_share.end()) {
        return false;
    }
    const std::string_view caller = request[header];
    if (!caller.empty()) {
        m_call_routes.record(route, caller == service, share->second);
    }
    return m_call_routes.is_call(route);
}

// Whether the entry has missed a version, and the newest one lets no request of this kind go to the
// service.
bool owner_service::is_outdated(const http::header<true>& request, const std::string& service)
{
    const auto version = parse_number(request[version_header], UINT64_MAX);
    const config::snapshot_ptr config = m_callbacks.m_config();
    if (!m_options.m_settle_time || !version || !config ||
        *version >= m_settled_version.get(m_timers.now())) {
        return false;
    }
    const config::route* route =
        config->find_route(request.method_string(), request.target(), request[http::field::host]);
    return route == nullptr || !route->leads_to(service);
}

void owner_service::reevaluate_pending_requests()
{
    // Reevaluating a request may start another one, but removes none from the set.
    for (owner_exchange* request : m_exchanges) {
        request->reevaluate();
    }
}

void owner_service::issue_ticket(server_exchange& exchange)
{
    const std::string name(exchange.request().head()[target_header]);
    http::header<false> head;
    reason why;
    std::optional<outcome::ticket> ticket;
    if (m_targets.contains(name) && !m_callbacks.m_is_draining(name)) {
        ticket = m_ledger.issue(name, m_timers.now(), why);
    }
    if (!ticket) {
        const bool is_owned = m_targets.contains(name);
        set_conclusion_headers(head,
                               {outcome::outcome::not_run, !is_owned ? outcome::cause::misdirected
                                                           : why.m_code == reason_code::rate_limited
                                                               ? outcome::cause::overloaded
                                                               : outcome::cause::draining},
                               milliseconds{});
        exchange.respond(head, {}, clock_type::now() + response_write_timeout, why);
        return;
    }
    head.result(200);
    head.set(outcome_header, "complete");
    head.set(http::field::content_type, "text/plain");
    exchange.respond(head, outcome::to_text(*ticket), clock_type::now() + response_write_timeout,
                     why);
}

} // namespace pomelohead::forwarding
