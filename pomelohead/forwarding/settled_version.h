// The newest version of the configuration that a node has known for some time.
//
// Versions reach nodes at different times, so that one that is a little behind another is not at
// fault. One that is behind a settled version has missed it.
//
//     settled_version versions(1s);
//     versions.record(7, now);
//     versions.get(now);        // 0
//     versions.get(now + 1s);   // 7
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <deque>

namespace pomelohead::forwarding {

class settled_version {
public:
    /// `settle_time`: how long a version is known before nodes are expected to go by it.
    explicit settled_version(duration settle_time) : m_settle_time(settle_time) {}

    /// Records the version that is in force at `now`. Versions do not decrease.
    void record(config::version_number version, time_point now)
    {
        if (m_known.empty() || version > m_known.back().m_version) {
            m_known.push_back({version, now});
        }
    }

    /// Returns the newest settled version; 0 if there is none.
    [[nodiscard]] config::version_number get(time_point now)
    {
        while (!m_known.empty() && m_known.front().m_since + m_settle_time <= now) {
            m_settled = m_known.front().m_version;
            if (m_known.size() == 1) {
                break; // record() compares with it
            }
            m_known.pop_front();
        }
        return m_settled;
    }

private:
    struct known_version {
        config::version_number m_version = 0;
        time_point m_since;
    };

    duration m_settle_time;
    std::deque<known_version> m_known;
    config::version_number m_settled = 0;
};

} // namespace pomelohead::forwarding
