// Decides which configuration is in force. No other code puts a version in force.
//
// Invariants:
//   - the version in force never decreases;
//   - a version comes into force as a whole: all its sections match their hashes and the
//     configuration validates, or nothing changes;
//   - two contents under one version are never both accepted: the first one stays in
//     force and the other is a conflict.
//
//     version_gate gate;
//     if (gate.classify({version, manifest_hash}) == offer_status::newer) { ...fetch... }
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

/// A version number and the hash of the content published under it.
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

/// How an offered version relates to the version in force.
enum class offer_status {
    newer,     ///< newer than the version in force
    duplicate, ///< the version in force
    stale,     ///< older than the version in force
    conflict,  ///< the same version with different content
    rejected,  ///< newer, but this content was rejected as invalid before
};

/// A version that was not put in force, and the reason.
struct refusal {
    config::version_number m_version = 0; ///< 0: not known
    reason m_why;

    bool operator==(const refusal&) const = default;
};

/// Holds the configuration in force and accepts newer ones.
class version_gate {
public:
    /// The configuration in force; null before the first.
    [[nodiscard]] config::snapshot_ptr current() const { return m_current; }

    /// The version in force; number 0 before the first.
    [[nodiscard]] version_id version_in_force() const;

    /// Compares an offered version with the one in force.
    [[nodiscard]] offer_status classify(const version_id& offered) const;

    /// Puts a version in force if it is newer, complete and valid. Returns the snapshot,
    /// or null with the reason. Content that is complete but invalid is remembered and
    /// rejected by classify() from then on.
    [[nodiscard]] config::snapshot_ptr accept(const std::string& manifest_bytes,
                                              const std::map<std::string, std::string>& sections,
                                              reason& why);

    /// Records why an offered version was not put in force.
    void record_refusal(config::version_number version, reason why);

    [[nodiscard]] const std::optional<refusal>& last_refusal() const { return m_last_refusal; }

private:
    config::snapshot_ptr m_current;
    std::optional<refusal> m_last_refusal;
    std::deque<std::string> m_refused_hashes; // newest last
};

} // namespace pomelohead::distribution
