// The core's message handlers.
#include "pomelohead/distribution/core.h"

namespace pomelohead::distribution {
namespace {

// Minimum between pulls of the host list.
constexpr milliseconds hosts_pull_period{2'000};

} // namespace

summary core::own_summary() const
{
    summary state;
    state.m_version_in_force = m_versions.gate().version_in_force();
    if (m_source_confirmed_at) {
        state.m_source_age =
            std::chrono::duration_cast<milliseconds>(now() - *m_source_confirmed_at);
    }
    state.m_hosts_index = m_hosts.m_index;
    return state;
}

void core::receive(const std::string& from, const message& item)
{
    if (!m_is_running || !m_options.m_gossip_enabled || from == m_options.m_self.m_address) {
        return;
    }
    std::visit([&](const auto& typed) { handle(from, typed); }, item);
}

void core::connection_failed(const std::string& address)
{
    if (!m_is_running) {
        return;
    }
    m_gossip.on_connection_failed(address, now());
    complete_join_request(address);
}

void core::record_source_age(const summary& state)
{
    if (!state.m_source_age) {
        return;
    }
    const time_point confirmed = now() - *state.m_source_age;
    const version_id held = m_versions.gate().version_in_force();
    if (state.m_version_in_force == held) {
        if (!m_source_confirmed_at || confirmed > *m_source_confirmed_at) {
            m_source_confirmed_at = confirmed;
        }
    }
    else if (m_newest_peer_version < state.m_version_in_force) {
        m_newest_peer_version = state.m_version_in_force;
        m_newest_peer_version_confirmed_at = confirmed;
    }
}

void core::on_summary(const std::string& from, const summary& state, bool reply_if_behind)
{
    m_last_peer_contact = now();
    if (!m_gossip.on_summary(from, state, now())) {
        return;
    }
    record_source_age(state);
    const bool is_behind = m_versions.on_claim(from, state.m_version_in_force, now());
    if (is_behind && reply_if_behind) {
        m_gossip.send_notice(from, false);
    }
    if (state.m_hosts_index > m_hosts.m_index && now() >= m_next_hosts_pull) {
        m_next_hosts_pull = now() + hosts_pull_period;
        m_hooks.m_send(from, pull{{}, {}, true});
    }
}

void core::handle(const std::string&, const hello& item)
{
    m_gossip.on_updates({item.m_self}, now());
}

void core::handle(const std::string& from, const ping& item)
{
    m_gossip.on_updates(item.m_updates, now());
    on_summary(from, item.m_summary, false);
    m_gossip.on_ping(from, item);
}

void core::handle(const std::string& from, const ack& item)
{
    m_gossip.on_updates(item.m_updates, now());
    const bool is_expected = m_gossip.on_ack(item);
    on_summary(from, item.m_summary, true);
    // An ack for a ping sent before the freeze may have been buffered, so it confirms nothing.
    if (is_expected && m_gossip.is_unconfirmed() &&
        item.m_sequence >= m_gossip.first_confirming_sequence() && !m_gossip.is_superseded() &&
        item.m_summary.m_version_in_force.m_version <=
            m_versions.gate().version_in_force().m_version) {
        m_gossip.confirm();
    }
}

void core::handle(const std::string& from, const ping_request& item)
{
    m_gossip.on_ping_request(from, item);
}

void core::handle(const std::string&, const indirect_ack& item)
{
    m_gossip.on_indirect_ack(item);
}

void core::handle(const std::string& from, const notice& item)
{
    m_gossip.on_updates(item.m_updates, now());
    on_summary(from, item.m_summary, !item.m_reply_requested);
    if (item.m_reply_requested) {
        m_gossip.send_notice(from, false);
    }
    complete_join_request(from);
}

void core::handle(const std::string& from, const join_request&)
{
    m_gossip.on_join_request(from);
}

void core::handle(const std::string& from, const member_list& item)
{
    m_gossip.on_updates(item.m_members, now());
    record_view_size(true);
    on_summary(from, item.m_summary, false);
    complete_join_request(from);
}

void core::handle(const std::string& from, const pull& item)
{
    for (const message& value : m_versions.answer(item)) {
        m_hooks.m_send(from, value);
    }
    if (item.m_hosts && m_hosts.m_index > 0) {
        m_hooks.m_send(from, hosts_value{m_hosts.m_index, m_hosts.m_bytes});
    }
}

void core::handle(const std::string& from, const manifest_value& item)
{
    m_versions.on_manifest(from, item, now());
}

void core::handle(const std::string& from, const section_values& item)
{
    m_versions.on_sections(from, item, now());
}

void core::handle(const std::string&, const hosts_value& item)
{
    on_hosts(item.m_index, item.m_bytes);
}

} // namespace pomelohead::distribution
