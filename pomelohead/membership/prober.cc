#include "pomelohead/membership/prober.h"

namespace pomelohead::membership {

prober::prober(prober_options options, prober_callbacks hooks)
    : m_options(options), m_callbacks(std::move(hooks))
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
            start_indirect_probe(it->first, it->second, now);
            ++it;
        }
        else {
            failed.push_back(it->second.m_address);
            it = m_pending.erase(it);
        }
    }
    for (const std::string& address : failed) {
        m_callbacks.m_failed(address, now);
    }
    if (now >= m_next_ping && !targets.empty()) {
        m_next_ping = now + m_options.m_period;
        probe(targets[m_next_target++ % targets.size()], now);
    }
}

std::uint64_t prober::probe(const std::string& address, time_point now)
{
    const std::uint64_t sequence = m_next_sequence++;
    m_pending[sequence] = {address, now + m_options.m_direct_timeout, false};
    m_callbacks.m_ping(address, sequence);
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
            start_indirect_probe(sequence, item, now);
        }
    }
}

void prober::start_indirect_probe(std::uint64_t sequence, pending_probe& item, time_point now)
{
    item.m_indirect = true;
    item.m_deadline = now + m_options.m_indirect_timeout;
    m_callbacks.m_ping_indirect(item.m_address, sequence);
}

void prober::reset()
{
    m_pending.clear();
}

} // namespace pomelohead::membership
