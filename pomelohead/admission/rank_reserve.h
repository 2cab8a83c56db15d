// Which urgency gets the room of a target that warms up.
//
// The load that it answers: a whole fleet has restarted cold and is offered several times what it
// may take. Without a rank the room would go to whichever request arrives next.
//
// A request may start only if the starts left in the window cover the more urgent requests that
// were refused in the latest window, and of the less urgent ones as many as their quota has left.
// Within its quota a request starts regardless of others, so that no urgency starves. The quota is
// a quarter of the room. Beyond its first start in a window it ends for an urgency that would be
// served more often, relative to what it offers, than a more urgent one that was refused.
//
//     rank_reserve reserve(8, 1s);
//     if (reserve.may_start(facts.m_urgency, starts_left, now)) {
//         reserve.record_start(facts.m_urgency, now);
//     } else {
//         reserve.record_refusal(facts.m_urgency, now);
//     }
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <array>
#include <cstdint>

namespace pomelohead::admission {

/// Allocates the starts of a window among the urgencies.
class rank_reserve {
public:
    /// `room`: number of starts in any period of the length `window`; at least 1.
    rank_reserve(std::uint32_t room, duration window) : m_room(room), m_window(window) {}

    void record_start(config::urgency urgency, time_point now);

    /// Records a request that was refused for lack of room.
    void record_refusal(config::urgency urgency, time_point now);

    /// Whether a request may take one of the `left` starts of the window.
    [[nodiscard]] bool may_start(config::urgency urgency, std::uint32_t left, time_point now) const;

    /// Time that a request waits behind those refused in the latest window, after a start is free.
    [[nodiscard]] duration wait_behind_refused(config::urgency urgency, time_point now) const;

private:
    static constexpr std::size_t urgencies = 3;
    /// Precision of the latest window.
    static constexpr std::int64_t buckets_per_window = 16;
    /// The quota holds over so many windows, that a quarter of one start is one.
    static constexpr std::int64_t quota_windows = 4;

    struct counts {
        std::array<std::uint32_t, urgencies> m_started{};
        std::array<std::uint32_t, urgencies> m_refused{};
    };
    struct bucket {
        std::int64_t m_number = -1; ///< counted from the start of time; -1: not used
        counts m_counts;
    };

    [[nodiscard]] std::int64_t bucket_number(time_point now) const;
    counts& current_bucket(time_point now);
    [[nodiscard]] counts recent(std::int64_t windows, time_point now) const;
    [[nodiscard]] static bool is_ranked(const counts& latest, std::size_t rank);
    [[nodiscard]] std::uint32_t quota_left(std::size_t rank, time_point now) const;

    std::uint32_t m_room;
    duration m_window;
    std::array<bucket, static_cast<std::size_t>(buckets_per_window* quota_windows)> m_buckets;
};

} // namespace pomelohead::admission
