#include "pomelohead/node/node_options.h"

#include "pomelohead/settings/policy_knobs.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::node {
namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

// Between the end of a stop and the moment at which the host ends the process: for closing the
// connections. It takes at most one part in exit_share of a short limit.
constexpr duration exit_time = std::chrono::milliseconds(250);
constexpr int exit_share = 12;

// Reads knobs as the types that the options have.
class knob_reader {
public:
    explicit knob_reader(const settings::node_settings& settings) : m_values(settings.m_policy) {}

    [[nodiscard]] double number(std::string_view name) const
    {
        return settings::knob_value(m_values, name);
    }
    [[nodiscard]] bool on(std::string_view name) const { return number(name) != 0; }
    template <class Integer>
    [[nodiscard]] Integer whole(std::string_view name) const
    {
        return static_cast<Integer>(std::llround(number(name)));
    }
    /// The value of a knob in milliseconds.
    [[nodiscard]] std::chrono::microseconds microseconds(std::string_view name) const
    {
        return std::chrono::microseconds(std::llround(number(name) * 1000));
    }
    [[nodiscard]] duration seconds(std::string_view name) const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(number(name)));
    }

private:
    const std::map<std::string, double>& m_values;
};

admission::admission_options admission_options_of(const knob_reader& knobs)
{
    admission::admission_options options;
    options.m_short_reserve = knobs.on("short_reserve");
    options.m_urgency_order = knobs.on("urgency_order");
    options.m_depth_order = knobs.on("depth_order");
    options.m_fair_share = knobs.on("fair_share");
    options.m_deadline_admission = knobs.on("deadline_admission");
    options.m_bounded_wait = knobs.on("bounded_wait");
    options.m_slow_start = knobs.on("owner_slow_start");
    options.m_objective_order = knobs.on("objective_order");
    options.m_call_reserve = knobs.on("call_reserve");
    options.m_short_first = knobs.on("short_first");
    options.m_route_floor = knobs.number("route_floor");
    options.m_deep_first = knobs.on("deep_first");
    options.m_late_wait = milliseconds(knobs.whole<std::int64_t>("late_wait_ms"));
    options.m_queue_per_slot = knobs.whole<std::uint32_t>("queue_per_slot");
    options.m_max_wait = milliseconds(knobs.whole<std::int64_t>("max_wait_ms"));
    return options;
}

routing::routing_options routing_options_of(const knob_reader& knobs)
{
    routing::routing_options options;
    options.m_power_of_two = knobs.on("power_of_two");
    options.m_use_load_reports = knobs.on("owner_word");
    options.m_slow_detection = knobs.on("slow_detection");
    options.m_slow_start = knobs.on("slow_start");
    options.m_local_preference = knobs.on("local_preference");
    options.m_retry_budget = knobs.on("retry_budget");
    options.m_hedging = knobs.on("hedging");
    options.m_max_silence = milliseconds(knobs.whole<std::int64_t>("max_silence_ms"));
    options.m_domain_detection = knobs.on("domain_detection");
    options.m_candidates = knobs.whole<std::uint32_t>("candidates");
    options.m_immediate_attempts = knobs.whole<std::uint32_t>("immediate_attempts");
    options.m_use_target_history = knobs.on("target_history");
    options.m_cross_domain_cost = knobs.microseconds("cross_domain_cost_ms");
    options.m_cross_domain_cost_per_kib = knobs.microseconds("cross_domain_cost_ms_per_kib");
    options.m_retry_share = knobs.number("retry_share");
    options.m_budget_cap = knobs.number("retry_cap");
    options.m_resend_share = knobs.number("resend_share");
    options.m_resend_window = milliseconds(knobs.whole<std::int64_t>("resend_window_ms"));
    options.m_slow_ratio = knobs.number("slow_ratio");
    options.m_hedge_share = knobs.number("hedge_share");
    options.m_hedge_window =
        std::chrono::duration_cast<milliseconds>(knobs.seconds("hedge_window_s"));
    options.m_hedge_across_domains = knobs.on("hedge_across_domains");
    options.m_hedge_quantile = knobs.number("hedge_quantile");
    return options;
}

void log_distribution(distribution::log_level level, std::string_view event,
                      const std::string& text)
{
    log_event(static_cast<log_level>(level), event, {{"text", text}});
}

} // namespace

distribution::distribution_options distribution_options_of(const settings::node_settings& settings)
{
    const knob_reader knobs(settings);
    distribution::distribution_options options;
    options.m_self = {settings.m_node, settings.m_listen.m_address, settings.m_region,
                      settings.m_failure_domain};
    options.m_control_port = settings.m_listen.m_control_port;
    options.m_seeds = settings.m_peers;
    options.m_source.m_address = settings.m_source.m_address;
    options.m_source.m_port = settings.m_source.m_port;
    options.m_core.m_gossip_enabled = knobs.on("gossip");
    options.m_core.m_watchers = knobs.whole<std::size_t>("watchers");
    options.m_core.m_reader.m_poll_period =
        std::chrono::duration_cast<milliseconds>(knobs.seconds("source_poll_s"));
    options.m_log = log_distribution;
    return options;
}

