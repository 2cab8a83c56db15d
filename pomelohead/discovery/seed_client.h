// Asks the seeds of a node's settings for the members of its failure domain.
//
// A node that starts would otherwise learn of other nodes only from the store's registrations,
// at the price of a complete list. Seeds are ordinary nodes: they may be down, or have started at
// the same time and know nothing yet.
//
//     seed_client seeds(io, {"10.1.0.4", "10.2.0.9"}, options);
//     const auto hints = seeds.ask();   // in a fiber
#pragma once

#include "pomelohead/discovery/referral.h"
#include "pomelohead/forwarding/http_get.h"

#include <random>

namespace pomelohead::discovery {

struct seed_options {
    std::string m_address; ///< of this node
    std::string m_failure_domain;
    std::uint16_t m_relay_port = 0; ///< the same on all nodes
    bool m_is_preferred_relay = false;
};

class seed_client {
public:
    /// `io` must outlive the object. `seeds` are IP addresses.
    seed_client(boost::asio::io_context& io, std::vector<std::string> seeds, seed_options options,
                std::uint64_t random_seed);

    /// Asks one seed after another, in random order, until one knows members; nullopt if none
    /// does. Suspends the calling fiber.
    [[nodiscard]] std::optional<referral> ask();

    /// Whether there is a seed to ask.
    [[nodiscard]] bool has_others() const { return !m_seeds.empty(); }

    /// Whether other nodes may ask this one.
    [[nodiscard]] bool is_seed() const { return m_is_seed; }

    /// Makes calls in flight and all later ones fail.
    void cancel();

private:
    [[nodiscard]] std::optional<referral> ask_one(const std::string& seed, reason& why);

    boost::asio::io_context& m_io;
    std::vector<std::string> m_seeds; ///< without this node
    bool m_is_seed;
    seed_options m_options;
    std::mt19937_64 m_random;
    forwarding::in_flight_calls m_in_flight;
    bool m_cancelled = false;
};

} // namespace pomelohead::discovery
