// One running process of a service, as it registered itself.
#pragma once

#include "pomelohead/config/snapshot.h"

#include <cstdint>
#include <string>

namespace pomelohead::discovery {

using std::chrono::milliseconds;

/// A registered target.
struct instance {
    std::string m_id; ///< names this target; a restarted one may have it again
    std::string m_service;
    std::string m_failure_domain;
    std::string m_host;       ///< IP address
    std::uint16_t m_port = 0; ///< the target's own port
    std::uint32_t m_slots = 0;
    bool m_draining = false;       ///< it leaves and gets no new work
    milliseconds m_cold_left{0};   ///< for how long it is still slow after its start
    std::int64_t m_started_ms = 0; ///< Unix time of its start; tells two starts apart
    std::uint64_t m_sequence = 0;  ///< of its heartbeats, from its start on

    bool operator==(const instance&) const = default;
};

} // namespace pomelohead::discovery
