// The configuration that a node has in force, as one immutable value.
//
// A snapshot is whole: every route names a service that it has, every rule a
// target or account that it has. It is built once, checked once (validate.h) and
// shared by std::shared_ptr<const snapshot>; a request keeps the one it began with.
//
//     std::shared_ptr<const snapshot> config = node.current();
//     const route* match = config->find_route("GET", "/rota/tonight");
//     const service* owner_set = config->find_service(match->m_service);
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::config {

using std::chrono::milliseconds;

/// The platform's version number: the only order between configurations.
using version_number = std::uint64_t;

/// How long a request is expected to hold a slot.
enum class work_class { short_work, long_work };

[[nodiscard]] std::string_view to_string(work_class value); ///< "short" or "long"

/// How urgent a request is when not everything can be served; lower values go first.
enum class urgency { urgent = 0, normal = 1, deferrable = 2 };

[[nodiscard]] std::string_view to_string(urgency value); ///< "urgent", "normal", "deferrable"

/// A service's share of a route that is divided among several.
struct service_share {
    std::string m_service;
    std::uint32_t m_weight = 0; ///< relative to the sum over the route

    bool operator==(const service_share&) const = default;
};

/// One way for callers' requests to reach a service.
struct route {
    std::string m_name;        ///< unique in the snapshot
    std::string m_account;     ///< for whom the request is served
    std::string m_host{};      ///< lower-case Host that it matches; empty: any
    std::string m_method;      ///< an HTTP method, or "*" for any
    std::string m_path_prefix; ///< begins with '/', matches whole path segments
    std::string m_service;     ///< the only service, or the first of m_shares
    work_class m_class = work_class::short_work;
    bool m_idempotent = false; ///< whether running it twice is the same as once
    urgency m_urgency = urgency::normal;
    milliseconds m_deadline{};       ///< from arrival at the first node to the whole answer
    milliseconds m_objective{};      ///< latency objective; zero: none is stated
    std::uint32_t m_max_targets = 0; ///< targets that one request may reach; 0: the node's setting
    std::vector<service_share> m_shares{}; ///< empty: all requests go to m_service

    bool operator==(const route&) const = default;
};

/// One process that runs a service's requests.
struct target {
    std::string m_name; ///< unique in the snapshot
    std::string m_service;
    std::string m_host;       ///< IP address; the node beside the target has the same one
    std::uint16_t m_port = 0; ///< the target's own port
    std::string m_failure_domain;
    std::uint32_t m_slots = 0;       ///< requests that it runs at the same time
    std::int64_t m_started_ms = 0;   ///< Unix time of its start; 0: not known
    std::uint32_t m_connections = 0; ///< connections that it accepts

    bool operator==(const target&) const = default;
};

/// A service and all of its targets.
struct service {
    std::string m_name;
    std::vector<target> m_targets;       ///< sorted by name
    std::uint32_t m_max_connections = 0; ///< to each target from all nodes; 0: as its target says
    std::string m_health_path{};         ///< empty: none is known

    bool operator==(const service&) const = default;
};

/// A target that gets no new work.
struct drain_rule {
    std::string m_target;
    std::string m_note; ///< the operator's words, shown in status

    bool operator==(const drain_rule&) const = default;
};

/// Requests that an owner refuses while its target is loaded.
struct shed_rule {
    std::string m_account; ///< an account, or "*" for all
    work_class m_class = work_class::short_work;
    urgency m_from_urgency = urgency::normal; ///< applies to this urgency and less urgent ones
    std::uint32_t m_load_percent = 100;       ///< running plus queued, as a share of the slots

    bool operator==(const shed_rule&) const = default;
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t m_max_header_bytes = 16UL * 1024UL;
    std::uint64_t m_max_body_bytes = 64ULL * 1024 * 1024 * 1024;
    milliseconds m_header_timeout{10'000}; ///< for a whole head after its first byte
    milliseconds m_idle_timeout{75'000};   ///< between requests on one connection

    bool operator==(const caller_limits&) const = default;
};

/// A whole configuration.
struct snapshot {
    version_number m_version = 0;     ///< 0: none
    std::string m_manifest_hash;      ///< lower-case hex SHA-256 of the manifest's bytes
    std::vector<route> m_routes;      ///< sorted by name
    std::vector<service> m_services;  ///< sorted by name
    std::vector<drain_rule> m_drains; ///< sorted by target
    std::vector<shed_rule> m_sheds;
    caller_limits m_limits;

    bool operator==(const snapshot&) const = default;

    /// The route for a request: of those for its host, or for any, the longest
    /// matching path prefix, and of equal ones a named method before "*". Null where
    /// none matches. `host` is a Host field's value, with or without a port.
    [[nodiscard]] const route* find_route(std::string_view method, std::string_view path,
                                          std::string_view host = {}) const;
    [[nodiscard]] const route* find_route_by_name(std::string_view name) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const target* find_target(std::string_view name) const;
    /// Whether any target stands on the host of this IP address.
    [[nodiscard]] bool has_host(std::string_view address) const;
    [[nodiscard]] bool is_draining(std::string_view target_name) const;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace pomelohead::config
