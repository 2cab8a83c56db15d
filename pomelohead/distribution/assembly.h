// Versions that are being put together from their sections.
//
// Several may be under way at once (a bad version between two good ones must not
// take a good one's place); sections are shared by hash among them and with the
// version in force, so that a change fetches only what it touches.
//
//     assembly parts;
//     if (parts.add(manifest_bytes, why)) {
//         for (const std::string& hash : parts.missing(id)) { fetch(hash); }
//     }
//     parts.add_section(bytes);
//     if (parts.is_whole(id)) { gate.accept(parts.manifest_bytes(id), parts.sections(), why); }
#pragma once

#include "pomelohead/distribution/version_gate.h"

#include <set>
#include <vector>

namespace pomelohead::distribution {

/// The manifests and sections that a node has at hand.
class assembly {
public:
    /// Versions under way at most; the oldest gives way to a newer one.
    static constexpr std::size_t max_candidates = 4;

    /// Adds a manifest's bytes. Returns its identity, or nothing with the reason
    /// if it does not parse. Adding it again changes nothing.
    std::optional<version_id> add(const std::string& manifest_bytes, reason& why);

    /// Adds a section's bytes under their hash, which is returned.
    std::string add_section(std::string bytes);

    [[nodiscard]] bool has(const version_id& id) const { return m_candidates.contains(id); }
    [[nodiscard]] bool is_whole(const version_id& id) const;

    /// The hashes of the sections that `id` still lacks, each once.
    [[nodiscard]] std::vector<std::string> missing(const version_id& id) const;

    /// Null if unknown.
    [[nodiscard]] const std::string* manifest_bytes(const version_id& id) const;
    [[nodiscard]] const std::string* section(const std::string& hash) const;
    [[nodiscard]] const std::map<std::string, std::string>& sections() const { return m_sections; }

    /// Versions under way, newest first.
    [[nodiscard]] std::vector<version_id> candidates() const;

    /// Gives up a version.
    void drop(const version_id& id);

    /// `id` is in force: gives up all that is not newer, and keeps its sections.
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
