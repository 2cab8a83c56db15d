#include "pomelohead/forwarding/entry_service.h"

#include "pomelohead/forwarding/entry_exchange.h"
#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/unanswered_request.h"
#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

#include <set>

namespace pomelohead::forwarding {
namespace {

// Requests from callers leave fibers for what they need further: those that are taken in one turn
// of the event loop have up to three each, for an attempt, the owner's side and a body.
constexpr std::size_t spare_fibers = 192;

constexpr std::size_t max_idle_per_owner = 64;
// Twice the round trip to another region (35 ms each way), so that a call to an unreachable host
// has time left for another owner.
constexpr duration owner_connect_timeout = std::chrono::milliseconds(150);

constexpr duration ticket_timeout = std::chrono::seconds(2);
constexpr std::string_view ticket_path = "/.pomelohead/ticket";

} // namespace

entry_service::entry_service(boost::asio::io_context& io, timer_service& timers, metrics& stats,
                             entry_options options, entry_callbacks callbacks)
    : m_io(io), m_timers(timers), m_stats(stats), m_options(std::move(options)),
      m_callbacks(std::move(callbacks)), m_body_budget(m_options.m_max_buffered_bytes),
      m_random(m_options.m_seed), m_id_prefix(m_random()),
      m_selector(m_options.m_routing, m_options.m_failure_domain, m_options.m_region),
      m_retries(m_options.m_routing), m_hedges(m_options.m_routing),
      m_reachable([this](const config::target& t) {
          return m_callbacks.m_is_alive(t.m_host) &&
                 !m_lost_hosts.is_unreachable(t.m_host, m_timers.now()) &&
                 !m_lost_domains.is_unreachable(t.m_failure_domain, m_timers.now());
      }),
      m_server(io, m_options.m_listen,
               {.m_head = {},
                .m_pipelining = m_options.m_pipelining,
                .m_spare_fibers = spare_fibers,
                .m_on_left_unread = [this] { record_left_unread(m_stats, request_side::caller); }},
               [this](server_exchange& e) { serve(e); })
{
}

void entry_service::apply(const config::snapshot& config)
{
    m_selector.retain(config);
    m_shares.retain(config);
    m_response_sizes.retain(config);
    m_hedges.retain(config);
    const config::caller_limits& limits = config.m_limits;
    m_server.set_limits(limits.m_idle_timeout, limits.m_max_header_bytes, limits.m_header_timeout);
    std::set<std::string> hosts;
    for (const config::service& service : config.m_services) {
        for (const config::target& target : service.m_targets) {
            hosts.insert(target.m_host);
        }
    }
    for (auto& [address, pool] : m_pools) {
        if (!hosts.contains(address)) {
            pool.clear();
        }
    }
}

void entry_service::serve(server_exchange& exchange)
{
    m_callbacks.m_on_request_started();
    if (std::string_view(exchange.request().head().target()).starts_with(ticket_path)) {
        proxy_ticket_request(exchange);
    }
    else {
        entry_exchange request(*this, exchange);
        if (!guarded_call("request_failed", [&] { request.run(); })) {
            guarded_call("request_failed", [&] { request.fail(); });
        }
        guarded_call("request_failed", [&] { request.record_if_unanswered(); });
    }
    m_callbacks.m_on_request_ended();
}

std::optional<config::target> entry_service::choose_target(const config::snapshot& config,
                                                           const config::service& service,
                                                           const routing::call_attributes& call,
                                                           const std::vector<std::string>& tried,
                                                           const std::vector<std::string>& busy,
                                                           reason& why)
{
    const time_point now = m_timers.now();
    auto target =
        m_selector.choose(config, service, call, tried, m_reachable, now, m_random, why, busy);
    if (!target) {
        // Membership may be wrong about all targets, for example after a network partition; a
        // refused connection is a cheap and certain test.
        const routing::reachable_fn any_target = [](const config::target&) { return true; };
        target = m_selector.choose(config, service, call, tried, any_target, now, m_random, why);
    }
    return target;
}

void entry_service::set_blocked_owners(std::set<std::string> addresses)
{
    m_blocked = std::move(addresses);
    for (const std::string& address : m_blocked) {
        pool(address).clear();
    }
}

std::unique_ptr<client_connection> entry_service::connect_owner(const std::string& address,
                                                                const std::string& failure_domain,
                                                                time_point deadline, reason& why)
{
    if (m_blocked.contains(address)) {
        why = {reason_code::unreachable, "connections to " + address + " are blocked"};
        return nullptr;
    }
    auto connection = pool(address).acquire(deadline, why);
    if (connection) {
        m_lost_hosts.record_success(address);
    }
    else if (clock_type::now() < deadline) {
        m_lost_hosts.record_failure(address, m_timers.now());
        if (why.m_code == reason_code::timed_out) {
            record_silence(address, failure_domain);
        }
        else {
            m_lost_domains.record_response(failure_domain); // the host has refused the connection
        }
    }
    return connection;
}

void entry_service::record_silence(const std::string& address, const std::string& failure_domain)
{
    const time_point now = m_timers.now();
    m_lost_hosts.record_failure(address, now);
    // The other idle connections to it are as silent.
    pool(address).clear();
    const bool is_detected = m_options.m_routing.m_domain_detection && !failure_domain.empty() &&
                             failure_domain != m_options.m_failure_domain;
    if (!is_detected || !m_lost_domains.record_silence(failure_domain, address, now)) {
        return;
    }
    m_stats.add("unreachable_domains_total", {{"failure_domain", failure_domain}});
    log_event(log_level::warning, "domain_unreachable",
              {{"failure_domain", failure_domain}, {"host", address}});
    const config::snapshot_ptr config = m_callbacks.m_config();
    if (!config) {
        return;
    }
    for (const config::service& service : config->m_services) {
        for (const config::target& target : service.m_targets) {
            if (target.m_failure_domain == failure_domain) {
                pool(target.m_host).clear();
            }
        }
    }
}

connection_pool& entry_service::pool(const std::string& address)
{
    const auto it = m_pools.find(address);
    if (it != m_pools.end()) {
        return it->second;
    }
    const endpoint where{address, m_options.m_owner_port};
    return m_pools
        .try_emplace(address, m_io, where, max_idle_per_owner, owner_connect_timeout,
                     m_options.m_routing.m_max_silence)
        .first->second;
}

std::string entry_service::make_request_id()
{
    return std::to_string(m_id_prefix) + "-" + std::to_string(++m_last_id);
}

// Requests a ticket from the owner to which the request would be routed, and returns it to the
// caller.
void entry_service::proxy_ticket_request(server_exchange& exchange)
{
    const std::string_view request_target = exchange.request().head().target();
    const std::string path = query_parameter(request_target, "path").value_or("/");
    const std::string method = query_parameter(request_target, "method").value_or("POST");
    const time_point deadline = clock_type::now() + ticket_timeout;
    http::header<false> head;
    reason why;
    const config::snapshot_ptr config = m_callbacks.m_config();
    const config::route* route = config ? config->find_route(method, path) : nullptr;
    if (route == nullptr) {
        const outcome::cause why_not = !config ? outcome::cause::no_owner
                                       : m_callbacks.m_is_config_current()
                                           ? outcome::cause::no_route
                                           : outcome::cause::outdated_configuration;
        set_conclusion_headers(head, {outcome::outcome::not_run, why_not}, {});
        exchange.respond(head, {}, deadline, why);
        return;
    }
    std::vector<std::string> tried;
    for (std::size_t i = 0; i < m_options.m_attempts; ++i) {
        const auto target = choose_target(*config, *config->find_service(route->m_service),
                                          {.m_class = route->m_class}, tried, {}, why);
        if (!target) {
            break;
        }
        tried.push_back(target->m_name);
        const auto text = fetch_ticket(*this, *target, deadline);
        if (text) {
            head.result(200);
            head.set(outcome_header, "complete");
            head.set(ticket_header, *text);
            head.set(http::field::content_type, "text/plain");
            exchange.respond(head, *text + "\n", deadline, why);
            return;
        }
    }
    set_conclusion_headers(head, {outcome::outcome::not_run, outcome::cause::no_owner}, {});
    exchange.respond(head, {}, clock_type::now() + ticket_timeout, why);
}

} // namespace pomelohead::forwarding
