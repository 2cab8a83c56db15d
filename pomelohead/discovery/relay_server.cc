#include "pomelohead/discovery/relay_server.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/source/relay_codec.h"

namespace pomelohead::discovery {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_declined = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_store_lost = 502;
constexpr unsigned status_unavailable = 503;
constexpr duration answer_timeout = std::chrono::seconds(2);
constexpr std::uint64_t max_wait_ms = 60'000;

std::optional<std::uint64_t> number_parameter(const std::string& target, std::string_view name,
                                              std::uint64_t max_value)
{
    return forwarding::parse_number(forwarding::query_parameter(target, name).value_or(""),
                                    max_value);
}

duration wait_parameter(const std::string& target)
{
    return milliseconds(number_parameter(target, "wait_ms", max_wait_ms).value_or(0));
}

} // namespace

std::string relay_path(source::store_part part)
{
    return part == source::store_part::configuration ? "/relay/configuration"
                                                     : "/relay/registrations";
}

relay_server::relay_server(boost::asio::io_context& io, const forwarding::endpoint& local_endpoint,
                           const served_part& configuration, const served_part& registrations,
                           members_fn members)
    : m_configuration(configuration), m_registrations(registrations), m_members(std::move(members)),
      m_server(io, local_endpoint, {}, [this](forwarding::server_exchange& e) { serve(e); })
{
    m_configuration.m_relay.m_on_change = [this] { wake_waiters(); };
    m_registrations.m_relay.m_on_change = [this] { wake_waiters(); };
}

void relay_server::wake_waiters()
{
    for (fiber_event* waiting : m_waiters) {
        waiting->set();
    }
}

void relay_server::leave()
{
    m_is_leaving = true;
    m_server.announce_close();
    wake_waiters();
}

void relay_server::stop()
{
    leave();
    m_server.close_listener();
    m_server.abort();
    m_server.wait();
}

void relay_server::answer(forwarding::server_exchange& exchange, unsigned status,
                          const std::string& body, std::optional<milliseconds> as_of)
{
    forwarding::http::header<false> head;
    head.result(status);
    head.set(forwarding::http::field::content_type, "application/cbor");
    if (as_of) {
        head.set(as_of_header, std::to_string(as_of->count()));
    }
    reason why;
    exchange.respond(std::move(head), body, clock_type::now() + answer_timeout, why);
}

void relay_server::wait_until(forwarding::server_exchange& exchange, duration limit,
                              const std::function<bool()>& is_done)
{
    const time_point end = clock_type::now() + limit;
    fiber_event changed;
    bool client_disconnected = false;
    const auto waiter = m_waiters.insert(m_waiters.end(), &changed);
    auto watch = exchange.watch([&] {
        client_disconnected = true;
        changed.set();
    });
    while (!client_disconnected && !m_is_leaving && !is_done()) {
        changed.reset();
        if (!changed.wait_for(std::max<duration>(end - clock_type::now(), {}))) {
            break;
        }
    }
    m_waiters.erase(waiter);
}

void relay_server::serve(forwarding::server_exchange& exchange)
{
    const std::string target(exchange.request().head().target());
    const std::string path = target.substr(0, target.find('?'));
    const auto relay = forwarding::query_parameter(target, "relay");
    if (relay && is_ip_address(*relay)) {
        m_configuration.m_relay_selector.add_relays({*relay});
        m_registrations.m_relay_selector.add_relays({*relay});
    }
    if (path == members_path) {
        serve_members(exchange, target);
    }
    else if (path == relay_path(source::store_part::configuration)) {
        serve_part(exchange, target, m_configuration);
    }
    else if (path == relay_path(source::store_part::registrations)) {
        serve_part(exchange, target, m_registrations);
    }
    else {
        answer(exchange, status_not_found, {});
    }
}

void relay_server::serve_members(forwarding::server_exchange& exchange, const std::string& target)
{
    const std::string domain = forwarding::query_parameter(target, "domain").value_or("");
    if (m_members(domain).empty()) {
        m_was_asked_in_vain = true;
        wait_until(exchange, wait_parameter(target), [&] { return !m_members(domain).empty(); });
    }
    const referral hints{m_members(domain), m_registrations.m_relay_selector.all_relays()};
    answer(exchange, hints.m_members.empty() ? status_unavailable : status_ok, encode(hints));
}

void relay_server::serve_part(forwarding::server_exchange& exchange, const std::string& target,
                              const served_part& part)
{
    const time_point received = clock_type::now();
    const auto refer = [&](unsigned status) {
        referral hints{{}, part.m_relay_selector.relays()};
        const auto followed = part.m_relay_selector.choose(clock_type::now());
        if (followed && part.m_relay.feed() == source::relay_feed::relays) {
            hints.m_relays.push_back(*followed);
        }
        answer(exchange, status, encode(hints));
    };
    if (part.m_relay_selector.role() == relay_role::none) {
        return refer(status_declined);
    }
    std::optional<source::relay_cursor> cursor;
    if (const auto number = number_parameter(target, "cursor", UINT64_MAX)) {
        cursor = {number_parameter(target, "start", UINT64_MAX).value_or(0), *number};
    }
    if (cursor) {
        wait_until(exchange, wait_parameter(target),
                   [&] { return !can_serve(part) || part.m_relay.cursor() != *cursor; });
    }
    else {
        // While this node looks for a relay or reads the store it may turn out to be the relay, and
        // also if the relay that it follows has just failed its follower.
        const auto failed = forwarding::query_parameter(target, "failed");
        wait_until(exchange, wait_parameter(target), [&] {
            const auto own_relay = part.m_relay_selector.choose(clock_type::now());
            return (can_serve(part) && is_fresh(part)) ||
                   (part.m_relay.feed() == source::relay_feed::relays && own_relay &&
                    own_relay != failed);
        });
    }
    if (!can_serve(part)) {
        if (cursor && !m_is_leaving && part.m_relay.feed() == source::relay_feed::none) {
            return refer(status_store_lost);
        }
        const bool is_preferred = part.m_relay_selector.role() == relay_role::preferred;
        return refer(is_preferred ? status_unavailable : status_declined);
    }
    auto changes =
        cursor ? part.m_relay.changes_after(*cursor)
               : part.m_relay.list({number_parameter(target, "epoch", UINT64_MAX).value_or(0),
                                    number_parameter(target, "known", UINT64_MAX).value_or(0)});
    if (!changes) {
        return answer(exchange, status_gone, {});
    }
    changes->m_relays = part.m_relay_selector.relays();
    std::optional<milliseconds> as_of;
    if (part.m_relay.as_of()) {
        as_of = std::chrono::floor<milliseconds>(*part.m_relay.as_of() - received);
    }
    answer(exchange, status_ok, source::encode(*changes), as_of);
}

} // namespace pomelohead::discovery
