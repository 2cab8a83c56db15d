// The values, counters and faults of the stand-in for the configuration service.
//
// Independent of HTTP. Each call is admitted first, then answered:
//
//     configuration_store store(2000);
//     store.put("manifest", bytes);
//     if (store.admit("manifest", caller, listener, now) == admission::answer) {
//         stored_value value = store.get("manifest");
//     }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace pomelohead::testing {

/// How the service answers its readers. Operators' calls are always answered.
enum class service_mode {
    up,
    down,     ///< closes the connection of each call
    hang,     ///< takes calls and never answers
    slow,     ///< answers after a delay
    truncate, ///< answers with the first half of each value
    cut,      ///< closes in the middle of each answer
};

/// A value and the index of its last change; index 0: absent.
struct stored_value {
    std::uint64_t m_index = 0;
    std::string m_bytes;

    bool operator==(const stored_value&) const = default;
};

/// The admission result of a reader's call.
enum class admission { answer, refuse_rate, drop };

/// The service's state.
class configuration_store {
public:
    explicit configuration_store(std::uint32_t rate_per_s) : m_rate_per_s(rate_per_s) {}

    /// Stores a value. `index` sets the key's index to any value, also a lower one.
    std::uint64_t put(const std::string& key, std::string bytes,
                      std::optional<std::uint64_t> index = std::nullopt);

    [[nodiscard]] stored_value get(const std::string& key) const;

    /// Counts one call of `caller` (an IP address) at `listener` for `key`, and decides on it.
    admission admit(const std::string& key, const std::string& caller, const std::string& listener,
                    time_point now);

    /// Whether connections between these addresses are cut.
    [[nodiscard]] bool is_blocked(const std::string& caller, const std::string& listener) const;

    /// Applies a control message. Returns an error's text, or nothing.
    [[nodiscard]] std::optional<std::string> control(const nlohmann::json& message);

    [[nodiscard]] service_mode mode() const { return m_mode; }
    [[nodiscard]] milliseconds delay() const { return m_delay; }

    void watch_began() { m_waiting_watches += 1; }
    void watch_ended() { m_waiting_watches -= 1; }
    void sent(std::size_t bytes) { m_bytes_sent += bytes; }

    /// The counters, as GET /stats gives them.
    [[nodiscard]] nlohmann::json stats() const;

private:
    std::uint32_t m_rate_per_s;
    service_mode m_mode = service_mode::up;
    milliseconds m_delay{0};
    std::set<std::string> m_blocked;
    std::map<std::string, stored_value> m_values;
    std::uint64_t m_last_index = 0;

    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_waiting_watches = 0;
    std::uint64_t m_bytes_sent = 0;
    std::map<std::string, std::uint64_t> m_calls_by_kind;
    std::map<std::string, std::uint64_t> m_calls_by_caller;
    std::map<std::string, std::uint64_t> m_calls_by_listener;
    std::deque<time_point> m_calls_in_last_second;      ///< times of the calls of the last second
    std::deque<time_point> m_admissions_in_last_second; ///< those that were not refused
    std::size_t m_max_calls_in_one_second = 0;
};

} // namespace pomelohead::testing
