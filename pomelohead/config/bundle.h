// The published form of a configuration: a manifest and its sections.
//
// The manifest lists each section with the hash of its bytes. A section's key on the
// configuration service contains its hash, so that versions never overwrite each other's
// sections, and a new version transfers only the sections that changed. All values are
// JSON texts of at most max_value_bytes. Keys on the configuration service:
//
//     manifest                manifest of the newest version
//     sections/HASH           one section; HASH is its lower-case hex SHA-256
//
// A bundle is opened as a whole or not at all:
//
//     bundle b = make_bundle(snapshot_of_the_sheet);
//     reason why;
//     std::optional<snapshot> config = open_bundle(b.m_manifest, b.m_sections, why);
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/reason.h"

#include <map>
#include <optional>

namespace pomelohead::config {

/// The largest value that the configuration service holds.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Format number of a manifest; others are rejected.
inline constexpr int bundle_format = 1;

/// One section in a manifest.
struct section_ref {
    std::string m_name; ///< "routes", "rules" or "service/NAME"
    std::string m_hash; ///< lower-case hex SHA-256 of the section's bytes

    bool operator==(const section_ref&) const = default;
};

/// The sections of a version.
struct manifest {
    version_number m_version = 0;
    std::vector<section_ref> m_sections; ///< sorted by name

    bool operator==(const manifest&) const = default;
};

/// All bytes of a version.
struct bundle {
    std::string m_manifest;
    std::map<std::string, std::string> m_sections; ///< bytes by hash

    bool operator==(const bundle&) const = default;
};

/// Lower-case hex SHA-256 of `bytes`.
[[nodiscard]] std::string content_hash(std::string_view bytes);

/// Encodes `config`; its m_manifest_hash is ignored.
[[nodiscard]] bundle make_bundle(const snapshot& config);

/// Parses a manifest. Fails with malformed on other formats, unknown fields, version 0
/// and duplicate sections, and with too_large above max_value_bytes.
[[nodiscard]] std::optional<manifest> parse_manifest(std::string_view bytes, reason& why);

/// Builds the snapshot from a manifest's bytes and the bytes of its sections by hash. Fails
/// if a section is missing (not_found), is too large (too_large), does not match its hash or
/// does not parse (malformed), or if the snapshot does not validate (invalid; validate.h).
[[nodiscard]] std::optional<snapshot>
open_bundle(std::string_view manifest_bytes, const std::map<std::string, std::string>& sections,
            reason& why);

} // namespace pomelohead::config
