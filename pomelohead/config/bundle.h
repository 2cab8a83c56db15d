// The published form of a configuration: a manifest and its sections.
//
// The manifest names each section and the hash of its bytes; a section's key on
// the platform is its hash, so that versions never overwrite one another's
// sections and a change costs only the sections that it touches. All values are
// JSON texts of at most max_value_bytes. Keys on the configuration service:
//
//     manifest                the manifest of the newest version
//     sections/HASH           one section; HASH is its lower-case hex SHA-256
//
// A bundle becomes a snapshot only as a whole:
//
//     reason why;
//     bundle b = make_bundle(snapshot_of_the_sheet);
//     std::optional<snapshot> config = open_bundle(b.m_manifest, b.m_sections, why);
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/reason.h"

#include <map>
#include <optional>

namespace pomelohead::config {

/// The largest value that the configuration service holds.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// The manifest's format; a node refuses any other.
inline constexpr int bundle_format = 1;

/// One line of a manifest.
struct section_ref {
    std::string m_name; ///< "routes", "rules" or "service/NAME"
    std::string m_hash; ///< lower-case hex SHA-256 of the section's bytes

    bool operator==(const section_ref&) const = default;
};

/// What a version consists of.
struct manifest {
    version_number m_version = 0;
    std::vector<section_ref> m_sections; ///< sorted by name

    bool operator==(const manifest&) const = default;
};

/// The bytes of a whole version.
struct bundle {
    std::string m_manifest;
    std::map<std::string, std::string> m_sections; ///< bytes by hash

    bool operator==(const bundle&) const = default;
};

/// Lower-case hex SHA-256 of `bytes`.
[[nodiscard]] std::string content_hash(std::string_view bytes);

/// The published form of `config`. Its m_manifest_hash is not used.
[[nodiscard]] bundle make_bundle(const snapshot& config);

/// Reads a manifest. Fails on other formats, unknown fields, version 0,
/// duplicate sections and oversized values.
[[nodiscard]] std::optional<manifest> parse_manifest(std::string_view bytes, reason& why);

/// Builds the snapshot from a manifest's bytes and the bytes of its sections by
/// hash. Fails, changing nothing, where a section is missing, its bytes do not
/// have the hash, it does not parse, or the whole does not validate (validate.h).
[[nodiscard]] std::optional<snapshot>
open_bundle(std::string_view manifest_bytes, const std::map<std::string, std::string>& sections,
            reason& why);

} // namespace pomelohead::config
