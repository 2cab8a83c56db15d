// The core's answers to messages.
#include "pomelohead/distribution/core.h"

namespace pomelohead::distribution {
namespace {

// Between pulls of the host list.
constexpr milliseconds hosts_pull_period{2'000};

} // namespace

summary core::own_summary() const
{
    summary state;
    state.m_held = m_versions.gate().held();
    if (m_source_confirmed) {
        state.m_source_age = std::chrono::duration_cast<milliseconds>(now() - *m_source_confirmed);
    }
    state.m_hosts_index = m_hosts.m_index;
    return state;
}

void core::receive(const std::string& from, const message& item)
{
    if (!m_running || !m_options.m_gossip_enabled || from == m_options.m_self.m_address) {
        return;
    }
    std::visit([&](const auto& typed) { handle(from, typed); }, item);
}

void core::connection_failed(const std::string& address)
{
    if (!m_running) {
        return;
    }
    m_gossip.on_connection_failed(address, now());
    answered_join(address);
}

void core::note_source_age(const summary& state)
{
    if (!state.m_source_age) {
        return;
    }
    const time_point confirmed = now() - *state.m_source_age;
    const version_id held = m_versions.gate().held();
    if (state.m_held == held) {
        if (!m_source_confirmed || confirmed > *m_source_confirmed) {
            m_source_confirmed = confirmed;
        }
    }
    else if (m_claimed < state.m_held) {
        m_claimed = state.m_held;
        m_claimed_confirmed = confirmed;
    }
}

void core::on_summary(const std::string& from, const summary& state, bool reply_if_behind)
{
    m_last_peer_word = now();
    if (!m_gossip.on_summary(from, state, now())) {
        return;
    }
    note_source_age(state);
    const bool behind = m_versions.on_claim(from, state.m_held, now());
    if (behind && reply_if_behind) {
        m_gossip.tell(from, false);
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
    const bool awaited = m_gossip.on_ack(item);
    on_summary(from, item.m_summary, true);
    // An answer to a ping from before the freeze may have lain in a buffer.
    if (awaited && m_gossip.is_unconfirmed() && item.m_sequence >= m_gossip.doubted_before() &&
        !m_gossip.is_superseded() &&
        item.m_summary.m_held.m_version <= m_versions.gate().held().m_version) {
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
    on_summary(from, item.m_summary, !item.m_answer_wanted);
    if (item.m_answer_wanted) {
        m_gossip.tell(from, false);
    }
    answered_join(from);
}

void core::handle(const std::string& from, const join_request&)
{
    m_gossip.on_join_request(from);
}

void core::handle(const std::string& from, const member_list& item)
{
    m_gossip.on_updates(item.m_members, now());
    note_settling(true);
    on_summary(from, item.m_summary, false);
    answered_join(from);
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
