// Detects failure domains whose hosts do not respond, from the connections of one entry node.
//
// A partition leaves open connections silent, without a reset. Each request that is sent on one is
// lost, and an entry has several idle connections to each host of the other domains, so it would
// lose a request on each of them before it had tried all. Two hosts of one domain that fall silent
// within a second, and no response from the domain since, therefore count for the whole domain.
// It is tried again after a backoff that doubles with each further silence.
//
// Load: a domain is partitioned while callers of both sides go on sending.
//
//     unreachable_domains domains;
//     domains.record_silence("bala", "10.1.0.5", now);
//     domains.record_silence("bala", "10.1.0.6", now);
//     domains.is_unreachable("bala", now);   // true
//     domains.record_response("bala");
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <map>
#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Reachability of failure domains. The entry's own is never recorded.
class unreachable_domains {
public:
    /// Records that a host has neither accepted a connection nor acknowledged data in time. Returns
    /// whether the domain becomes unreachable by it.
    bool record_silence(const std::string& domain, const std::string& address, time_point now);

    /// Records that a host of the domain has responded, if only to refuse.
    void record_response(const std::string& domain) { m_domains.erase(domain); }

    [[nodiscard]] bool is_unreachable(const std::string& domain, time_point now) const;

private:
    // Hosts of a domain also end one by one; only a partition silences two within this time.
    static constexpr duration window = std::chrono::seconds(1);
    static constexpr std::size_t min_silent_hosts = 2;
    static constexpr duration initial_backoff = std::chrono::milliseconds(250);
    static constexpr duration max_backoff = std::chrono::milliseconds(1000);

    struct domain_state {
        std::map<std::string, time_point> m_silent_hosts; ///< by address: when noticed
        time_point m_retry_at{};
        duration m_backoff{}; ///< zero: not unreachable so far
    };
    std::unordered_map<std::string, domain_state> m_domains;
};

} // namespace pomelohead::routing
