// Fetches newer versions from peers and from the source, and puts them in force.
//
// The replicator receives claims ("this peer has version 8 with this hash in force") and
// values (manifests and sections), requests what is missing, and passes complete versions
// to its version_gate. It does no I/O: requests leave through hooks, answers arrive by
// calls, and tick() retries requests that timed out.
//
// Until its first version is in force, a node holds back any version older than the
// highest one in its claim_table.
#pragma once

#include "pomelohead/distribution/assembly.h"
#include "pomelohead/distribution/claim_table.h"
#include "pomelohead/distribution/log_hook.h"
#include "pomelohead/distribution/messages.h"
#include "pomelohead/runtime/timer_service.h"
#include "pomelohead/source/backoff.h"

#include <random>

namespace pomelohead::distribution {

/// Limits of a replicator.
struct replicator_options {
    milliseconds m_pull_timeout{1'000}; ///< a pull without an answer by then is retried
    claim_options m_claims{};
    source::backoff_options
        m_section_backoff{}; ///< between failed reads of sections from the source
};

/// Callbacks into the owner of a replicator.
struct replicator_hooks {
    std::function<void(const std::string& address, message)> m_send;
    std::function<void(const std::string& hash)> m_fetch_section; ///< from the source
    std::function<void(config::snapshot_ptr)> m_in_force;
    log_hook m_log;
};

/// Replicates configuration versions on one node.
class replicator {
public:
    replicator(replicator_options options, replicator_hooks hooks, std::uint64_t seed);

    /// Records that a peer has `id` in force. Returns true if that is older than the version
    /// in force here.
    bool on_claim(const std::string& address, const version_id& id, time_point now);

    void on_manifest(const std::string& address, const manifest_value& value, time_point now);
    void on_sections(const std::string& address, section_values values, time_point now);

    /// Returns the answers to a peer's pull.
    [[nodiscard]] std::vector<message> answer(const pull& request) const;

    /// Handles the source's newest manifest. Returns how it compares with the version in force.
    offer_status on_source_manifest(const std::string& bytes, time_point now);
    void on_source_section(const std::string& hash, std::string bytes, time_point now);
    void on_source_section_failed(const std::string& hash, const reason& why, time_point now);

    /// Sets whether a first version may be put in force. Initially it may not, so that the
    /// peers can be asked for newer versions first.
    void allow_first_version(bool allowed, time_point now);

    /// Drops pulls that timed out, and sends the requests that are due.
    void tick(time_point now);

    /// Drops all pending requests and sends them again, as after a freeze.
    void drop_pending_requests(time_point now);

    [[nodiscard]] const version_gate& gate() const { return m_gate; }

    /// See claim_table::highest_claimed_version().
    [[nodiscard]] config::version_number highest_claimed_version() const
    {
        return m_claims.highest_claimed_version();
    }

    /// The newest version that the source last returned.
    [[nodiscard]] const version_id& source_version() const { return m_source_version; }

    /// Whether a newer version is pending because parts of it are missing.
    [[nodiscard]] bool is_assembling() const { return !m_assembly.candidates().empty(); }

private:
    struct pending_pull {
        version_id m_id;
        time_point m_deadline;
    };
    struct source_fetch {
        std::set<std::string> m_in_flight;
        source::backoff m_backoff;
        time_point m_next{};
        bool m_has_failed = false;
    };

    /// Accepts the newer versions that are complete, and requests the missing parts of the
    /// others; the newest version comes first.
    void advance(time_point now);
    void advance(const version_id& id, time_point now);
    bool pull_from_peer(const version_id& id, time_point now);
    void fetch_from_source(const version_id& id, time_point now);
    bool try_accept(const version_id& id);
    void record_empty_answer(const std::string& address, time_point now);
    void reject_claim(const std::string& address, const std::string& text, time_point now);
    void report_false_claim(const std::string& address, const version_id& id,
                            const std::string& text);
    void forget(const version_id& id);
    void reject_version(config::version_number version, reason why);
    void report_conflict(const version_id& id, const std::string& from);

    replicator_options m_options;
    replicator_hooks m_hooks;
    std::mt19937_64 m_random;
    version_gate m_gate;
    assembly m_assembly;
    bool m_is_first_version_allowed = false;
    version_id m_source_version;
    claim_table m_claims;
    std::map<std::string, pending_pull> m_pending_pulls; // by address
    std::map<version_id, source_fetch> m_source_fetches; // by version offered by the source
    std::set<std::string> m_reported_conflicts;          // manifest hashes
};

} // namespace pomelohead::distribution
