// A client for one part of the store that reads through the failure domain's relay if there is
// one, and from the store otherwise.
//
// A watch that changes from one relay to another returns all keys, with the values of those that
// have changed. One that changes from a relay to the store continues after the last revision that
// the relay had completely, so that the loss of a relay costs each follower at most one call. A
// relay with an older revision than the node has received counts as failed, so that values never
// go back. Once the node has known all changes longer ago than relay_timing::m_max_age it calls the
// store, even if its relay answers.
//
//     relayed_store store(open_direct(), std::make_unique<http_relay_client>(io, port), options,
//                         selector);
#pragma once

#include "pomelohead/discovery/answer_limit.h"
#include "pomelohead/discovery/relay_client.h"
#include "pomelohead/discovery/relay_selector.h"
#include "pomelohead/discovery/relay_timing.h"
#include "pomelohead/source/key_value.h"
#include "pomelohead/source/relay.h"

#include <functional>
#include <memory>

namespace pomelohead::discovery {

struct relayed_store_options {
    source::store_part m_part = source::store_part::configuration;
    std::string m_address; ///< of this node
    relay_timing m_timing;
    std::function<time_point()> m_now = clock_type::now;
};

class relayed_store final : public source::key_value_store {
public:
    /// `selector` must outlive the object.
    relayed_store(std::unique_ptr<source::key_value_store> direct,
                  std::unique_ptr<relay_client> relays, relayed_store_options options,
                  relay_selector& selector);

    [[nodiscard]] source::store_answer list(const source::list_request& request) override;
    [[nodiscard]] source::store_answer watch(const source::watch_request& request) override;
    void cancel() override;

private:
    [[nodiscard]] source::store_answer query(const std::string& relay, const std::string& query,
                                             duration limit);
    [[nodiscard]] source::store_answer convert(const std::string& relay, std::uint64_t call,
                                               time_point sent,
                                               const forwarding::full_response& response);
    [[nodiscard]] source::store_answer failure(const std::string& relay, const reason& why) const;
    [[nodiscard]] std::optional<source::store_answer>
    list_from_relays(const source::store_revision& known_revision, duration limit,
                     const std::optional<std::string>& failed_relay = std::nullopt);
    [[nodiscard]] source::store_answer watch_store(const source::watch_request& request);
    [[nodiscard]] source::store_answer call_watch(const source::watch_request& request);
    [[nodiscard]] source::store_answer poll(const std::string& relay,
                                            const source::watch_request& request);
    [[nodiscard]] duration time_until_overdue() const;
    void decline_outdated(const std::string& relay);
    [[nodiscard]] source::store_answer or_declined(source::store_answer answer);
    void advance_as_of(const source::store_answer& answer);
    [[nodiscard]] source::store_answer list_store(const source::list_request& request);
    [[nodiscard]] source::store_answer track_revision(source::store_answer answer);
    void record_delay(const source::store_answer& answer, time_point due);
    void switch_to(const std::optional<std::string>& relay);

    std::unique_ptr<source::key_value_store> m_direct;
    std::unique_ptr<relay_client> m_relays;
    relayed_store_options m_options;
    std::string m_path;
    relay_selector& m_relay_selector;
    std::optional<std::string> m_relay; ///< followed now; nullopt: the store
    answer_limit m_answer_limit;        ///< of the store
    // Identifies the latest call: an earlier call that ends later must not set the cursor.
    std::uint64_t m_latest_call = 0;
    source::relay_cursor m_cursor;            ///< of m_relay
    source::store_revision m_newest_revision; ///< of the part, from relays and the store
    time_point m_list_sent_at{};              ///< the first page of the latest list of the store
    std::optional<time_point> m_as_of;        ///< the time up to which the node knows all changes
    std::optional<source::store_answer> m_declined; ///< an outdated list of a relay
    bool m_can_resume = false; ///< the latest answer was complete up to its revision
    bool m_cancelled = false;
};

} // namespace pomelohead::discovery