forwarding::entry_options entry_options_of(const settings::node_settings& settings,
                                           const forwarding::dialect& names,
                                           std::uint64_t incarnation)
{
    const knob_reader knobs(settings);
    forwarding::entry_options options;
    options.m_listen = {settings.m_listen.m_address, settings.m_listen.m_caller_port};
    options.m_owner_port = settings.m_listen.m_owner_port;
    options.m_failure_domain = settings.m_failure_domain;
    options.m_region = settings.m_region;
    options.m_seed = incarnation ^ std::hash<std::string>{}(settings.m_listen.m_address);
    options.m_attempts = knobs.whole<std::size_t>("attempts");
    options.m_max_buffered_bytes_per_request = knobs.whole<std::size_t>("upload_buffer_kib") * kib;
    options.m_max_buffered_bytes = knobs.whole<std::size_t>("upload_buffers_mib") * mib;
    options.m_routing = routing_options_of(knobs);
    options.m_dialect = names;
    options.m_service = settings.m_service;
    return options;
}

forwarding::owner_options owner_options_of(const settings::node_settings& settings,
                                           const forwarding::dialect& names,
                                           std::uint64_t incarnation)
{
    const knob_reader knobs(settings);
    forwarding::owner_options options;
    options.m_listen = {settings.m_listen.m_address, settings.m_listen.m_owner_port};
    options.m_incarnation = incarnation;
    options.m_max_buffered_bytes_per_request = knobs.whole<std::size_t>("upload_buffer_kib") * kib;
    options.m_max_buffered_bytes = knobs.whole<std::size_t>("upload_buffers_mib") * mib;
    options.m_admission = admission_options_of(knobs);
    if (settings.m_in_force_within) {
        // The other half is for the entry to notice by itself.
        options.m_settle_time = *settings.m_in_force_within / 2;
    }
    options.m_quarantine.m_lifetime = knobs.seconds("quarantine_s");
    options.m_tickets.m_lifetime = knobs.seconds("ticket_s");
    options.m_tickets.m_answer_lifetime = knobs.seconds("ticket_s");
    options.m_dialect = names;
    return options;
}

milliseconds in_force_within_of(const settings::node_settings& settings)
{
    constexpr milliseconds default_in_force_within{2'000};
    return settings.m_in_force_within.value_or(default_in_force_within);
}

discovery::catalog_options catalog_options_of(const settings::node_settings& settings,
                                              std::uint64_t incarnation)
{
    discovery::catalog_options options;
    options.m_address = settings.m_listen.m_address;
    options.m_relay_port = settings.m_listen.m_control_port;
    options.m_failure_domain = settings.m_failure_domain;
    options.m_incarnation = incarnation;
    // Twenty nodes get a packed configuration of 30 KB within a tenth of a second.
    constexpr double least_relay_mbps = 50;
    // Decoding and packing it take some 10 ms of a core.
    constexpr double least_relay_cores = 0.15;
    options.m_is_preferred_relay =
        settings.m_link_mbps.value_or(least_relay_mbps) >= least_relay_mbps &&
        settings.m_cores.value_or(least_relay_cores) >= least_relay_cores;
    options.m_seeds = settings.m_peers;
    options.m_timing = discovery::make_relay_timing(in_force_within_of(settings));
    options.m_configuration.m_list_after_changes = true;
    if (settings.m_in_force_within) {
        options.m_configuration.m_batch_delay = options.m_timing.m_batch_delay;
        options.m_registrations.m_batch_delay = options.m_timing.m_batch_delay;
    }
    return options;
}

lifecycle::shutdown_options shutdown_options_of(const settings::node_settings& settings)
{
    const knob_reader knobs(settings);
    lifecycle::shutdown_options options;
    options.m_lame_duck = knobs.seconds("lame_duck_s");
    if (knobs.number("stop_limit_s") > 0) {
        options.m_bound = knobs.seconds("stop_limit_s");
    }
    else if (settings.m_stop_limit) {
        const duration limit = *settings.m_stop_limit;
        options.m_bound = limit - std::min(exit_time, limit / exit_share);
    }
    return options;
}

std::vector<forwarding::endpoint> ports_of(const settings::node_settings& settings)
{
    const settings::listen_settings& listen = settings.m_listen;
    std::vector<std::uint16_t> ports = {listen.m_admin_port, listen.m_owner_port,
                                        listen.m_caller_port};
    if (listen.m_ready_port != 0) {
        ports.push_back(listen.m_ready_port);
    }
    if (settings.m_store || knob_reader(settings).on("gossip")) {
        ports.push_back(listen.m_control_port);
    }
    std::vector<forwarding::endpoint> out;
    out.reserve(ports.size());
    for (const std::uint16_t port : ports) {
        out.push_back({listen.m_address, port});
    }
    return out;
}

duration port_wait_limit_of(const settings::node_settings& settings)
{
    constexpr duration margin = std::chrono::seconds(1); // for the end of the process itself
    constexpr duration default_limit = std::chrono::seconds(10);
    const std::optional<duration> stop_bound = shutdown_options_of(settings).m_bound;
    return stop_bound ? *stop_bound + margin : default_limit;
}

} // namespace pomelohead::node
