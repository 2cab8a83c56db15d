// The order of updates and the refutation by incarnation follow Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
// DSN 2002. Here an incarnation also distinguishes successive processes at one address.
#include "pomelohead/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace pomelohead::membership {
namespace {

// Number of times that an update is sent, per doubling of the table's size.
constexpr unsigned sends_per_table_doubling = 3;

bool supersedes(const member& a, const member& b)
{
    return std::tie(a.m_incarnation, a.m_state) > std::tie(b.m_incarnation, b.m_state);
}

} // namespace

member_table::member_table(member self, member_table_options options)
    : m_options(options), m_self(std::move(self))
{
}

void member_table::queue_update(const std::string& address)
{
    m_times_sent[address] = 0;
    ++m_revision;
}

merge_result member_table::merge_own_update(const member& update, bool unconfirmed)
{
    const std::uint64_t own_epoch = epoch_of(m_self.m_incarnation);
    const std::uint64_t their_epoch = epoch_of(update.m_incarnation);
    if (their_epoch < own_epoch) {
        return merge_result::ignored;
    }
    if (their_epoch > own_epoch) {
        if (unconfirmed && update.m_state == member_state::alive) {
            return merge_result::superseded;
        }
        m_self.m_incarnation = first_incarnation(their_epoch + 1);
        queue_update(m_self.m_address);
        return merge_result::refuted;
    }
    if (!supersedes(update, m_self)) {
        return merge_result::ignored;
    }
    m_self.m_incarnation = update.m_incarnation + 1;
    queue_update(m_self.m_address);
    return merge_result::refuted;
}

merge_result member_table::merge(const member& update, time_point now, bool unconfirmed)
{
    if (update.m_address == m_self.m_address) {
        return merge_own_update(update, unconfirmed);
    }
    const auto it = m_entries.find(update.m_address);
    if (it == m_entries.end()) {
        m_entries[update.m_address] = {update, now};
        m_entries[update.m_address].m_member.m_version = 0;
        queue_update(update.m_address);
        return merge_result::changed;
    }
    member& known = it->second.m_member;
    if (!supersedes(update, known)) {
        return merge_result::ignored;
    }
    const bool same_process = epoch_of(known.m_incarnation) == epoch_of(update.m_incarnation);
    const config::version_number version = same_process ? known.m_version : 0;
    known = update;
    known.m_version = version;
    it->second.m_state_since = now;
    queue_update(update.m_address);
    return merge_result::changed;
}

bool member_table::record_direct_message(const std::string& address, incarnation at, bool leaving,
                                         config::version_number version, time_point now)
{
    const auto it = m_entries.find(address);
    if (it == m_entries.end() || epoch_of(at) < epoch_of(it->second.m_member.m_incarnation)) {
        return false;
    }
    member update = it->second.m_member;
    update.m_incarnation = at;
    update.m_state = leaving ? member_state::leaving : member_state::alive;
    merge(update, now);
    it->second.m_member.m_version = version;
    return true;
}

void member_table::suspect(const std::string& address, time_point now)
{
    const auto it = m_entries.find(address);
    if (it == m_entries.end()) {
        return;
    }
    member& known = it->second.m_member;
    if (known.m_state == member_state::alive) {
        known.m_state = member_state::suspect;
    }
    else if (known.m_state == member_state::leaving) {
        known.m_state = member_state::dead;
    }
    else {
        return;
    }
    it->second.m_state_since = now;
    queue_update(address);
}

void member_table::expire(time_point now)
{
    std::vector<std::string> expired;
    for (auto& [address, item] : m_entries) {
        if (item.m_member.m_state == member_state::suspect &&
            now - item.m_state_since >= m_options.m_suspicion_timeout) {
            item.m_member.m_state = member_state::dead;
            item.m_state_since = now;
            queue_update(address);
        }
        else if (item.m_member.m_state == member_state::dead &&
                 now - item.m_state_since >= m_options.m_dead_retention) {
            expired.push_back(address);
        }
    }
    for (const std::string& address : expired) {
        m_entries.erase(address);
        m_times_sent.erase(address);
    }
}

void member_table::restart_suspicions(time_point now)
{
    for (auto& [address, item] : m_entries) {
        if (item.m_member.m_state == member_state::suspect) {
            item.m_state_since = now;
        }
    }
}

void member_table::leave()
{
    if (m_self.m_state != member_state::leaving) {
        m_self.m_state = member_state::leaving;
        queue_update(m_self.m_address);
    }
}

std::vector<member> member_table::take_updates(std::size_t limit)
{
    std::vector<std::pair<unsigned, std::string>> order;
    order.reserve(m_times_sent.size());
    for (const auto& [address, sent] : m_times_sent) {
        order.emplace_back(sent, address);
    }
    const std::size_t count = std::min(limit, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count));
    const auto doublings = static_cast<unsigned>(std::bit_width(m_entries.size() + 1));
    std::vector<member> updates;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string& address = order[i].second;
        if (address == m_self.m_address) {
            updates.push_back(m_self);
        }
        else if (const member* known = find(address)) {
            updates.push_back(*known);
        }
        if (++m_times_sent[address] >= sends_per_table_doubling * doublings) {
            m_times_sent.erase(address);
        }
    }
    return updates;
}

const member* member_table::find(const std::string& address) const
{
    const auto it = m_entries.find(address);
    return it == m_entries.end() ? nullptr : &it->second.m_member;
}

std::vector<member> member_table::all() const
{
    std::vector<member> result{m_self};
    for (const auto& [address, item] : m_entries) {
        result.push_back(item.m_member);
    }
    std::ranges::sort(result, {}, &member::m_address);
    return result;
}

std::vector<const member*> member_table::non_dead_members() const
{
    std::vector<const member*> result;
    for (const auto& [address, item] : m_entries) {
        if (item.m_member.m_state != member_state::dead) {
            result.push_back(&item.m_member);
        }
    }
    return result;
}

std::vector<std::string> member_table::sample(std::size_t count, std::mt19937_64& random) const
{
    std::vector<std::string> live;
    for (const auto& [address, item] : m_entries) {
        if (item.m_member.m_state == member_state::alive) {
            live.push_back(address);
        }
    }
    std::vector<std::string> chosen;
    std::ranges::sample(live, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count),
                        random);
    std::ranges::shuffle(chosen, random);
    return chosen;
}

} // namespace pomelohead::membership
