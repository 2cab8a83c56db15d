// Calls the relay servers of other nodes.
//
//     http_relay_client relays(io, relay_port);
//     reason why;
//     const auto response = relays.get("10.1.0.5", "/relay/registrations?wait_ms=0", limits, why);
#pragma once

#include "pomelohead/forwarding/http_get.h"

#include <memory>
#include <optional>
#include <string>

namespace pomelohead::discovery {

class relay_client {
public:
    relay_client() = default;
    relay_client(const relay_client&) = delete;
    relay_client& operator=(const relay_client&) = delete;
    virtual ~relay_client() = default;

    /// Requests `path` of the node at the address `relay`. Suspends the calling fiber. Fails with
    /// the reasons of http_get(), and with cancelled after cancel().
    [[nodiscard]] virtual std::optional<forwarding::full_response>
    get(const std::string& relay, const std::string& path, const forwarding::get_limits& limits,
        reason& why) = 0;

    /// Makes calls in flight and all later ones fail.
    virtual void cancel() = 0;
};

/// Keeps a connection to the relay that has answered last.
class http_relay_client final : public relay_client {
public:
    /// `io` must outlive the object.
    http_relay_client(boost::asio::io_context& io, std::uint16_t port) : m_io(io), m_port(port) {}

    [[nodiscard]] std::optional<forwarding::full_response> get(const std::string& relay,
                                                               const std::string& path,
                                                               const forwarding::get_limits& limits,
                                                               reason& why) override;
    void cancel() override;

private:
    using pool_ptr = std::shared_ptr<forwarding::connection_pool>;

    boost::asio::io_context& m_io;
    std::uint16_t m_port; ///< of all relay servers
    std::string m_latest; ///< the relay that has answered last
    pool_ptr m_pool;      ///< to m_latest
    forwarding::in_flight_calls m_in_flight;
    bool m_cancelled = false;
};

} // namespace pomelohead::discovery
