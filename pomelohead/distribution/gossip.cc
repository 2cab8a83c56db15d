// Probing with helpers and the updates that ride on it follow SWIM (see
// member_table.cc). Here the probed members are fixed neighbours on random rings,
// not random ones each time, so that connections last.
#include "pomelohead/distribution/gossip.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

using membership::member;
using membership::member_state;
using membership::merge_result;

constexpr milliseconds question_period{1'000};

// Pings for others that may be under way.
constexpr std::size_t max_errands = 32;

// Leaves passed on at one go.
constexpr std::size_t max_relays = max_piggyback;

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
           .m_ping_via_others =
               [this](const std::string& address, std::uint64_t sequence) {
                   ping_via_others(address, sequence);
               },
           .m_failed = [this](const std::string& address,
                              time_point now) { m_table.suspect(address, now); }})
{
}

void gossip::set_hints(std::set<std::string> addresses)
{
    m_hints = std::move(addresses);
    m_hints.erase(m_table.self().m_address);
}

void gossip::start(time_point now)
{
    // The first exchange and contact come at a random part of their periods, so that
    // nodes that start together do not stay in step.
    const auto part = [&](milliseconds period) {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(0, period.count())(m_random));
    };
    m_next_exchange = now + part(m_options.m_exchange_period);
    m_next_contact = now + part(m_options.m_contact_period);
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
    // A node that is believed not to live is told so, that it may refute.
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
        m_neighbours = membership::find_neighbours(m_table.self(), m_table.present());
    }
}

void gossip::tick(time_point now)
{
    if (m_superseded) {
        return;
    }
    m_table.expire(now);
    refresh_neighbours();
    m_prober.tick(now, m_neighbours.m_successors);
    if (now >= m_next_exchange) {
        m_next_exchange = now + m_options.m_exchange_period;
        for (const std::string& address : m_table.sample(1, m_random)) {
            tell(address, true);
        }
    }
    if (now >= m_next_contact) {
        m_next_contact = now + m_options.m_contact_period;
        contact_somebody(now);
    }
    flush_relays();
}

void gossip::contact_somebody(time_point now)
{
    std::vector<std::string> candidates;
    for (const std::string& address : m_hints) {
        const member* known = m_table.find(address);
        if (known == nullptr || known->m_state == member_state::dead) {
            candidates.push_back(address);
        }
    }
    for (const member& item : m_table.all()) {
        if (item.m_state == member_state::dead && !m_hints.contains(item.m_address)) {
            candidates.push_back(item.m_address);
        }
    }
    if (candidates.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const std::string& address = candidates[pick(m_random)];
    tell(address, true);
    ask_for_members(address, now);
}

bool gossip::on_summary(const std::string& from, const summary& state, time_point now)
{
    const bool heeded =
        m_table.heard_from(from, state.m_incarnation, state.m_leaving, state.m_held.m_version, now);
    if (heeded || m_superseded) {
        return heeded;
    }
    if (const member* known = m_table.find(from)) {
        // The sender has to learn that another process is believed to live there.
        m_hooks.m_send(from, notice{own_summary(), {*known}, false});
    }
    else {
        ask_for_members(from, now);
    }
    return false;
}

void gossip::merge(const member& update, time_point now)
{
    const member* known = m_table.find(update.m_address);
    const bool was_leaving = known != nullptr && known->m_state == member_state::leaving;
    switch (m_table.merge(update, now, m_unconfirmed)) {
    case merge_result::superseded:
        m_superseded = true;
        m_hooks.m_log(log_level::error, "superseded",
                      "another process lives under this node's address since it froze");
        break;
    case merge_result::refuted:
        m_hooks.m_log(log_level::info, "incarnation_raised",
                      "now " + std::to_string(m_table.self().m_incarnation));
        break;
    case merge_result::changed:
        if (update.m_state == member_state::leaving && !was_leaving) {
            m_relays.push_back(update);
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
    flush_relays();
}

void gossip::flush_relays()
{
    if (m_relays.empty()) {
        return;
    }
    refresh_neighbours();
    if (m_relays.size() > max_relays) {
        m_relays.resize(max_relays); // the others ride on pings
    }
    const notice news{own_summary(), std::move(m_relays), false};
    m_relays.clear();
    for (const std::string& address : m_neighbours.m_all) {
        m_hooks.m_send(address, news);
    }
}

void gossip::on_ping(const std::string& from, const ping& item)
{
    if (!m_superseded) {
        m_hooks.m_send(from, ack{item.m_sequence, own_summary(), updates_for(from)});
    }
}

bool gossip::on_ack(const ack& item)
{
    const auto it = m_errands.find(item.m_sequence);
    if (it == m_errands.end()) {
        return m_prober.answered(item.m_sequence);
    }
    m_hooks.m_send(it->second.m_asker, indirect_ack{it->second.m_sequence, it->second.m_target});
    m_errands.erase(it);
    return false;
}

void gossip::on_ping_request(const std::string& from, const ping_request& item)
{
    if (m_superseded || item.m_target == m_table.self().m_address) {
        return;
    }
    if (m_errands.size() >= max_errands) {
        m_errands.erase(m_errands.begin());
    }
    const std::uint64_t sequence = m_prober.take_sequence();
    m_errands[sequence] = {from, item.m_target, item.m_sequence};
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
    std::vector<std::string> helpers = m_table.sample(m_options.m_helpers + 1, m_random);
    std::erase(helpers, address);
    if (helpers.size() > m_options.m_helpers) {
        helpers.resize(m_options.m_helpers);
    }
    for (const std::string& helper : helpers) {
        m_hooks.m_send(helper, ping_request{sequence, address});
    }
}

void gossip::push()
{
    if (m_superseded) {
        return;
    }
    refresh_neighbours();
    std::vector<std::string> receivers = m_neighbours.m_all;
    for (const std::string& address : m_table.sample(m_options.m_push_random, m_random)) {
        if (std::ranges::find(receivers, address) == receivers.end()) {
            receivers.push_back(address);
        }
    }
    for (const std::string& address : receivers) {
        tell(address, false);
    }
}

void gossip::tell(const std::string& address, bool answer_wanted)
{
    if (!m_superseded) {
        m_hooks.m_send(address, notice{own_summary(), updates_for(address), answer_wanted});
    }
}

void gossip::ask_for_members(const std::string& address, time_point now)
{
    if (!m_superseded && now >= m_next_question) {
        m_next_question = now + question_period;
        m_hooks.m_send(address, join_request{});
    }
}

void gossip::doubt(time_point now)
{
    m_unconfirmed = true;
    m_doubted_before = m_prober.next_sequence();
    m_prober.reset();
    m_errands.clear();
    m_table.restart_suspicions(now);
    refresh_neighbours();
    for (const std::string& address : m_neighbours.m_all) {
        m_prober.probe(address, now);
    }
}

void gossip::leave()
{
    m_table.leave();
    m_relays.push_back(m_table.self());
    flush_relays();
    push();
}

} // namespace pomelohead::distribution
