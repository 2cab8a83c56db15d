#include "pomelohead/discovery/relay_server.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/source/relay_codec.h"

namespace pomelohead::discovery {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_declined = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;
constexpr duration answer_timeout = std::chrono::seconds(2);
constexpr std::uint64_t max_wait_ms = 60'000;

} // namespace

std::string relay_path(source::store_part part)
{
    return part == source::store_part::configuration ? "/relay/configuration"
                                                     : "/relay/registrations";
}

relay_server::relay_server(boost::asio::io_context& io, const forwarding::endpoint& local_endpoint,
                           const served_part& configuration, const served_part& registrations)
    : m_configuration(configuration), m_registrations(registrations),
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
                          const std::string& body)
{
    forwarding::http::header<false> head;
    head.result(status);
    head.set(forwarding::http::field::content_type, "application/cbor");
    reason why;
    exchange.respond(std::move(head), body, clock_type::now() + answer_timeout, why);
}

void relay_server::wait_for_change(forwarding::server_exchange& exchange, const served_part& part,
                                   std::uint64_t cursor, duration limit)
{
    const time_point end = clock_type::now() + limit;
    fiber_event changed;
    bool client_disconnected = false;
    const auto waiter = m_waiters.insert(m_waiters.end(), &changed);
    auto watch = exchange.watch([&] {
        client_disconnected = true;
        changed.set();
    });
    while (!client_disconnected && can_serve(part) && part.m_relay.cursor() == cursor) {
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
    const bool is_configuration = path == relay_path(source::store_part::configuration);
    if (!is_configuration && path != relay_path(source::store_part::registrations)) {
        return answer(exchange, status_not_found, {});
    }
    const served_part& part = is_configuration ? m_configuration : m_registrations;
    if (!part.m_relay_selector.can_relay()) {
        return answer(exchange, status_declined, {});
    }
    const auto cursor = forwarding::parse_number(
        forwarding::query_parameter(target, "cursor").value_or(""), UINT64_MAX);
    const auto wait_ms = forwarding::parse_number(
        forwarding::query_parameter(target, "wait_ms").value_or(""), max_wait_ms);
    if (cursor && wait_ms) {
        wait_for_change(exchange, part, *cursor, milliseconds(*wait_ms));
    }
    if (!can_serve(part)) {
        return answer(exchange, status_unavailable, {});
    }
    const auto changes = part.m_relay.changes_after(cursor);
    if (!changes) {
        return answer(exchange, status_gone, {});
    }
    answer(exchange, status_ok, source::encode(*changes));
}

} // namespace pomelohead::discovery
