// A client for one part of the store that reads through the failure domain's relay if there is
// one, and from the store otherwise.
//
// When it switches between relay and store it returns "forgotten", so that the follower lists
// again from the new one. A relay with an older revision than the node has received counts as
// failed, so that values never go back.
//
//     relayed_store store(io, open_direct(), source::store_part::registrations, selector, port);
#pragma once

#include "pomelohead/discovery/relay_selector.h"
#include "pomelohead/forwarding/http_get.h"
#include "pomelohead/source/key_value.h"

#include <memory>

namespace pomelohead::discovery {

class relayed_store final : public source::key_value_store {
public:
    /// `io` and `selector` must outlive the object; relays listen on `port`.
    relayed_store(boost::asio::io_context& io, std::unique_ptr<source::key_value_store> direct,
                  source::store_part part, relay_selector& selector, std::uint16_t port);

    [[nodiscard]] source::store_answer list(const source::list_request& request) override;
    [[nodiscard]] source::store_answer watch(const source::watch_request& request) override;
    void cancel() override;

private:
    [[nodiscard]] source::store_answer query_relay(const std::string& relay,
                                                   const std::string& query, duration limit);
    [[nodiscard]] source::store_answer query_relay(forwarding::connection_pool& pool,
                                                   const std::string& relay,
                                                   const std::string& query, duration limit);
    [[nodiscard]] std::optional<std::string> find_relay();
    [[nodiscard]] milliseconds direct_watch_wait(milliseconds asked) const;
    [[nodiscard]] source::store_answer track_revision(source::store_answer answer);
    void log_relay_failure(const reason& why) const;
    void switch_to(const std::optional<std::string>& relay);

    boost::asio::io_context& m_io;
    std::unique_ptr<source::key_value_store> m_direct;
    std::string m_path;
    relay_selector& m_relay_selector;
    std::uint16_t m_port;
    std::optional<std::string> m_relay;      ///< that the latest list used; nullopt: the store
    std::optional<std::string> m_next_relay; ///< probed successfully; the next list uses it
    std::shared_ptr<forwarding::connection_pool> m_pool; ///< to m_relay
    forwarding::in_flight_calls m_in_flight;
    // Identifies the latest call: an earlier call that ends later must not set the cursor.
    std::uint64_t m_latest_call = 0;
    std::uint64_t m_cursor = 0;          ///< of m_relay
    std::uint64_t m_newest_revision = 0; ///< of the part, from relays and the store
    bool m_cancelled = false;
};

} // namespace pomelohead::discovery
