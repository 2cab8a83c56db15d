// A push of the hash alone, followed by a pull of the content, is the "lazy push" of
// Leitao, Pereira and Rodrigues, "Epidemic Broadcast Trees", SRDS 2007: the content is
// sent to each node once, although its hash arrives several times.
#include "pomelohead/distribution/replicator.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Maximum of section bytes in one answer; exceeded only by a single larger section.
constexpr std::size_t max_answer_bytes = 256'000;

// Maximum of conflicts that are remembered so that each is reported once.
constexpr std::size_t max_reported_conflicts = 64;

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
    const offer_status status = m_gate.classify(id);
    if (status == offer_status::conflict) {
        report_conflict(id, address);
    }
    if (status != offer_status::newer || id.m_version == 0) {
        m_claims.remove(address);
        return status == offer_status::stale;
    }
    if (m_claims.add(address, id, now)) {
        advance(id, now);
    }
    return false;
}

void replicator::on_manifest(const std::string& address, const manifest_value& value,
                             time_point now)
{
    const auto pending = m_pending_pulls.find(address);
    if (pending == m_pending_pulls.end() || pending->second.m_id.m_manifest_hash != value.m_hash) {
        return;
    }
    const version_id id = pending->second.m_id;
    m_pending_pulls.erase(pending);
    m_claims.record_answer(address);
    if (value.m_bytes.empty()) {
        record_empty_answer(address, now);
        return;
    }
    reason why;
    if (config::content_hash(value.m_bytes) != id.m_manifest_hash) {
        reject_claim(address, "delivered content with a different hash", now);
    }
    else if (const auto parsed = config::parse_manifest(value.m_bytes, why); !parsed) {
        reject_claim(address, why.m_text, now);
    }
    else if (parsed->m_version != id.m_version) {
        reject_claim(address, "its manifest has version " + std::to_string(parsed->m_version), now);
    }
    else {
        m_assembly.add(value.m_bytes, why);
    }
    advance(now);
}

void replicator::on_sections(const std::string& address, section_values values, time_point now)
{
    const auto pending = m_pending_pulls.find(address);
    if (pending == m_pending_pulls.end()) {
        return;
    }
    const version_id id = pending->second.m_id;
    const std::vector<std::string> missing = m_assembly.missing(id);
    m_pending_pulls.erase(pending);
    m_claims.record_answer(address);
    bool has_missing_section = false;
    for (std::string& bytes : values.m_sections) {
        if (std::ranges::find(missing, config::content_hash(bytes)) != missing.end()) {
            m_assembly.add_section(std::move(bytes));
            has_missing_section = true;
        }
    }
    if (!has_missing_section) {
        record_empty_answer(address, now);
        return;
    }
    advance(now);
}

std::vector<message> replicator::answer(const pull& request) const
{
    std::vector<message> answers;
    if (!request.m_manifest_hash.empty()) {
        manifest_value value{request.m_manifest_hash, {}};
        const version_id in_force = m_gate.version_in_force();
        if (in_force.m_manifest_hash == request.m_manifest_hash) {
            value.m_bytes = *m_assembly.manifest_bytes(in_force);
        }
        answers.emplace_back(std::move(value));
    }
    if (!request.m_section_hashes.empty()) {
        section_values values;
        std::size_t size = 0;
        for (const std::string& hash : request.m_section_hashes) {
            const std::string* bytes = m_assembly.section(hash);
            if (bytes != nullptr && (size == 0 || size + bytes->size() <= max_answer_bytes)) {
                size += bytes->size();
                values.m_sections.push_back(*bytes);
            }
        }
        answers.emplace_back(std::move(values));
    }
    return answers;
}

