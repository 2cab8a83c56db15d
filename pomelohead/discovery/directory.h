// Joins the configuration with the targets that have registered themselves.
//
// The operators' configuration names services; their targets come and go on their own,
// and faster. The directory holds both and makes one snapshot of them, which the rest
// of the node uses like any other. A registered target that drains stays in the
// snapshot with a drain rule, since its requests in flight go on.
//
// Invariants:
//   - the configuration's version only grows; another content under the version in
//     force is refused, and an invalid one is refused whole;
//   - of two registrations under one key, that of the earlier start never replaces
//     that of the later one;
//   - of two registrations at one address, only that of the later start is in the snapshot.
//
//     directory targets(decode, on_snapshot);
//     targets.put({.m_key = "configuration", .m_revision = 7, .m_value = bytes});
//     targets.settle();    // builds a snapshot where something has changed
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/discovery/instance.h"
#include "pomelohead/runtime/reason.h"
#include "pomelohead/source/key_value.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelohead::discovery {

/// What a value of the store holds: nothing that concerns a node, the whole
/// configuration without targets, or one target.
using decoded = std::variant<std::monostate, config::snapshot, instance>;

/// Reads a value; fails with malformed or invalid where it is one that should be read.
using decode_fn = std::function<std::optional<decoded>(const source::key_change&, reason&)>;

/// Holds what the store says, and the snapshot made of it.
class snapshot_builder {
public:
    /// `on_snapshot` is called from settle() with each new snapshot.
    snapshot_builder(decode_fn decode,
                     std::function<void(const config::snapshot_ptr&)> on_snapshot);

    /// Takes a new or changed value.
    void put(const source::key_change& change);

    /// Takes the removal of a key. A configuration in force stays.
    void remove(const std::string& key);

    /// Makes a snapshot of all changes since the last call.
    void publish();

    /// Null before the first configuration.
    [[nodiscard]] config::snapshot_ptr current() const { return m_current; }

    /// The addresses of a failure domain's hosts that have a registered target.
    [[nodiscard]] std::vector<std::string> hosts_of(const std::string& failure_domain) const;

    /// Why the latest configuration or registration was not taken.
    [[nodiscard]] const reason& last_refusal() const { return m_last_refusal; }

private:
    void apply_configuration(config::snapshot received, std::uint64_t revision);
    void apply_instance(const std::string& key, instance received);
    void reject(const std::string& key, reason why);
    [[nodiscard]] bool is_superseded(const instance& item) const;
    [[nodiscard]] config::snapshot build_snapshot() const;

    decode_fn m_decode;
    std::function<void(const config::snapshot_ptr&)> m_on_snapshot;
    std::optional<config::snapshot> m_configuration; // without targets
    std::map<std::string, instance> m_instances;     // by key
    config::snapshot_ptr m_current;
    reason m_last_refusal;
    bool m_changed = false;
};

} // namespace pomelohead::discovery
