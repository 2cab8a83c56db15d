// Inputs of an entry node's target selection: call attributes and owner load reports.
#pragma once

#include "pomelohead/admission/request_facts.h"
#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <functional>
#include <string>

namespace pomelohead::routing {

/// The attributes of a call that routing depends on.
struct call_attributes {
    config::work_class m_class = config::work_class::short_work;
    config::urgency m_urgency = config::urgency::normal;
    bool m_idempotent = false;
    std::uint32_t m_depth = 0;          ///< number of calls above it in its call chain
    std::string m_route;                ///< key of run times; empty: unknown
    std::uint64_t m_transfer_bytes = 0; ///< of the request and its expected response

    bool operator==(const call_attributes&) const = default;
};

/// The latest load report of an owner.
struct owner_load_report {
    admission::load_report m_load;
    std::uint64_t m_incarnation = 0;
    bool m_draining = false;
    time_point m_received_at;
    bool m_target_leaving = false; ///< the target has said that it leaves
    duration m_delay{};            ///< how late the owner's process comes to its work
    duration m_run_time{};         ///< typical one of the answered request's route; zero: unknown

    bool operator==(const owner_load_report&) const = default;
};

/// Returns the slots that `load` reports free for `call`. A negative value is the number of
/// requests queued ahead of it.
[[nodiscard]] inline double reported_headroom(const admission::load_report& load,
                                              const call_attributes& call)
{
    if (call.m_class == config::work_class::long_work) {
        return static_cast<double>(load.m_long_free) - load.m_long_queued;
    }
    const bool is_urgent = call.m_urgency == config::urgency::urgent;
    return static_cast<double>(load.m_free) - (is_urgent ? load.m_urgent_queued : load.m_queued);
}

/// How one attempt at a target ended.
enum class attempt_result {
    answered,   ///< the complete response was received
    not_run,    ///< rejected by the owner before execution; not a latency sample
    failed,     ///< lost or timed out after it was handed to the target
    cancelled,  ///< cancelled by the entry, for example the first attempt of a hedged call
    superseded, ///< a hedge that was cancelled: not a latency sample
};

/// Returns whether membership considers the owner of a target reachable.
using reachable_fn = std::function<bool(const config::target&)>;

} // namespace pomelohead::routing
