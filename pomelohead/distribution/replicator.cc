// Pull by content hash after a push of the hash alone is the "lazy push" of
// Leitao, Pereira and Rodrigues, "Epidemic Broadcast Trees", SRDS 2007: the bytes
// travel once to each node although the news of them arrives several times.
#include "pomelohead/distribution/replicator.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Section bytes in one answer, unless a single section is larger.
constexpr std::size_t max_answer_bytes = 256'000;

// Contents reported as conflicts that are remembered.
constexpr std::size_t max_reported = 64;

std::string describe(const version_id& id)
{
    constexpr std::size_t shown_hash_digits = 12;
    return "version " + std::to_string(id.m_version) + " (" +
           id.m_manifest_hash.substr(0, shown_hash_digits) + ")";
}

} // namespace

replicator::replicator(replicator_options options, replicator_hooks hooks, std::uint64_t seed)
    : m_options(options), m_hooks(std::move(hooks)), m_random(seed), m_claims(options.m_claims)
{
}

bool replicator::on_claim(const std::string& address, const version_id& id, time_point now)
{
    const judgement verdict = m_gate.judge(id);
    if (verdict == judgement::conflict) {
        report_conflict(id, address);
    }
    if (verdict != judgement::take || id.m_version == 0) {
        m_claims.withdraw(address);
        return verdict == judgement::stale;
    }
    if (m_claims.add(address, id, now)) {
        progress(id, now);
    }
    return false;
}

void replicator::on_manifest(const std::string& address, const manifest_value& value,
                             time_point now)
{
    const auto asked = m_requests.find(address);
    if (asked == m_requests.end() || asked->second.m_id.m_manifest_hash != value.m_hash) {
        return;
    }
    const version_id id = asked->second.m_id;
    m_requests.erase(asked);
    m_claims.answered(address);
    if (value.m_bytes.empty()) {
        strike(address, now);
        return;
    }
    reason why;
    if (config::content_hash(value.m_bytes) != id.m_manifest_hash) {
        discredit(address, "delivered other content than that hash", now);
    }
    else if (const auto parsed = config::parse_manifest(value.m_bytes, why); !parsed) {
        discredit(address, why.m_text, now);
    }
    else if (parsed->m_version != id.m_version) {
        discredit(address, "its manifest is of version " + std::to_string(parsed->m_version), now);
    }
    else {
        m_parts.add(value.m_bytes, why);
    }
    progress(now);
}

void replicator::on_sections(const std::string& address, section_values values, time_point now)
{
    const auto asked = m_requests.find(address);
    if (asked == m_requests.end()) {
        return;
    }
    const version_id id = asked->second.m_id;
    const std::vector<std::string> missing = m_parts.missing(id);
    m_requests.erase(asked);
    m_claims.answered(address);
    bool useful = false;
    for (std::string& bytes : values.m_sections) {
        if (std::ranges::find(missing, config::content_hash(bytes)) != missing.end()) {
            m_parts.add_section(std::move(bytes));
            useful = true;
        }
    }
    if (!useful) {
        strike(address, now);
        return;
    }
    progress(now);
}

std::vector<message> replicator::answer(const pull& request) const
{
    std::vector<message> answers;
    if (!request.m_manifest_hash.empty()) {
        manifest_value value{request.m_manifest_hash, {}};
        const version_id held = m_gate.held();
        if (held.m_manifest_hash == request.m_manifest_hash) {
            value.m_bytes = *m_parts.manifest_bytes(held);
        }
        answers.emplace_back(std::move(value));
    }
    if (!request.m_section_hashes.empty()) {
        section_values values;
        std::size_t size = 0;
        for (const std::string& hash : request.m_section_hashes) {
            const std::string* bytes = m_parts.section(hash);
            if (bytes != nullptr && (size == 0 || size + bytes->size() <= max_answer_bytes)) {
                size += bytes->size();
                values.m_sections.push_back(*bytes);
            }
        }
        answers.emplace_back(std::move(values));
    }
    return answers;
}

