// The marks form a grow-only set in which each mark has a "cleared" flag that is only ever
// set. Merging such sets is commutative, associative and idempotent (Shapiro et al.,
// "Conflict-free Replicated Data Types", 2011). Verdicts are computed from the set rather
// than stored, so nodes with the same marks agree.
#include "pomelohead/outcome/quarantine.h"

#include <algorithm>
#include <set>

namespace pomelohead::outcome {
namespace {

constexpr std::size_t crashes_to_refuse = 2;

milliseconds time_left(time_point expires, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(expires - now);
}

} // namespace

std::string_view to_string(quarantine_verdict value)
{
    switch (value) {
    case quarantine_verdict::run:
        return "run";
    case quarantine_verdict::run_alone:
        return "apart";
    case quarantine_verdict::refuse:
        return "refuse";
    }
    return "run";
}

std::vector<std::string> quarantine::active_crashes(const std::string& fingerprint,
                                                    time_point now) const
{
    std::vector<std::string> crashes;
    for (auto it = m_marks.lower_bound({fingerprint, ""});
         it != m_marks.end() && it->first.m_fingerprint == fingerprint; ++it) {
        if (!it->second.m_cleared && now < it->second.m_expires) {
            crashes.push_back(it->first.m_crash);
        }
    }
    return crashes;
}

quarantine_verdict quarantine::check(const std::string& fingerprint, time_point now) const
{
    const std::vector<std::string> crashes = active_crashes(fingerprint, now);
    if (crashes.empty()) {
        return quarantine_verdict::run;
    }
    if (crashes.size() < crashes_to_refuse) {
        return quarantine_verdict::run_alone;
    }
    const bool was_sole_in_flight = std::ranges::any_of(crashes, [&](const std::string& crash) {
        return m_marks.at({fingerprint, crash}).m_sole_in_flight;
    });
    return was_sole_in_flight || is_only_common_suspect(crashes, now)
               ? quarantine_verdict::refuse
               : quarantine_verdict::run_alone;
}

// Whether two of the crashes have exactly one suspected fingerprint in common. As
// `crashes` are those of the checked fingerprint, that one is it.
bool quarantine::is_only_common_suspect(const std::vector<std::string>& crashes,
                                        time_point now) const
{
    std::map<std::string, std::set<std::string>> suspects;
    for (const auto& [id, state] : m_marks) {
        if (!state.m_cleared && now < state.m_expires) {
            suspects[id.m_crash].insert(id.m_fingerprint);
        }
    }
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        for (std::size_t j = i + 1; j < crashes.size(); ++j) {
            std::vector<std::string> common;
            std::ranges::set_intersection(suspects[crashes[i]], suspects[crashes[j]],
                                          std::back_inserter(common));
            if (common.size() == 1) {
                return true;
            }
        }
    }
    return false;
}

void quarantine::record_crash(const std::string& crash, const std::vector<std::string>& in_flight,
                              time_point now)
{
    const std::set<std::string> distinct(in_flight.begin(), in_flight.end());
    for (const std::string& fingerprint : distinct) {
        m_marks.try_emplace({fingerprint, crash},
                            mark{distinct.size() == 1, false, now + m_options.m_lifetime});
    }
    evict_oldest();
}

bool quarantine::record_success(const std::string& fingerprint, time_point now)
{
    return release(fingerprint, now);
}

bool quarantine::release(const std::string& fingerprint, time_point now)
{
    const std::vector<std::string> crashes = active_crashes(fingerprint, now);
    for (const std::string& crash : crashes) {
        m_marks[{fingerprint, crash}].m_cleared = true;
    }
    return !crashes.empty();
}

std::vector<crash_mark> quarantine::digest(time_point now, std::size_t limit) const
{
    std::vector<crash_mark> marks;
    for (const auto& [id, state] : m_marks) {
        if (now < state.m_expires) {
            marks.push_back({id.m_fingerprint, id.m_crash, state.m_sole_in_flight, state.m_cleared,
                             time_left(state.m_expires, now)});
        }
    }
    std::ranges::stable_sort(marks, std::ranges::greater(), &crash_mark::m_time_left);
    marks.resize(std::min(limit, marks.size()));
    return marks;
}

std::vector<crash_mark> quarantine::missing_from(const std::vector<crash_mark>& known,
                                                 time_point now) const
{
    std::map<key, bool> is_cleared;
    for (const crash_mark& mark : known) {
        is_cleared[{mark.m_fingerprint, mark.m_crash}] |= mark.m_cleared;
    }
    std::vector<crash_mark> missing = digest(now);
    std::erase_if(missing, [&](const crash_mark& mark) {
        const auto it = is_cleared.find({mark.m_fingerprint, mark.m_crash});
        return it != is_cleared.end() && (it->second || !mark.m_cleared);
    });
    return missing;
}

bool quarantine::merge(const std::vector<crash_mark>& marks, time_point now)
{
    bool has_changed = false;
    for (const crash_mark& received : marks) {
        const auto it = m_marks.find({received.m_fingerprint, received.m_crash});
        if (it != m_marks.end()) {
            has_changed |= received.m_cleared && !it->second.m_cleared;
            it->second.m_cleared |= received.m_cleared;
            continue;
        }
        if (received.m_time_left < m_options.m_min_left) {
            continue;
        }
        const duration left = std::min<duration>(received.m_time_left, m_options.m_lifetime);
        m_marks[{received.m_fingerprint, received.m_crash}] = {received.m_sole_in_flight,
                                                               received.m_cleared, now + left};
        has_changed = true;
    }
    evict_oldest();
    return has_changed;
}

std::vector<quarantine_status> quarantine::list(time_point now) const
{
    std::vector<quarantine_status> all;
    for (const auto& [id, state] : m_marks) {
        if (state.m_cleared || now >= state.m_expires) {
            continue;
        }
        if (all.empty() || all.back().m_fingerprint != id.m_fingerprint) {
            all.push_back({id.m_fingerprint, check(id.m_fingerprint, now), {}, {}});
        }
        all.back().m_crashes.push_back(id.m_crash);
        all.back().m_time_left = std::max(all.back().m_time_left, time_left(state.m_expires, now));
    }
    return all;
}

void quarantine::expire(time_point now)
{
    std::erase_if(m_marks, [&](const auto& item) { return now >= item.second.m_expires; });
}

void quarantine::evict_oldest()
{
    while (m_marks.size() > m_options.m_max_marks) {
        m_marks.erase(std::ranges::min_element(
            m_marks, {}, [](const auto& item) { return item.second.m_expires; }));
    }
}

} // namespace pomelohead::outcome
