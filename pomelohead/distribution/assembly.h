// Collects the manifests and sections of versions that are not yet complete.
//
// Several versions may be pending at once, so that a bad version published between two
// good ones does not displace a good one. Sections are shared by hash between them and
// with the version in force, so that a change fetches only the sections that it touches.
//
//     assembly parts;
//     if (const std::optional<version_id> id = parts.add(manifest_bytes, why)) {
//         for (const std::string& hash : parts.missing(*id)) { fetch(hash); }
//     }
//     parts.add_section(bytes);
//     if (parts.is_complete(id)) { gate.accept(*parts.manifest_bytes(id), parts.sections(), why); }
#pragma once

#include "pomelohead/distribution/version_gate.h"

#include <set>
#include <vector>

namespace pomelohead::distribution {

/// The manifests and sections that a node has stored.
class assembly {
public:
    /// Maximum of pending versions; the oldest is evicted.
    static constexpr std::size_t max_candidates = 4;

    /// Adds a manifest's bytes. Returns its identity, or nothing with the reason
    /// if it does not parse. Idempotent.
    std::optional<version_id> add(const std::string& manifest_bytes, reason& why);

    /// Stores a section under the hash of its bytes. Returns the hash.
    std::string add_section(std::string bytes);

    [[nodiscard]] bool has(const version_id& id) const { return m_candidates.contains(id); }
    [[nodiscard]] bool is_complete(const version_id& id) const;

    /// The distinct hashes of the sections of `id` that are missing.
    [[nodiscard]] std::vector<std::string> missing(const version_id& id) const;

    /// Null if unknown.
    [[nodiscard]] const std::string* manifest_bytes(const version_id& id) const;
    [[nodiscard]] const std::string* section(const std::string& hash) const;
    [[nodiscard]] const std::map<std::string, std::string>& sections() const { return m_sections; }

    /// Pending versions, newest first.
    [[nodiscard]] std::vector<version_id> candidates() const;

    /// Drops a pending version and the sections that only it uses.
    void drop(const version_id& id);

    /// Marks `id` as the version in force. Its sections are kept, pending versions that are
    /// not newer are dropped. Does nothing if `id` is not pending.
    void set_in_force(const version_id& id);

private:
    struct candidate {
        std::string m_manifest_bytes;
        std::vector<config::section_ref> m_sections;
    };

    void drop_unused_sections();

    std::map<version_id, candidate> m_candidates;
    std::optional<std::pair<version_id, candidate>> m_in_force;
    std::map<std::string, std::string> m_sections; // bytes by hash
};

} // namespace pomelohead::distribution
