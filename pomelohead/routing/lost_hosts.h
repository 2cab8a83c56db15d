// Hosts to which no connection could be made a moment ago.
//
// A host that is cut off does not answer, and each try to connect costs a call much of its
// time. After a failure a host is left out for a while, which doubles with each further
// failure; then calls try it again.
//
//     lost_hosts lost;
//     lost.failed("10.1.0.5", now);
//     lost.is_lost("10.1.0.5", now + 100ms);   // true
//     lost.reached("10.1.0.5");
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// One entry's view of hosts, from its own connections.
class lost_hosts {
public:
    void failed(const std::string& address, time_point now);
    void reached(const std::string& address) { m_hosts.erase(address); }
    [[nodiscard]] bool is_lost(const std::string& address, time_point now) const;

private:
    // A process that is started again is back after some tenths of a second; after a cut
    // calls come back within the second that a caller waits for a connection.
    static constexpr duration initial_backoff = std::chrono::milliseconds(250);
    static constexpr duration max_backoff = std::chrono::milliseconds(1000);

    struct host_state {
        time_point m_retry_at{};
        duration m_backoff{};
    };
    std::unordered_map<std::string, host_state> m_hosts; ///< by address
};

} // namespace pomelohead::routing
