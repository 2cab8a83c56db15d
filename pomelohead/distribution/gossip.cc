// Indirect probes and piggybacked updates follow SWIM (see member_table.cc). Unlike in
// SWIM, the probed members are fixed neighbours on random rings instead of random ones
// each time, so that connections are reused.
#include "pomelohead/distribution/gossip.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

using membership::member;
using membership::member_state;
using membership::merge_result;

// Minimum between join requests.
constexpr milliseconds join_request_period{1'000};

// Maximum of pending pings on behalf of others; the oldest is evicted.
constexpr std::size_t max_relayed_pings = 32;

// Maximum of leaves forwarded in one notice.
constexpr std::size_t max_forwarded_leaves = max_piggyback;

} // namespace

gossip::gossip(gossip_options options, member self, gossip_hooks hooks, std::uint64_t seed)
    : m_options(options), m_hooks(std::move(hooks)), m_random(seed),
      m_table(std::move(self), options.m_table),
      m_prober(
          options.m_prober,
          {.m_ping =
               [this](const std::string& address, std::uint64_t sequence) {
                   m_hooks.m_send(address, ping{sequence, own_summary(), updates_for(address)});
               },
           .m_ping_indirect =
               [this](const std::string& address, std::uint64_t sequence) {
                   ping_via_others(address, sequence);
               },
           .m_failed = [this](const std::string& address,
                              time_point now) { m_table.suspect(address, now); }})
{
}

void gossip::set_candidate_addresses(std::set<std::string> addresses)
{
    m_candidate_addresses = std::move(addresses);
    m_candidate_addresses.erase(m_table.self().m_address);
}

void gossip::start(time_point now)
{
    // The first exchange and contact start after a random part of their periods, so that
    // nodes that start together do not run in lockstep.
    const auto random_delay = [&](milliseconds period) {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(0, period.count())(m_random));
    };
    m_next_exchange = now + random_delay(m_options.m_exchange_period);
    m_next_absent_contact = now + random_delay(m_options.m_absent_contact_period);
}

summary gossip::own_summary() const
{
    summary state = m_hooks.m_summary();
    state.m_incarnation = m_table.self().m_incarnation;
    state.m_leaving = m_table.self().m_state == member_state::leaving;
    return state;
}

std::vector<member> gossip::updates_for(const std::string& address)
{
    std::vector<member> updates;
    // A node that is suspect, leaving or dead here is sent that state, so that it can refute it.
    const member* receiver = m_table.find(address);
    if (receiver != nullptr && receiver->m_state != member_state::alive) {
        updates.push_back(*receiver);
    }
    for (member& update : m_table.take_updates(max_piggyback - updates.size())) {
        if (update.m_address != address) {
            updates.push_back(std::move(update));
        }
    }
    return updates;
}

void gossip::refresh_neighbours()
{
    if (m_neighbours_revision != m_table.revision()) {
        m_neighbours_revision = m_table.revision();
        m_neighbours = membership::find_neighbours(m_table.self(), m_table.non_dead_members());
    }
}

void gossip::tick(time_point now)
{
    if (m_is_superseded) {
        return;
    }
    m_table.expire(now);
    refresh_neighbours();
    m_prober.tick(now, m_neighbours.m_successors);
    if (now >= m_next_exchange) {
        m_next_exchange = now + m_options.m_exchange_period;
        for (const std::string& address : m_table.sample(1, m_random)) {
            send_notice(address, true);
        }
    }
    if (now >= m_next_absent_contact) {
        m_next_absent_contact = now + m_options.m_absent_contact_period;
        contact_absent_node(now);
    }
    forward_leaves();
}

