#include "pomelohead/distribution/version_gate.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Maximum of rejected contents that are remembered so that they are not fetched again.
constexpr std::size_t max_refused_hashes = 16;

bool is_complete(const std::string& manifest_bytes,
                 const std::map<std::string, std::string>& sections)
{
    reason unused;
    const std::optional<config::manifest> parsed = config::parse_manifest(manifest_bytes, unused);
    return !parsed || std::ranges::all_of(parsed->m_sections, [&](const config::section_ref& ref) {
        const auto it = sections.find(ref.m_hash);
        return it != sections.end() && config::content_hash(it->second) == ref.m_hash;
    });
}

} // namespace

version_id version_gate::version_in_force() const
{
    if (!m_current) {
        return {};
    }
    return {m_current->m_version, m_current->m_manifest_hash};
}

offer_status version_gate::classify(const version_id& offered) const
{
    const version_id in_force = version_in_force();
    if (offered.m_version < in_force.m_version) {
        return offer_status::stale;
    }
    if (offered.m_version == in_force.m_version) {
        return offered.m_manifest_hash == in_force.m_manifest_hash ? offer_status::duplicate
                                                                   : offer_status::conflict;
    }
    const bool refused =
        std::ranges::find(m_refused_hashes, offered.m_manifest_hash) != m_refused_hashes.end();
    return refused ? offer_status::rejected : offer_status::newer;
}

config::snapshot_ptr version_gate::accept(const std::string& manifest_bytes,
                                          const std::map<std::string, std::string>& sections,
                                          reason& why)
{
    std::optional<config::snapshot> opened = config::open_bundle(manifest_bytes, sections, why);
    if (!opened) {
        // The manifest contains the hashes of the sections, so its own hash identifies the
        // whole content. Content with missing sections is not remembered, as they may
        // still arrive.
        if (is_complete(manifest_bytes, sections)) {
            m_refused_hashes.push_back(config::content_hash(manifest_bytes));
            if (m_refused_hashes.size() > max_refused_hashes) {
                m_refused_hashes.pop_front();
            }
        }
        return nullptr;
    }
    switch (classify({opened->m_version, opened->m_manifest_hash})) {
    case offer_status::newer:
        m_current = std::make_shared<const config::snapshot>(*std::move(opened));
        if (m_last_refusal && m_last_refusal->m_version == m_current->m_version) {
            m_last_refusal.reset(); // was a temporary failure of this version
        }
        return m_current;
    case offer_status::conflict:
        why = {reason_code::conflict, "version " + std::to_string(opened->m_version) +
                                          " is already in force with different content"};
        return nullptr;
    default:
        why = {reason_code::stale, "version " + std::to_string(opened->m_version) +
                                       " is not newer than version " +
                                       std::to_string(version_in_force().m_version)};
        return nullptr;
    }
}

void version_gate::record_refusal(config::version_number version, reason why)
{
    m_last_refusal = refusal{version, std::move(why)};
}

} // namespace pomelohead::distribution
