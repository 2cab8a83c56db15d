// The one place where a configuration comes into force.
//
// Invariants:
//   - the version in force only grows;
//   - a version comes into force whole: all its sections have their hashes and the
//     whole of it validates, or nothing changes;
//   - two contents under one version are never both accepted: the first one stays
//     and the other is a conflict.
//
//     version_gate gate;
//     if (gate.judge(version, manifest_hash) == judgement::take) { ...fetch the sections... }
//     reason why;
//     if (gate.accept(manifest_bytes, sections, why)) { use(gate.current()); }
#pragma once

#include "pomelohead/config/bundle.h"
#include "pomelohead/config/snapshot.h"

#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace pomelohead::distribution {

/// A version and the content published under it.
struct version_id {
    config::version_number m_version = 0; ///< 0: none
    std::string m_manifest_hash;

    bool operator==(const version_id&) const = default;
    /// Orders by version, then by hash.
    bool operator<(const version_id& other) const
    {
        return std::tie(m_version, m_manifest_hash) <
               std::tie(other.m_version, other.m_manifest_hash);
    }
};

/// What is to be done with an offered version.
enum class judgement {
    take,     ///< newer than what is in force
    held,     ///< is in force
    stale,    ///< older than what is in force
    conflict, ///< the version in force, with other content
    refused,  ///< this content was refused before
};

/// A version that was not put in force, and why.
struct refusal {
    config::version_number m_version = 0; ///< 0: not known
    reason m_why;

    bool operator==(const refusal&) const = default;
};

/// Holds the configuration in force and decides on offered ones.
class version_gate {
public:
    /// The configuration in force; null before the first.
    [[nodiscard]] config::snapshot_ptr current() const { return m_current; }

    /// The version in force.
    [[nodiscard]] version_id held() const;

    /// What to do with an offered version. Changes nothing.
    [[nodiscard]] judgement judge(const version_id& offered) const;

    /// Puts a version in force if it is newer and whole. Returns the snapshot, or
    /// null with the reason; where the content itself is at fault it is remembered
    /// as refused.
    [[nodiscard]] config::snapshot_ptr accept(const std::string& manifest_bytes,
                                              const std::map<std::string, std::string>& sections,
                                              reason& why);

    /// Records why an offered version is not in force.
    void note_refusal(config::version_number version, reason why);

    [[nodiscard]] const std::optional<refusal>& last_refusal() const { return m_last_refusal; }

private:
    config::snapshot_ptr m_current;
    std::optional<refusal> m_last_refusal;
    std::deque<std::string> m_refused_hashes; // newest last
};

} // namespace pomelohead::distribution
