#include "pomelohead/discovery/relay_client.h"

namespace pomelohead::discovery {
namespace {

// A relay is in the same failure domain.
constexpr duration connect_timeout = std::chrono::milliseconds(200);
constexpr std::size_t idle_connections = 1;
constexpr unsigned status_ok = 200;

} // namespace

std::optional<forwarding::full_response>
http_relay_client::get(const std::string& relay, const std::string& path,
                       const forwarding::get_limits& limits, reason& why)
{
    if (m_cancelled) {
        why = {reason_code::cancelled, "the client is closed"};
        return std::nullopt;
    }
    // Shared, as a concurrent call may replace it.
    const pool_ptr pool = relay == m_latest ? m_pool
                                            : std::make_shared<forwarding::connection_pool>(
                                                  m_io, forwarding::endpoint{relay, m_port},
                                                  idle_connections, connect_timeout);
    auto response = forwarding::http_get(*pool, relay, path, limits, m_in_flight, why);
    if (response && response->m_status == status_ok) {
        m_latest = relay;
        m_pool = pool;
    }
    return response;
}

void http_relay_client::cancel()
{
    m_cancelled = true;
    for (forwarding::client_connection* connection : m_in_flight) {
        connection->m_stream.close();
    }
}

} // namespace pomelohead::discovery