void gossip::contact_absent_node(time_point now)
{
    std::vector<std::string> candidates;
    for (const std::string& address : m_candidate_addresses) {
        const member* known = m_table.find(address);
        if (known == nullptr || known->m_state == member_state::dead) {
            candidates.push_back(address);
        }
    }
    for (const member& item : m_table.all()) {
        if (item.m_state == member_state::dead && !m_candidate_addresses.contains(item.m_address)) {
            candidates.push_back(item.m_address);
        }
    }
    if (candidates.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const std::string& address = candidates[pick(m_random)];
    send_notice(address, true);
    request_members(address, now);
}

bool gossip::on_summary(const std::string& from, const summary& state, time_point now)
{
    const bool is_accepted = m_table.record_direct_message(
        from, state.m_incarnation, state.m_leaving, state.m_version_in_force.m_version, now);
    if (is_accepted || m_is_superseded) {
        return is_accepted;
    }
    if (const member* known = m_table.find(from)) {
        // The sender must learn that a later process is known under its address.
        m_hooks.m_send(from, notice{own_summary(), {*known}, false});
    }
    else {
        request_members(from, now);
    }
    return false;
}

void gossip::merge(const member& update, time_point now)
{
    const member* known = m_table.find(update.m_address);
    const bool was_leaving = known != nullptr && known->m_state == member_state::leaving;
    switch (m_table.merge(update, now, m_is_unconfirmed)) {
    case merge_result::superseded:
        m_is_superseded = true;
        m_hooks.m_log(log_level::error, "superseded",
                      "another process took over this node's address during the freeze");
        break;
    case merge_result::refuted:
        m_hooks.m_log(log_level::info, "incarnation_raised",
                      "new incarnation " + std::to_string(m_table.self().m_incarnation));
        break;
    case merge_result::changed:
        if (update.m_state == member_state::leaving && !was_leaving) {
            m_pending_leaves.push_back(update);
        }
        break;
    case merge_result::ignored:
        break;
    }
}

void gossip::on_updates(const std::vector<member>& updates, time_point now)
{
    for (const member& update : updates) {
        merge(update, now);
    }
    forward_leaves();
}

void gossip::forward_leaves()
{
    if (m_pending_leaves.empty()) {
        return;
    }
    refresh_neighbours();
    if (m_pending_leaves.size() > max_forwarded_leaves) {
        m_pending_leaves.resize(max_forwarded_leaves); // the rest is piggybacked on pings
    }
    const notice leave_notice{own_summary(), std::move(m_pending_leaves), false};
    m_pending_leaves.clear();
    for (const std::string& address : m_neighbours.m_all) {
        m_hooks.m_send(address, leave_notice);
    }
}

void gossip::on_ping(const std::string& from, const ping& item)
{
    if (!m_is_superseded) {
        m_hooks.m_send(from, ack{item.m_sequence, own_summary(), updates_for(from)});
    }
}

bool gossip::on_ack(const ack& item)
{
    const auto it = m_relayed_pings.find(item.m_sequence);
    if (it == m_relayed_pings.end()) {
        return m_prober.answered(item.m_sequence);
    }
    m_hooks.m_send(it->second.m_requester,
                   indirect_ack{it->second.m_sequence, it->second.m_target});
    m_relayed_pings.erase(it);
    return false;
}

void gossip::on_ping_request(const std::string& from, const ping_request& item)
{
    if (m_is_superseded || item.m_target == m_table.self().m_address) {
        return;
    }
    if (m_relayed_pings.size() >= max_relayed_pings) {
        m_relayed_pings.erase(m_relayed_pings.begin());
    }
    const std::uint64_t sequence = m_prober.allocate_sequence();
    m_relayed_pings[sequence] = {from, item.m_target, item.m_sequence};
    m_hooks.m_send(item.m_target, ping{sequence, own_summary(), updates_for(item.m_target)});
}

void gossip::on_indirect_ack(const indirect_ack& item)
{
    m_prober.answered(item.m_sequence);
}

void gossip::on_join_request(const std::string& from)
{
    std::vector<member> members = m_table.all();
    if (members.size() > max_listed_members) {
        std::ranges::shuffle(members, m_random);
        members.resize(max_listed_members);
    }
    m_hooks.m_send(from, member_list{own_summary(), std::move(members)});
}

void gossip::on_connection_failed(const std::string& address, time_point now)
{
    m_prober.connection_failed(address, now);
}

void gossip::ping_via_others(const std::string& address, std::uint64_t sequence)
{
    std::vector<std::string> proxies = m_table.sample(m_options.m_indirect_probers + 1, m_random);
    std::erase(proxies, address);
    if (proxies.size() > m_options.m_indirect_probers) {
        proxies.resize(m_options.m_indirect_probers);
    }
    for (const std::string& proxy : proxies) {
        m_hooks.m_send(proxy, ping_request{sequence, address});
    }
}

void gossip::push_state()
{
    if (m_is_superseded) {
        return;
    }
    refresh_neighbours();
    std::vector<std::string> receivers = m_neighbours.m_all;
    for (const std::string& address : m_table.sample(m_options.m_push_random_members, m_random)) {
        if (std::ranges::find(receivers, address) == receivers.end()) {
            receivers.push_back(address);
        }
    }
    for (const std::string& address : receivers) {
        send_notice(address, false);
    }
}

void gossip::send_notice(const std::string& address, bool reply_requested)
{
    if (!m_is_superseded) {
        m_hooks.m_send(address, notice{own_summary(), updates_for(address), reply_requested});
    }
}

void gossip::request_members(const std::string& address, time_point now)
{
    if (!m_is_superseded && now >= m_next_join_request) {
        m_next_join_request = now + join_request_period;
        m_hooks.m_send(address, join_request{});
    }
}

void gossip::require_confirmation(time_point now)
{
    m_is_unconfirmed = true;
    m_first_confirming_sequence = m_prober.next_sequence();
    m_prober.reset();
    m_relayed_pings.clear();
    m_table.restart_suspicions(now);
    refresh_neighbours();
    for (const std::string& address : m_neighbours.m_all) {
        m_prober.probe(address, now);
    }
}

void gossip::leave()
{
    m_table.leave();
    m_pending_leaves.push_back(m_table.self());
    forward_leaves();
    push_state();
}

} // namespace pomelohead::distribution
