// Decoded values of the store: a running process of a service, from its registration, and the
// evacuation of a failure domain.
#pragma once

#include "pomelohead/config/snapshot.h"

#include <cstdint>
#include <string>

namespace pomelohead::discovery {

using std::chrono::milliseconds;

/// A registered target.
struct instance {
    std::string m_id; ///< identifies the target; a restarted one may reuse it
    std::string m_service;
    std::string m_failure_domain;
    std::string m_host;       ///< IP address
    std::uint16_t m_port = 0; ///< the target's own port
    std::uint32_t m_slots = 0;
    bool m_draining = false;        ///< is shutting down and gets no new work
    milliseconds m_warm_up_left{0}; ///< remaining time of being slow after its start
    std::int64_t m_started_ms = 0;  ///< Unix time of its start; distinguishes two starts
    std::uint64_t m_sequence = 0;   ///< of its latest heartbeat since its start

    bool operator==(const instance&) const = default;
};

/// The operator's request that a failure domain's targets get no new requests, for as long as its
/// key is in the store.
struct evacuation {
    std::string m_failure_domain;

    bool operator==(const evacuation&) const = default;
};

} // namespace pomelohead::discovery