offer_status replicator::on_source_manifest(const std::string& bytes, time_point now)
{
    reason why;
    const std::optional<config::manifest> parsed = config::parse_manifest(bytes, why);
    if (!parsed) {
        reject_version(0, why);
        return offer_status::rejected;
    }
    const version_id id{parsed->m_version, config::content_hash(bytes)};
    m_source_version = id;
    const offer_status status = m_gate.classify(id);
    switch (status) {
    case offer_status::newer:
        m_assembly.add(bytes, why);
        m_source_fetches.try_emplace(
            id, source_fetch{{}, source::backoff(m_options.m_section_backoff), {}, false});
        advance(now);
        break;
    case offer_status::stale:
        reject_version(id.m_version,
                       {reason_code::stale, "the source returned to " + describe(id) + " from " +
                                                describe(m_gate.version_in_force())});
        break;
    case offer_status::conflict:
        report_conflict(id, "the source");
        break;
    default:
        break;
    }
    return status;
}

void replicator::on_source_section(const std::string& hash, std::string bytes, time_point now)
{
    if (config::content_hash(bytes) != hash) {
        on_source_section_failed(
            hash,
            {reason_code::malformed, "the content of section " + hash + " does not match its hash"},
            now);
        return;
    }
    bool is_requested = false;
    for (auto& [id, fetch] : m_source_fetches) {
        is_requested = fetch.m_in_flight.erase(hash) > 0 || is_requested;
    }
    if (is_requested) {
        m_assembly.add_section(std::move(bytes));
        advance(now);
    }
}

void replicator::on_source_section_failed(const std::string& hash, const reason& why,
                                          time_point now)
{
    for (auto& [id, fetch] : m_source_fetches) {
        if (fetch.m_in_flight.erase(hash) == 0) {
            continue;
        }
        if (!fetch.m_has_failed) {
            fetch.m_has_failed = true;
            fetch.m_next = now + fetch.m_backoff.next(m_random);
            m_hooks.m_log(log_level::warning, "section_unavailable",
                          "for " + describe(id) + ": " + why.m_text);
            m_gate.record_refusal(id.m_version, why);
        }
    }
}

void replicator::allow_first_version(bool allowed, time_point now)
{
    m_is_first_version_allowed = allowed;
    advance(now);
}

void replicator::tick(time_point now)
{
    std::vector<std::string> overdue;
    for (const auto& [address, pending] : m_pending_pulls) {
        if (pending.m_deadline <= now) {
            overdue.push_back(address);
        }
    }
    for (const std::string& address : overdue) {
        m_pending_pulls.erase(address);
        m_claims.record_timeout(address);
    }
    advance(now);
}

void replicator::drop_pending_requests(time_point now)
{
    m_pending_pulls.clear();
    for (auto& [id, fetch] : m_source_fetches) {
        fetch.m_in_flight.clear();
    }
    advance(now);
}

void replicator::advance(time_point now)
{
    std::set<version_id> ids = m_claims.versions();
    for (const version_id& id : m_assembly.candidates()) {
        ids.insert(id);
    }
    for (auto it = ids.rbegin(); it != ids.rend(); ++it) {
        advance(*it, now);
    }
}

void replicator::advance(const version_id& id, time_point now)
{
    if (m_gate.classify(id) != offer_status::newer) {
        return;
    }
    if (m_assembly.is_complete(id)) {
        try_accept(id);
        return;
    }
    // The source's call rate is limited, so it is read only if no peer holds
    // the version or the pulls from all holders timed out.
    if (!pull_from_peer(id, now) || m_claims.has_no_responsive_holder(id)) {
        fetch_from_source(id, now);
    }
}

bool replicator::pull_from_peer(const version_id& id, time_point now)
{
    for (const auto& [address, pending] : m_pending_pulls) {
        if (pending.m_id == id) {
            return true;
        }
    }
    std::vector<std::string> holders = m_claims.holders(id);
    std::erase_if(holders,
                  [&](const std::string& address) { return m_pending_pulls.contains(address); });
    if (holders.empty()) {
        return false;
    }
    std::uniform_int_distribution<std::size_t> pick(0, holders.size() - 1);
    const std::string& holder = holders[pick(m_random)];
    pull next_pull;
    if (m_assembly.has(id)) {
        next_pull.m_section_hashes = m_assembly.missing(id);
        if (next_pull.m_section_hashes.size() > max_pulled_sections) {
            next_pull.m_section_hashes.resize(max_pulled_sections);
        }
    }
    else {
        next_pull.m_manifest_hash = id.m_manifest_hash;
    }
    m_pending_pulls[holder] = {id, now + m_options.m_pull_timeout};
    m_hooks.m_send(holder, std::move(next_pull));
    return true;
}

