#include "pomelohead/membership/prober.h"

namespace pomelohead::membership {

prober::prober(prober_options options, prober_hooks hooks)
    : m_options(options), m_hooks(std::move(hooks))
{
}

void prober::tick(time_point now, const std::vector<std::string>& targets)
{
    std::vector<std::string> failed;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.m_deadline > now) {
            ++it;
        }
        else if (!it->second.m_indirect) {
            go_indirect(it->first, it->second, now);
            ++it;
        }
        else {
            failed.push_back(it->second.m_address);
            it = m_pending.erase(it);
        }
    }
    for (const std::string& address : failed) {
        m_hooks.m_failed(address, now);
    }
    if (now >= m_next_ping && !targets.empty()) {
        m_next_ping = now + m_options.m_period;
        probe(targets[m_turn++ % targets.size()], now);
    }
}

std::uint64_t prober::probe(const std::string& address, time_point now)
{
    const std::uint64_t sequence = m_next_sequence++;
    m_pending[sequence] = {address, now + m_options.m_direct_limit, false};
    m_hooks.m_ping(address, sequence);
    return sequence;
}

bool prober::answered(std::uint64_t sequence)
{
    return m_pending.erase(sequence) > 0;
}

void prober::connection_failed(const std::string& address, time_point now)
{
    for (auto& [sequence, item] : m_pending) {
        if (item.m_address == address && !item.m_indirect) {
            go_indirect(sequence, item, now);
        }
    }
}

void prober::go_indirect(std::uint64_t sequence, pending& item, time_point now)
{
    item.m_indirect = true;
    item.m_deadline = now + m_options.m_indirect_limit;
    m_hooks.m_ping_via_others(item.m_address, sequence);
}

void prober::reset()
{
    m_pending.clear();
}

} // namespace pomelohead::membership
