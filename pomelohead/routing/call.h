// The values that an entry's choice of owner depends on.
#pragma once

#include "pomelohead/admission/request_facts.h"
#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <functional>

namespace pomelohead::routing {

/// One call, as far as routing depends on it.
struct call_facts {
    config::work_class m_class = config::work_class::short_work;
    config::urgency m_urgency = config::urgency::normal;
    bool m_idempotent = false;
    std::uint32_t m_depth = 0; ///< levels above it in its call chain

    bool operator==(const call_facts&) const = default;
};

/// The latest that an owner said about itself.
struct owner_word {
    admission::load_word m_load;
    std::uint64_t m_incarnation = 0;
    bool m_draining = false;
    time_point m_heard;

    bool operator==(const owner_word&) const = default;
};

/// Free slots for a call by a word; negative: as many requests wait before it.
[[nodiscard]] inline double reported_headroom(const admission::load_word& load,
                                              const call_facts& call)
{
    if (call.m_class == config::work_class::long_work) {
        return static_cast<double>(load.m_long_free) - load.m_long_queued;
    }
    const bool is_urgent = call.m_urgency == config::urgency::urgent;
    return static_cast<double>(load.m_free) - (is_urgent ? load.m_urgent_queued : load.m_queued);
}

/// How one attempt at a target ended.
enum class attempt_result {
    answered,  ///< the whole answer came
    not_run,   ///< the owner refused it; says nothing about the target's speed
    failed,    ///< lost or timed out after hand-over
    cancelled, ///< given up by the entry, as a beaten hedge is
};

/// Whether the owner of a target can be reached, as membership sees it.
using reachable_fn = std::function<bool(const config::target&)>;

} // namespace pomelohead::routing
