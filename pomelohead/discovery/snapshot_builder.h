// Builds configuration snapshots from the configuration and the registered targets.
//
// The operators' configuration names services; the targets of a service register and disappear
// independently, and more often. The builder holds both and combines them into one snapshot. A
// registered target that is draining stays in the snapshot with a drain rule, because its
// requests in flight continue.
//
// Invariants:
//   - The configuration's version never decreases. Different content under the version in force
//     is rejected, unless a restored store has it, and an invalid configuration is rejected
//     completely.
//   - Of two registrations under one key, the one of the later revision is in force. One that a
//     restored store names does not replace that of a later start or heartbeat, and that of a
//     target that has left is not used again.
//   - Of two registrations at one address, only that of the later start is in the snapshot.
//   - A registration under a service that the configuration does not name changes nothing.
//   - An evacuation is in force from its key's appearance to its removal. A value there that cannot
//     be decoded changes nothing. Targets of an evacuated failure domain stay with a drain rule.
//
//     snapshot_builder builder(decode, on_snapshot);
//     builder.put({.m_key = "configuration", .m_revision = {1, 7}, .m_value = bytes});
//     builder.publish();    // builds a snapshot if anything has changed
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/discovery/instance.h"
#include "pomelohead/discovery/removed_instances.h"
#include "pomelohead/runtime/reason.h"
#include "pomelohead/source/key_value.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelohead::discovery {

/// Decoded value of the store: nothing relevant to a node, the complete configuration without
/// targets, one target, or the evacuation of a failure domain.
using decoded_value = std::variant<std::monostate, config::snapshot, instance, evacuation>;

/// Decodes a value. Returns nullopt, with reason malformed or invalid, for a value that should be
/// decodable but is not.
using decode_fn = std::function<std::optional<decoded_value>(const source::key_change&, reason&)>;

/// Holds the store's values and the snapshot built from them.
class snapshot_builder {
public:
    /// publish() calls `on_snapshot` with each new snapshot.
    snapshot_builder(decode_fn decode,
                     std::function<void(const config::snapshot_ptr&)> on_snapshot);

    /// Applies a new or changed value. Returns whether it replaces what is known under its key; if
    /// not, what is known is newer or better.
    bool put(const source::key_change& change);

    /// Applies the removal of a key, seen at `revision`. A configuration in force stays in force.
    void remove(const std::string& key, const source::store_revision& revision);

    /// Builds and publishes a snapshot if values have changed since the last one and there is a
    /// configuration.
    void publish();

    /// Null before the first configuration.
    [[nodiscard]] config::snapshot_ptr current() const { return m_current; }

    /// Returns the addresses of the failure domain's hosts with a registered target that is not
    /// draining.
    [[nodiscard]] std::vector<std::string> hosts_of(const std::string& failure_domain) const;

    /// Returns why the latest rejected configuration or registration was rejected.
    [[nodiscard]] const reason& last_refusal() const { return m_last_refusal; }

private:
    bool apply_configuration(config::snapshot received, const source::store_revision& revision);
    [[nodiscard]] bool supersedes(config::version_number version, std::uint64_t epoch) const;
    bool apply_instance(const source::key_change& change, instance received);
    void apply_evacuation(const source::key_change& change, evacuation received);
    [[nodiscard]] bool remove_evacuation(const std::string& key,
                                         const source::store_revision& revision);
    [[nodiscard]] std::size_t count_targets(const std::string& failure_domain) const;
    void report_evacuations();
    void reject(const std::string& key, reason why);
    /// Whether the registration is of a service of the configuration; true before there is one.
    [[nodiscard]] bool names_target(const instance& item) const;
    /// Returns the registrations that the snapshot is made from, and logs which others there are.
    [[nodiscard]] std::vector<const instance*> select_instances();
    void log_omissions(std::map<std::string, std::string_view> omitted);
    [[nodiscard]] config::snapshot build_snapshot();

    struct held_evacuation {
        evacuation m_value;
        std::uint64_t m_revision = 0;      // of the store
        bool m_is_reported = false;        // its coming into force has been logged
        bool m_is_domain_verified = false; // whether the domain has targets has been examined
    };

    decode_fn m_decode;
    std::function<void(const config::snapshot_ptr&)> m_on_snapshot;
    std::optional<config::snapshot> m_configuration;        // without targets
    std::uint64_t m_configuration_epoch = 0;                // the latest in which it was read
    std::map<std::string, instance> m_instances;            // by key
    std::map<std::string, std::uint64_t> m_instance_epochs; // of the store that has named them
    std::map<std::string, std::string_view> m_omitted;      // by key: why the snapshot lacks it
    removed_instances m_removed;
    std::map<std::string, held_evacuation> m_evacuations; // by key
    config::snapshot_ptr m_current;
    reason m_last_refusal;
    bool m_changed = false;
};

} // namespace pomelohead::discovery
