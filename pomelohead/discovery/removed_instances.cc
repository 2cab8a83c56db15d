#include "pomelohead/discovery/removed_instances.h"

#include <algorithm>
#include <tuple>

namespace pomelohead::discovery {
namespace {

// Twice the targets of the largest mesh, all of which may be replaced within the age of a copy.
constexpr std::size_t max_removals = 1'000;

} // namespace

void removed_instances::add(const std::string& key, const instance& last, std::uint64_t epoch)
{
    erase(key);
    m_removals.push_front({key, last.m_started_ms, last.m_sequence, epoch});
    if (m_removals.size() > max_removals) {
        m_removals.pop_back();
    }
}

bool removed_instances::contains(const std::string& key, const instance& received,
                                 std::uint64_t epoch) const
{
    const auto it = std::ranges::find(m_removals, key, &removal::m_key);
    return it != m_removals.end() && epoch > it->m_epoch &&
           std::tie(received.m_started_ms, received.m_sequence) <=
               std::tie(it->m_started_ms, it->m_sequence);
}

void removed_instances::erase(const std::string& key)
{
    m_removals.remove_if([&](const removal& item) { return item.m_key == key; });
}

} // namespace pomelohead::discovery
