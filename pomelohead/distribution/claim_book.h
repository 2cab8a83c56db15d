// Which peers say that they have which newer version, and how far to believe them.
//
// A claim is believed until its holder disproves it: false content, or max_strikes
// answers without the content, discredit it for a while. Silence disproves nothing;
// peers that left pulls unanswered are asked after all others.
//
// The highest credited claim is what a starting node measures an offered version
// by: it does not begin with an older one, even if the holder is gone since.
#pragma once

#include "pomelohead/distribution/version_gate.h"
#include "pomelohead/runtime/timer_service.h"

#include <set>
#include <vector>

namespace pomelohead::distribution {

/// Limits of a claim_book.
struct claim_options {
    unsigned m_max_strikes = 5;          ///< fruitless answers that discredit a claim
    milliseconds m_false_pause{60'000};  ///< a claim with false content is not heard for so long
    milliseconds m_silent_pause{10'000}; ///< one that its holder could not deliver, for so long

    bool operator==(const claim_options&) const = default;
};

/// The claims of peers to versions newer than the one in force.
class claim_book {
public:
    explicit claim_book(claim_options options) : m_options(options) {}

    /// A peer claims `id`, in place of what it claimed before. Returns false if that
    /// claim is discredited.
    bool add(const std::string& address, const version_id& id, time_point now);

    /// The peer claims nothing newer any more.
    void withdraw(const std::string& address) { m_claims.erase(address); }

    /// The holders of `id` that left the fewest pulls unanswered.
    [[nodiscard]] std::vector<std::string> holders(const version_id& id) const;

    /// Whether no holder of `id` answered the last pull made of it; true if there is none.
    [[nodiscard]] bool are_holders_silent(const version_id& id) const;

    /// A pull was answered, in whatever way.
    void answered(const std::string& address) { m_unanswered.erase(address); }

    /// A pull was not answered in time.
    void unanswered(const std::string& address) { ++m_unanswered[address]; }

    /// A pull was answered without use. Returns the version claimed if that discredits the claim.
    std::optional<version_id> strike(const std::string& address, time_point now);

    /// The peer delivered false content. Returns the version it claimed.
    std::optional<version_id> discredit(const std::string& address, time_point now);

    /// `id` turned out to be no valid version.
    void forget(const version_id& id);

    /// `id` is in force: claims to it and to older ones are of no more interest.
    void set_in_force(const version_id& id);

    /// All versions claimed.
    [[nodiscard]] std::set<version_id> versions() const;

    /// The highest version that a credited claim named and that is not in force; or 0.
    [[nodiscard]] config::version_number heard_version() const;

private:
    struct claim {
        version_id m_id;
        unsigned m_strikes = 0;
    };

    std::optional<version_id> drop(const std::string& address, time_point until);

    claim_options m_options;
    std::map<std::string, claim> m_claims;                                  // by address
    std::map<version_id, std::set<std::string>> m_heard;                    // with claimants
    std::map<std::pair<std::string, version_id>, time_point> m_discredited; // until when
    std::map<std::string, unsigned> m_unanswered;                           // in a row
};

} // namespace pomelohead::distribution
