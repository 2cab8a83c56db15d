// Tracks hosts to which a connection recently failed.
//
// Connecting to a partitioned host runs into the connect timeout, which uses up much of a
// call's deadline. After a failure a host is skipped for a backoff time that doubles with
// each further failure; then calls try it again.
//
//     unreachable_hosts unreachable;
//     unreachable.record_failure("10.1.0.5", now);
//     unreachable.is_unreachable("10.1.0.5", now + 100ms);   // true
//     unreachable.record_success("10.1.0.5");
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Connection backoff by host, from the connections of one entry node.
class unreachable_hosts {
public:
    void record_failure(const std::string& address, time_point now);
    void record_success(const std::string& address) { m_hosts.erase(address); }
    [[nodiscard]] bool is_unreachable(const std::string& address, time_point now) const;

private:
    // A restarted process accepts connections after some tenths of a second. Callers wait up
    // to 1 s for a connection, so calls return to a host within that time after a partition.
    static constexpr duration initial_backoff = std::chrono::milliseconds(250);
    static constexpr duration max_backoff = std::chrono::milliseconds(1000);

    struct host_state {
        time_point m_retry_at{};
        duration m_backoff{};
    };
    std::unordered_map<std::string, host_state> m_hosts; ///< by address
};

} // namespace pomelohead::routing
