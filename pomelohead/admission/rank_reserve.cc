// Counts are kept in a ring of short periods, so that the memory does not grow with the load.
#include "pomelohead/admission/rank_reserve.h"

#include <algorithm>

namespace pomelohead::admission {
namespace {

/// The room is this many times the quota of an urgency.
constexpr std::uint32_t quota_divisor = 4;

std::size_t rank_of(config::urgency urgency)
{
    return static_cast<std::size_t>(urgency);
}

std::uint32_t difference_or_zero(std::uint32_t a, std::uint32_t b)
{
    return a > b ? a - b : 0;
}

} // namespace

std::int64_t rank_reserve::bucket_number(time_point now) const
{
    return now.time_since_epoch() / (m_window / buckets_per_window);
}

rank_reserve::counts& rank_reserve::current_bucket(time_point now)
{
    const std::int64_t number = bucket_number(now);
    bucket& current = m_buckets.at(static_cast<std::size_t>(number) % m_buckets.size());
    if (current.m_number != number) {
        current = {number, {}};
    }
    return current.m_counts;
}

rank_reserve::counts rank_reserve::recent(std::int64_t windows, time_point now) const
{
    const std::int64_t number = bucket_number(now);
    counts sum;
    for (const bucket& item : m_buckets) {
        if (item.m_number < 0 || item.m_number <= number - windows * buckets_per_window) {
            continue;
        }
        for (std::size_t rank = 0; rank < urgencies; ++rank) {
            sum.m_started.at(rank) += item.m_counts.m_started.at(rank);
            sum.m_refused.at(rank) += item.m_counts.m_refused.at(rank);
        }
    }
    return sum;
}

void rank_reserve::record_start(config::urgency urgency, time_point now)
{
    ++current_bucket(now).m_started.at(rank_of(urgency));
}

void rank_reserve::record_refusal(config::urgency urgency, time_point now)
{
    ++current_bucket(now).m_refused.at(rank_of(urgency));
}

// Whether with one more start the urgency is served no more often than any more urgent one that
// was refused, both relative to what was offered.
bool rank_reserve::is_ranked(const counts& latest, std::size_t rank)
{
    const std::uint64_t started = latest.m_started.at(rank) + 1;
    const std::uint64_t offered = started + latest.m_refused.at(rank);
    for (std::size_t above = 0; above < rank; ++above) {
        const std::uint64_t started_above = latest.m_started.at(above);
        const std::uint64_t offered_above = started_above + latest.m_refused.at(above);
        if (latest.m_refused.at(above) > 0 && started * offered_above > started_above * offered) {
            return false;
        }
    }
    return true;
}

// The quota over several windows is exact; within one it is rounded up to whole starts.
std::uint32_t rank_reserve::quota_left(std::size_t rank, time_point now) const
{
    const counts latest = recent(1, now);
    const std::uint32_t started = latest.m_started.at(rank);
    if (started > 0 && !is_ranked(latest, rank)) {
        return 0;
    }
    const std::uint32_t quota = (m_room + quota_divisor - 1) / quota_divisor;
    const std::uint32_t long_quota = m_room * quota_windows / quota_divisor;
    const std::uint32_t long_started = recent(quota_windows, now).m_started.at(rank);
    return std::min(difference_or_zero(quota, started),
                    difference_or_zero(long_quota, long_started));
}

bool rank_reserve::may_start(config::urgency urgency, std::uint32_t left, time_point now) const
{
    const std::size_t rank = rank_of(urgency);
    if (left == 0) {
        return false;
    }
    if (quota_left(rank, now) > 0) {
        return true;
    }
    const counts latest = recent(1, now);
    std::uint64_t kept = 0;
    for (std::size_t other = 0; other < urgencies; ++other) {
        const std::uint32_t refused = latest.m_refused.at(other);
        if (other < rank) {
            kept += refused;
        }
        else if (other > rank && refused > 0) {
            kept += std::min(refused, quota_left(other, now));
        }
    }
    return left > kept;
}

duration rank_reserve::wait_behind_refused(config::urgency urgency, time_point now) const
{
    const std::size_t rank = rank_of(urgency);
    const counts latest = recent(1, now);
    const std::uint64_t own = latest.m_refused.at(rank);
    std::uint64_t ahead = 0;
    for (std::size_t other = 0; other < urgencies; ++other) {
        const std::uint64_t refused = latest.m_refused.at(other);
        // By their quotas, less urgent ones get half of what the most urgent ones get.
        ahead += other <= rank ? refused : std::min(refused, own / 2);
    }
    // Its own quota may serve it earlier than the order of all urgencies.
    ahead = std::min(ahead, own * quota_divisor);
    return m_window * ahead / m_room;
}

} // namespace pomelohead::admission