void replicator::fetch_from_source(const version_id& id, time_point now)
{
    const auto it = m_source_fetches.find(id);
    if (it == m_source_fetches.end()) {
        return;
    }
    source_fetch& fetch = it->second;
    if (!fetch.m_in_flight.empty() || fetch.m_next > now) {
        return;
    }
    fetch.m_has_failed = false;
    const std::vector<std::string> missing = m_assembly.missing(id);
    fetch.m_in_flight.insert(missing.begin(), missing.end());
    for (const std::string& hash : missing) {
        m_hooks.m_fetch_section(hash);
    }
}

bool replicator::try_accept(const version_id& id)
{
    if (!m_gate.current()) {
        if (!m_is_first_version_allowed) {
            return false;
        }
        if (id.m_version < highest_claimed_version()) {
            m_gate.record_refusal(
                id.m_version, {reason_code::stale, "held back because version " +
                                                       std::to_string(highest_claimed_version()) +
                                                       " is in force on other nodes"});
            return false;
        }
    }
    reason why;
    const config::snapshot_ptr applied =
        m_gate.accept(*m_assembly.manifest_bytes(id), m_assembly.sections(), why);
    if (!applied) {
        reject_version(id.m_version, why);
        forget(id);
        return false;
    }
    m_assembly.set_in_force(id);
    m_claims.set_in_force(id);
    std::erase_if(m_source_fetches,
                  [&](const auto& entry) { return entry.first.m_version <= id.m_version; });
    std::erase_if(m_pending_pulls,
                  [&](const auto& entry) { return entry.second.m_id.m_version <= id.m_version; });
    m_hooks.m_log(log_level::info, "version_in_force", describe(id));
    m_hooks.m_in_force(applied);
    return true;
}

void replicator::forget(const version_id& id)
{
    m_assembly.drop(id);
    m_source_fetches.erase(id);
    m_claims.forget(id);
}

void replicator::record_empty_answer(const std::string& address, time_point now)
{
    if (const std::optional<version_id> id = m_claims.record_empty_answer(address, now)) {
        report_false_claim(address, *id, "does not have it");
    }
    advance(now);
}

void replicator::reject_claim(const std::string& address, const std::string& text, time_point now)
{
    if (const std::optional<version_id> id = m_claims.reject_claim(address, now)) {
        report_false_claim(address, *id, text);
    }
}

void replicator::report_false_claim(const std::string& address, const version_id& id,
                                    const std::string& text)
{
    reject_version(id.m_version, {reason_code::invalid,
                                  "peer " + address + " claims " + describe(id) + " but " + text});
}

void replicator::reject_version(config::version_number version, reason why)
{
    m_hooks.m_log(log_level::warning, "version_refused",
                  "version " + std::to_string(version) + ": " + why.m_text);
    m_gate.record_refusal(version, std::move(why));
}

void replicator::report_conflict(const version_id& id, const std::string& from)
{
    if (m_reported_conflicts.contains(id.m_manifest_hash)) {
        return;
    }
    if (m_reported_conflicts.size() >= max_reported_conflicts) {
        m_reported_conflicts.clear();
    }
    m_reported_conflicts.insert(id.m_manifest_hash);
    m_hooks.m_log(log_level::error, "version_conflict",
                  describe(id) + " from " + from + " differs from " +
                      describe(m_gate.version_in_force()) + ", which stays in force");
    m_gate.record_refusal(id.m_version, {reason_code::conflict,
                                         describe(id) + " from " + from +
                                             " has different content than the version in force"});
}

} // namespace pomelohead::distribution
