// An immutable configuration, such as the one that a node has in force.
//
// A snapshot is self-contained: every route refers to a service in it, every rule to a
// target or account in it. It is built once, validated once (validate.h) and shared by
// std::shared_ptr<const snapshot>; a request uses the same snapshot from start to end.
//
//     std::shared_ptr<const snapshot> config = node.current();
//     const route* match = config->find_route("GET", "/rota/tonight");
//     const service* called = config->find_service(match->m_service);
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::config {

using std::chrono::milliseconds;

/// The platform's version number; the only ordering of configurations.
using version_number = std::uint64_t;

/// How long a request is expected to hold a slot.
enum class work_class { short_work, long_work };

[[nodiscard]] std::string_view to_string(work_class value); ///< "short" or "long"

/// Priority of a request under overload; lower values are served first.
enum class urgency { urgent = 0, normal = 1, deferrable = 2 };

[[nodiscard]] std::string_view to_string(urgency value); ///< "urgent", "normal", "deferrable"

/// A service's share of a route that is split among several services.
struct service_share {
    std::string m_service;
    std::uint32_t m_weight = 0; ///< relative to the sum of the weights of the route

    bool operator==(const service_share&) const = default;
};

/// Maps matching requests to a service and sets how they are served.
struct route {
    std::string m_name;        ///< unique in the snapshot
    std::string m_account;     ///< account that the requests belong to, or "*"
    std::string m_host{};      ///< matching Host in lower case; empty: any
    std::string m_method;      ///< an HTTP method, or "*" for any
    std::string m_path_prefix; ///< begins with '/'; matches whole path segments
    std::string m_service;     ///< the only service, or the first of m_shares
    work_class m_class = work_class::short_work;
    bool m_idempotent = false; ///< a request may run more than once
    urgency m_urgency = urgency::normal;
    milliseconds m_deadline{};  ///< from arrival at the entry node to the complete response
    milliseconds m_objective{}; ///< latency objective; zero: none
    std::uint32_t m_max_targets =
        0; ///< targets that one request may be sent to; 0: the node's setting
    std::vector<service_share> m_shares{}; ///< empty: all requests go to m_service

    /// Whether requests may go to the service.
    [[nodiscard]] bool leads_to(std::string_view service) const;

    bool operator==(const route&) const = default;
};

/// A process that executes requests of a service.
struct target {
    std::string m_name; ///< unique in the snapshot
    std::string m_service;
    std::string m_host;       ///< IP address, shared with the owner node beside the target
    std::uint16_t m_port = 0; ///< port on which the target accepts requests
    std::string m_failure_domain;
    std::uint32_t m_slots = 0;       ///< requests that it executes concurrently
    std::int64_t m_started_ms = 0;   ///< Unix time of its start; 0: unknown
    std::uint32_t m_connections = 0; ///< maximum connections that it accepts
    /// What its registration states of its warm-up's remaining time; set only where the service
    /// states a warm-up rate.
    milliseconds m_warm_up_left{};

    bool operator==(const target&) const = default;
};

/// A service and all of its targets.
struct service {
    std::string m_name;
    std::vector<target> m_targets;       ///< sorted by name
    std::uint32_t m_max_connections = 0; ///< per target, from all nodes; 0: m_connections
    std::string m_health_path{};         ///< empty: unknown
    milliseconds m_warm_up_time{};       ///< how long a target warms up after its start
    /// Requests a second that a target takes from all nodes together while it warms up; 0: any.
    double m_warm_up_rate = 0;

    bool operator==(const service&) const = default;
};

/// A target that is to get no new requests.
struct drain_rule {
    std::string m_target;
    std::string m_note; ///< the operator's remark, shown in the status output

    bool operator==(const drain_rule&) const = default;
};

/// Requests that an owner rejects while the load of its target is at a threshold or above.
struct shed_rule {
    std::string m_account; ///< an account, or "*" for all
    work_class m_class = work_class::short_work;
    urgency m_from_urgency = urgency::normal; ///< this urgency and less urgent ones
    /// Threshold: running plus queued requests, in percent of the slots.
    std::uint32_t m_load_percent = 100;

    bool operator==(const shed_rule&) const = default;
};

/// Size limits and timeouts for requests from callers.
struct caller_limits {
    std::size_t m_max_header_bytes = 16UL * 1024UL;
    std::uint64_t m_max_body_bytes = 64ULL * 1024 * 1024 * 1024;
    milliseconds m_header_timeout{10'000}; ///< from the first byte to the end of a request head
    milliseconds m_idle_timeout{75'000};   ///< between requests on one connection

    bool operator==(const caller_limits&) const = default;
};

/// A complete configuration.
struct snapshot {
    version_number m_version = 0;     ///< 0: none
    std::string m_manifest_hash;      ///< lower-case hex SHA-256 of the manifest's bytes
    std::vector<route> m_routes;      ///< sorted by name
    std::vector<service> m_services;  ///< sorted by name
    std::vector<drain_rule> m_drains; ///< sorted by target
    std::vector<shed_rule> m_sheds;
    /// Failure domains whose targets get no new requests at the operator's request; sorted.
    std::vector<std::string> m_evacuated_domains;
    caller_limits m_limits;

    bool operator==(const snapshot&) const = default;

    /// Returns the route for a request, or null if none matches. A route for the request's
    /// host precedes one for any host, then a longer path prefix precedes a shorter one,
    /// then a named method precedes "*". `host` is the value of the Host header, with or
    /// without a port.
    [[nodiscard]] const route* find_route(std::string_view method, std::string_view path,
                                          std::string_view host = {}) const;
    [[nodiscard]] const route* find_route_by_name(std::string_view name) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const target* find_target(std::string_view name) const;
    /// Whether any target has this IP address.
    [[nodiscard]] bool has_host(std::string_view address) const;
    [[nodiscard]] bool is_draining(std::string_view target_name) const;
    /// Whether the operator has requested that the failure domain's targets get no new requests.
    [[nodiscard]] bool is_evacuated(std::string_view failure_domain) const;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace pomelohead::config
