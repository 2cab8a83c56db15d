#include "pomelohead/discovery/seed_client.h"

#include "pomelohead/discovery/relay_server.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>

namespace pomelohead::discovery {
namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(200);
// How long a seed that knows no members yet may hold the request. Seeds do not wait for each other.
constexpr milliseconds max_hold{500};
constexpr duration answer_slack = std::chrono::milliseconds(300);
constexpr unsigned status_ok = 200;

} // namespace

seed_client::seed_client(boost::asio::io_context& io, std::vector<std::string> seeds,
                         seed_options options, std::uint64_t random_seed)
    : m_io(io), m_seeds(std::move(seeds)), m_is_seed(std::erase(m_seeds, options.m_address) > 0),
      m_options(std::move(options)), m_random(random_seed)
{
}

std::optional<referral> seed_client::ask_one(const std::string& seed, reason& why)
{
    const milliseconds hold = m_is_seed ? milliseconds(0) : max_hold;
    forwarding::connection_pool pool(m_io, {seed, m_options.m_relay_port}, 0, connect_timeout);
    std::string path = std::string(members_path) + "?domain=" + m_options.m_failure_domain +
                       "&wait_ms=" + std::to_string(hold.count());
    if (m_options.m_is_preferred_relay) {
        path += "&relay=" + m_options.m_address;
    }
    const auto response = forwarding::http_get(
        pool, seed, path,
        {.m_deadline = clock_type::now() + hold + answer_slack, .m_piece_timeout = answer_slack},
        m_in_flight, why);
    if (!response) {
        return std::nullopt;
    }
    if (response->m_status != status_ok) {
        why = {reason_code::refused, "status " + std::to_string(response->m_status)};
        return std::nullopt;
    }
    return decode_referral(response->m_body, why);
}

std::optional<referral> seed_client::ask()
{
    std::ranges::shuffle(m_seeds, m_random);
    for (const std::string& seed : m_seeds) {
        if (m_cancelled) {
            break;
        }
        reason why;
        if (auto hints = ask_one(seed, why)) {
            return hints;
        }
        log_event(log_level::info, "seed_failed",
                  {{"seed", seed}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    }
    return std::nullopt;
}

void seed_client::cancel()
{
    m_cancelled = true;
    for (forwarding::client_connection* connection : m_in_flight) {
        connection->m_stream.close();
    }
}

} // namespace pomelohead::discovery
