// Gets newer versions from peers and from the source, and puts them in force.
//
// The replicator hears claims ("this peer has version 8 with this hash") and
// values (manifests and sections), asks for what is missing, and hands whole
// versions to its version_gate. It does no I/O: requests go out by hooks, answers
// come in by calls, and tick() renews requests that were not answered.
//
// Before its first version comes into force a node holds back any version older
// than the highest that its claim_book has heard of.
#pragma once

#include "pomelohead/distribution/assembly.h"
#include "pomelohead/distribution/claim_book.h"
#include "pomelohead/distribution/log_hook.h"
#include "pomelohead/distribution/messages.h"
#include "pomelohead/runtime/timer_service.h"
#include "pomelohead/source/backoff.h"

#include <random>

namespace pomelohead::distribution {

/// Limits of a replicator.
struct replicator_options {
    milliseconds m_pull_limit{1'000}; ///< a pull not answered by then is made again
    claim_options m_claims{};
    source::backoff_options m_section_retry{}; ///< between reads of sections from the source
};

/// What a replicator asks of its owner.
struct replicator_hooks {
    std::function<void(const std::string& address, message)> m_send;
    std::function<void(const std::string& hash)> m_fetch_section; ///< from the source
    std::function<void(config::snapshot_ptr)> m_in_force;
    log_hook m_log;
};

/// The versions of one node.
class replicator {
public:
    replicator(replicator_options options, replicator_hooks hooks, std::uint64_t seed);

    /// A peer says that it has `id` in force. Returns whether the peer is behind.
    bool on_claim(const std::string& address, const version_id& id, time_point now);

    void on_manifest(const std::string& address, const manifest_value& value, time_point now);
    void on_sections(const std::string& address, section_values values, time_point now);

    /// A peer asks for values. Returns the answers.
    [[nodiscard]] std::vector<message> answer(const pull& request) const;

    /// The source's newest manifest. Returns how it compares with what is in force.
    judgement on_source_manifest(const std::string& bytes, time_point now);
    void on_source_section(const std::string& hash, std::string bytes, time_point now);
    void on_source_section_failed(const std::string& hash, const reason& why, time_point now);

    /// Allows or forbids to put a first version in force; forbidden until the peers were asked.
    void allow_first(bool allowed, time_point now);

    /// Renews requests that are overdue.
    void tick(time_point now);

    /// Forgets requests under way, as after a freeze; they are made again.
    void forget_requests(time_point now);

    [[nodiscard]] const version_gate& gate() const { return m_gate; }

    /// The highest version that a credited claim names.
    [[nodiscard]] config::version_number heard_version() const { return m_claims.heard_version(); }

    /// What the source last gave as its newest.
    [[nodiscard]] const version_id& source_version() const { return m_source_version; }

    /// Whether a newer version is being put together.
    [[nodiscard]] bool is_busy() const { return !m_parts.candidates().empty(); }

private:
    struct request {
        version_id m_id;
        time_point m_deadline;
    };
    struct source_fetch {
        std::set<std::string> m_under_way;
        source::backoff m_retry;
        time_point m_next{};
        bool m_failed = false;
    };

    void progress(time_point now);
    void progress(const version_id& id, time_point now);
    bool pull_from_peer(const version_id& id, time_point now);
    void fetch_from_source(const version_id& id, time_point now);
    bool try_accept(const version_id& id);
    void strike(const std::string& address, time_point now);
    void discredit(const std::string& address, const std::string& text, time_point now);
    void report_false_claim(const std::string& address, const version_id& id,
                            const std::string& text);
    void forget(const version_id& id);
    void refuse(config::version_number version, reason why);
    void report_conflict(const version_id& id, const std::string& from);

    replicator_options m_options;
    replicator_hooks m_hooks;
    std::mt19937_64 m_random;
    version_gate m_gate;
    assembly m_parts;
    bool m_first_allowed = false;
    version_id m_source_version;
    claim_book m_claims;
    std::map<std::string, request> m_requests;           // unanswered pulls by address
    std::map<version_id, source_fetch> m_source_fetches; // the source's versions
    std::set<std::string> m_reported;                    // hashes of reported conflicts
};

} // namespace pomelohead::distribution
