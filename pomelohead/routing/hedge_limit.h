// Limits hedged requests to a share of the requests that an entry sends to one service.
//
// Failure addressed: when a whole service becomes slow, nearly every request passes its hedge
// delay. Without a limit the entry would then send each of them twice and make the service slower
// still. A limit per service keeps one slow service from using up the hedges of the others, and a
// window, unlike a token bucket, does not let hedges accumulate through a quiet hour.
//
//     hedge_limit limit(0.025, 10s);
//     limit.record_request(now);
//     if (limit.may_hedge(now)) { limit.record_hedge(now); send_second(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <array>
#include <cstdint>

namespace pomelohead::routing {

/// Counts the requests and hedges of one service over a sliding window.
class hedge_limit {
public:
    /// `share` of the requests of the latest `window` may be hedged; 0: none.
    hedge_limit(double share, duration window);

    /// Records a request, at its first attempt.
    void record_request(time_point now);

    /// Returns whether one more hedge now keeps the hedges of the latest window within the share.
    [[nodiscard]] bool may_hedge(time_point now);

    void record_hedge(time_point now);

private:
    // Counts are kept in parts of the window, so that memory does not depend on the request rate.
    static constexpr std::size_t parts_per_window = 20;

    struct part {
        std::uint32_t m_requests = 0;
        std::uint32_t m_hedges = 0;
    };

    void advance(time_point now);
    [[nodiscard]] part& latest() { return m_parts[m_latest % m_parts.size()]; }

    double m_share;
    duration m_part_length;
    // Hedges are counted over one part more than requests, see may_hedge().
    std::array<part, parts_per_window + 1> m_parts{};
    std::uint64_t m_latest = 0; ///< number of the part that holds the latest time seen
};

} // namespace pomelohead::routing
