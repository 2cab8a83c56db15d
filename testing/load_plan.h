// What a load driver sends: the mix of requests and the times of their arrival.
//
// Arrivals are a Poisson process whose rate follows a schedule; they do not wait
// for answers. The same seed gives the same arrivals.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pomelohead::testing {

/// One kind of request.
struct request_kind {
    std::string m_name;
    double m_share = 1; ///< of all requests, relative to the other kinds' shares
    std::string m_method = "GET";
    std::string m_path = "/";
    std::map<std::string, std::string> m_headers;
    std::uint64_t m_body_bytes = 0;
    std::uint64_t m_trickle_bytes_per_s = 0; ///< 0: the body is sent at once
    std::optional<double> m_work_ms;         ///< asked of the target
    bool m_exponential_work = false;         ///< otherwise always m_work_ms
    std::uint32_t m_resends = 0;             ///< after a time-out or a lost connection
    bool m_ticket = false;                   ///< each request gets a ticket first
};

/// From a time on, the rate of arrivals.
struct rate_step {
    double m_at_s = 0;
    double m_rate_per_s = 0;
};

/// A whole run of the driver.
struct load_plan {
    std::uint64_t m_seed = 1;
    double m_duration_s = 10;
    std::vector<rate_step> m_schedule;
    std::vector<std::string> m_entries; ///< "ADDRESS:PORT"
    std::string m_id_prefix = "load";
    std::uint32_t m_timeout_ms = 10'000;
    std::string m_records; ///< file for one JSON line per request; may be empty
    std::vector<request_kind> m_mix;
};

/// Reads a plan; throws nlohmann::json::exception on a wrong one.
[[nodiscard]] load_plan read_plan(const nlohmann::json& value);

/// One request to send.
struct arrival {
    double m_at_s = 0;
    std::size_t m_kind = 0; ///< index in the mix
    std::size_t m_entry = 0;
    std::optional<double> m_work_ms;
};

/// Draws a plan's arrivals one after the other.
class arrival_process {
public:
    explicit arrival_process(const load_plan& plan);

    /// The next arrival, or nothing after the plan's duration.
    std::optional<arrival> next();

private:
    [[nodiscard]] double rate_at(double at_s) const;

    const load_plan& m_plan;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_kinds;
    double m_max_rate = 0;
    double m_now_s = 0;
};

} // namespace pomelohead::testing