judgement replicator::on_source_manifest(const std::string& bytes, time_point now)
{
    reason why;
    const std::optional<config::manifest> parsed = config::parse_manifest(bytes, why);
    if (!parsed) {
        refuse(0, why);
        return judgement::refused;
    }
    const version_id id{parsed->m_version, config::content_hash(bytes)};
    m_source_version = id;
    const judgement verdict = m_gate.judge(id);
    switch (verdict) {
    case judgement::take:
        m_parts.add(bytes, why);
        m_source_fetches.try_emplace(
            id, source_fetch{{}, source::backoff(m_options.m_section_retry), {}, false});
        progress(now);
        break;
    case judgement::stale:
        refuse(id.m_version, {reason_code::stale, "the source went back to " + describe(id) +
                                                      " from " + describe(m_gate.held())});
        break;
    case judgement::conflict:
        report_conflict(id, "the source");
        break;
    default:
        break;
    }
    return verdict;
}

void replicator::on_source_section(const std::string& hash, std::string bytes, time_point now)
{
    if (config::content_hash(bytes) != hash) {
        on_source_section_failed(
            hash, {reason_code::malformed, "section " + hash + " has other bytes than its hash"},
            now);
        return;
    }
    bool wanted = false;
    for (auto& [id, fetch] : m_source_fetches) {
        wanted = fetch.m_under_way.erase(hash) > 0 || wanted;
    }
    if (wanted) {
        m_parts.add_section(std::move(bytes));
        progress(now);
    }
}

void replicator::on_source_section_failed(const std::string& hash, const reason& why,
                                          time_point now)
{
    for (auto& [id, fetch] : m_source_fetches) {
        if (fetch.m_under_way.erase(hash) == 0) {
            continue;
        }
        if (!fetch.m_failed) {
            fetch.m_failed = true;
            fetch.m_next = now + fetch.m_retry.next(m_random);
            m_hooks.m_log(log_level::warning, "section_unavailable",
                          "for " + describe(id) + ": " + why.m_text);
            m_gate.note_refusal(id.m_version, why);
        }
    }
}

void replicator::allow_first(bool allowed, time_point now)
{
    m_first_allowed = allowed;
    progress(now);
}

void replicator::tick(time_point now)
{
    std::vector<std::string> overdue;
    for (const auto& [address, asked] : m_requests) {
        if (asked.m_deadline <= now) {
            overdue.push_back(address);
        }
    }
    for (const std::string& address : overdue) {
        m_requests.erase(address);
        m_claims.unanswered(address);
    }
    progress(now);
}

void replicator::forget_requests(time_point now)
{
    m_requests.clear();
    for (auto& [id, fetch] : m_source_fetches) {
        fetch.m_under_way.clear();
    }
    progress(now);
}

void replicator::progress(time_point now)
{
    std::set<version_id> ids = m_claims.versions();
    for (const version_id& id : m_parts.candidates()) {
        ids.insert(id);
    }
    for (auto it = ids.rbegin(); it != ids.rend(); ++it) {
        progress(*it, now);
    }
}

void replicator::progress(const version_id& id, time_point now)
{
    if (m_gate.judge(id) != judgement::take) {
        return;
    }
    if (m_parts.is_whole(id)) {
        try_accept(id);
        return;
    }
    // The source's calls are scarce: it is asked where the peers do not answer.
    if (!pull_from_peer(id, now) || m_claims.are_holders_silent(id)) {
        fetch_from_source(id, now);
    }
}

