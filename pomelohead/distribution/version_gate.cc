#include "pomelohead/distribution/version_gate.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Refused contents that are remembered, so that they are not fetched again.
constexpr std::size_t max_refused_hashes = 16;

bool is_whole(const std::string& manifest_bytes, const std::map<std::string, std::string>& sections)
{
    reason unused;
    const std::optional<config::manifest> parsed = config::parse_manifest(manifest_bytes, unused);
    return !parsed || std::ranges::all_of(parsed->m_sections, [&](const config::section_ref& ref) {
        const auto it = sections.find(ref.m_hash);
        return it != sections.end() && config::content_hash(it->second) == ref.m_hash;
    });
}

} // namespace

version_id version_gate::held() const
{
    if (!m_current) {
        return {};
    }
    return {m_current->m_version, m_current->m_manifest_hash};
}

judgement version_gate::judge(const version_id& offered) const
{
    const version_id in_force = held();
    if (offered.m_version < in_force.m_version) {
        return judgement::stale;
    }
    if (offered.m_version == in_force.m_version) {
        return offered.m_manifest_hash == in_force.m_manifest_hash ? judgement::held
                                                                   : judgement::conflict;
    }
    const bool refused =
        std::ranges::find(m_refused_hashes, offered.m_manifest_hash) != m_refused_hashes.end();
    return refused ? judgement::refused : judgement::take;
}

config::snapshot_ptr version_gate::accept(const std::string& manifest_bytes,
                                          const std::map<std::string, std::string>& sections,
                                          reason& why)
{
    std::optional<config::snapshot> opened = config::open_bundle(manifest_bytes, sections, why);
    if (!opened) {
        // The sections' hashes are part of the manifest, so the manifest's hash
        // stands for the whole content; a missing section may still come.
        if (is_whole(manifest_bytes, sections)) {
            m_refused_hashes.push_back(config::content_hash(manifest_bytes));
            if (m_refused_hashes.size() > max_refused_hashes) {
                m_refused_hashes.pop_front();
            }
        }
        return nullptr;
    }
    switch (judge({opened->m_version, opened->m_manifest_hash})) {
    case judgement::take:
        m_current = std::make_shared<const config::snapshot>(*std::move(opened));
        if (m_last_refusal && m_last_refusal->m_version == m_current->m_version) {
            m_last_refusal.reset(); // a trouble on the way that is over
        }
        return m_current;
    case judgement::conflict:
        why = {reason_code::conflict,
               "version " + std::to_string(opened->m_version) + " is in force with other content"};
        return nullptr;
    default:
        why = {reason_code::stale, "version " + std::to_string(opened->m_version) +
                                       " is not newer than version " +
                                       std::to_string(held().m_version)};
        return nullptr;
    }
}

void version_gate::note_refusal(config::version_number version, reason why)
{
    m_last_refusal = refusal{version, std::move(why)};
}

} // namespace pomelohead::distribution
