// Tracks which newer versions the peers claim to have in force.
//
// A claim stands until its holder disproves it: wrong content, or m_max_empty_answers
// answers without the content, reject the claim for a while. A pull that times out
// disproves nothing; peers with timeouts are asked after all others.
//
// A starting node holds back versions older than the highest version claimed, even if
// the claimant has gone since.
#pragma once

#include "pomelohead/distribution/version_gate.h"
#include "pomelohead/runtime/timer_service.h"

#include <set>
#include <vector>

namespace pomelohead::distribution {

/// Limits of a claim_table.
struct claim_options {
    unsigned m_max_empty_answers = 5;           ///< answers without the content that reject a claim
    milliseconds m_false_claim_timeout{60'000}; ///< rejection of a claim with wrong content
    milliseconds m_empty_claim_timeout{10'000}; ///< rejection after m_max_empty_answers

    bool operator==(const claim_options&) const = default;
};

/// The claims of peers to versions newer than the one in force.
class claim_table {
public:
    explicit claim_table(claim_options options) : m_options(options) {}

    /// Records that a peer claims `id`, which replaces its earlier claim. Returns false,
    /// and only removes the earlier claim, while the peer's claim to `id` is rejected.
    bool add(const std::string& address, const version_id& id, time_point now);

    /// Removes the peer's claim.
    void remove(const std::string& address) { m_claims.erase(address); }

    /// The holders of `id` with the fewest pulls timed out in a row.
    [[nodiscard]] std::vector<std::string> holders(const version_id& id) const;

    /// Whether the last pull from each holder of `id` timed out; true if there are no holders.
    [[nodiscard]] bool has_no_responsive_holder(const version_id& id) const;

    /// Records any answer to a pull, and so resets the peer's timeouts.
    void record_answer(const std::string& address) { m_timeouts.erase(address); }

    /// Records a pull that timed out.
    void record_timeout(const std::string& address) { ++m_timeouts[address]; }

    /// Records an answer without the content. Returns the version claimed if the claim is
    /// rejected for it.
    std::optional<version_id> record_empty_answer(const std::string& address, time_point now);

    /// Rejects the claim of a peer that delivered wrong content. Returns the version claimed.
    std::optional<version_id> reject_claim(const std::string& address, time_point now);

    /// Removes all claims to `id`, which is not a valid version.
    void forget(const version_id& id);

    /// Removes the claims to `id`, which is now in force, and to older versions.
    void set_in_force(const version_id& id);

    /// All versions currently claimed.
    [[nodiscard]] std::set<version_id> versions() const;

    /// The highest version claimed, now or earlier, that is newer than the one in force and
    /// whose claims were not all rejected; 0 if none.
    [[nodiscard]] config::version_number highest_claimed_version() const;

private:
    struct claim {
        version_id m_id;
        unsigned m_empty_answers = 0;
    };

    std::optional<version_id> drop(const std::string& address, time_point until);

    claim_options m_options;
    std::map<std::string, claim> m_claims;                                      // by address
    std::map<version_id, std::set<std::string>> m_claimants_by_version;         // also past ones
    std::map<std::pair<std::string, version_id>, time_point> m_rejected_claims; // until this time
    std::map<std::string, unsigned> m_timeouts; // pulls in a row, by address
};

} // namespace pomelohead::distribution