bool replicator::pull_from_peer(const version_id& id, time_point now)
{
    for (const auto& [address, asked] : m_requests) {
        if (asked.m_id == id) {
            return true;
        }
    }
    std::vector<std::string> holders = m_claims.holders(id);
    std::erase_if(holders,
                  [&](const std::string& address) { return m_requests.contains(address); });
    if (holders.empty()) {
        return false;
    }
    std::uniform_int_distribution<std::size_t> pick(0, holders.size() - 1);
    const std::string& holder = holders[pick(m_random)];
    pull wanted;
    if (m_parts.has(id)) {
        wanted.m_section_hashes = m_parts.missing(id);
        if (wanted.m_section_hashes.size() > max_pulled_sections) {
            wanted.m_section_hashes.resize(max_pulled_sections);
        }
    }
    else {
        wanted.m_manifest_hash = id.m_manifest_hash;
    }
    m_requests[holder] = {id, now + m_options.m_pull_limit};
    m_hooks.m_send(holder, std::move(wanted));
    return true;
}

void replicator::fetch_from_source(const version_id& id, time_point now)
{
    const auto it = m_source_fetches.find(id);
    if (it == m_source_fetches.end()) {
        return;
    }
    source_fetch& fetch = it->second;
    if (!fetch.m_under_way.empty() || fetch.m_next > now) {
        return;
    }
    fetch.m_failed = false;
    const std::vector<std::string> missing = m_parts.missing(id);
    fetch.m_under_way.insert(missing.begin(), missing.end());
    for (const std::string& hash : missing) {
        m_hooks.m_fetch_section(hash);
    }
}

bool replicator::try_accept(const version_id& id)
{
    if (!m_gate.current()) {
        if (!m_first_allowed) {
            return false;
        }
        if (id.m_version < heard_version()) {
            m_gate.note_refusal(id.m_version,
                                {reason_code::stale, "held back: version " +
                                                         std::to_string(heard_version()) +
                                                         " is known to be in force elsewhere"});
            return false;
        }
    }
    reason why;
    const config::snapshot_ptr applied =
        m_gate.accept(*m_parts.manifest_bytes(id), m_parts.sections(), why);
    if (!applied) {
        refuse(id.m_version, why);
        forget(id);
        return false;
    }
    m_parts.set_in_force(id);
    m_claims.set_in_force(id);
    std::erase_if(m_source_fetches,
                  [&](const auto& entry) { return entry.first.m_version <= id.m_version; });
    std::erase_if(m_requests,
                  [&](const auto& entry) { return entry.second.m_id.m_version <= id.m_version; });
    m_hooks.m_log(log_level::info, "version_in_force", describe(id));
    m_hooks.m_in_force(applied);
    return true;
}

void replicator::forget(const version_id& id)
{
    m_parts.drop(id);
    m_source_fetches.erase(id);
    m_claims.forget(id);
}

void replicator::strike(const std::string& address, time_point now)
{
    if (const std::optional<version_id> id = m_claims.strike(address, now)) {
        report_false_claim(address, *id, "does not have it");
    }
    progress(now);
}

void replicator::discredit(const std::string& address, const std::string& text, time_point now)
{
    if (const std::optional<version_id> id = m_claims.discredit(address, now)) {
        report_false_claim(address, *id, text);
    }
}

void replicator::report_false_claim(const std::string& address, const version_id& id,
                                    const std::string& text)
{
    refuse(id.m_version,
           {reason_code::invalid, "peer " + address + " claims " + describe(id) + " but " + text});
}

void replicator::refuse(config::version_number version, reason why)
{
    m_hooks.m_log(log_level::warning, "version_refused",
                  "version " + std::to_string(version) + ": " + why.m_text);
    m_gate.note_refusal(version, std::move(why));
}

void replicator::report_conflict(const version_id& id, const std::string& from)
{
    if (m_reported.contains(id.m_manifest_hash)) {
        return;
    }
    if (m_reported.size() >= max_reported) {
        m_reported.clear();
    }
    m_reported.insert(id.m_manifest_hash);
    m_hooks.m_log(log_level::error, "version_conflict",
                  describe(id) + " from " + from + " differs from " + describe(m_gate.held()) +
                      ", which stays in force");
    m_gate.note_refusal(id.m_version,
                        {reason_code::conflict, describe(id) + " from " + from +
                                                    " has other content than the one in force"});
}

} // namespace pomelohead::distribution
