// Rendezvous hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6(1), 1998. When a watcher disappears, only that watcher
// is replaced.
#include "pomelohead/membership/overlay.h"

#include <algorithm>
#include <functional>

namespace pomelohead::membership {
namespace {

// FNV-1a over the text, then the finalizer of splitmix64: with FNV alone, addresses that differ
// only in the last digit have hash values close to each other.
std::uint64_t hash(std::string_view text, std::uint64_t salt)
{
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnv_prime = 0x100000001b3U;
    std::uint64_t value = fnv_offset ^ (salt * fnv_prime);
    for (const char c : text) {
        value = (value ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t watcher_salt = 1'000;

void add_unique(std::vector<std::string>& list, const std::string& address)
{
    if (std::ranges::find(list, address) == list.end()) {
        list.push_back(address);
    }
}

} // namespace

neighbours find_neighbours(const member& self, const std::vector<const member*>& present)
{
    neighbours result;
    std::vector<std::string> predecessors;
    for (unsigned ring = 0; ring < ring_count; ++ring) {
        const std::uint64_t own = hash(self.m_address, ring);
        const member* successor = nullptr;
        const member* predecessor = nullptr;
        std::uint64_t successor_distance = 0;   // from self to the successor
        std::uint64_t predecessor_distance = 0; // from the predecessor to self
        for (const member* other : present) {
            if (ring == 0 && other->m_failure_domain != self.m_failure_domain) {
                continue;
            }
            const std::uint64_t position = hash(other->m_address, ring);
            if (successor == nullptr || position - own < successor_distance) {
                successor = other;
                successor_distance = position - own;
            }
            if (predecessor == nullptr || own - position < predecessor_distance) {
                predecessor = other;
                predecessor_distance = own - position;
            }
        }
        if (successor != nullptr) {
            add_unique(result.m_successors, successor->m_address);
            add_unique(predecessors, predecessor->m_address);
        }
    }
    result.m_all = result.m_successors;
    for (const std::string& address : predecessors) {
        add_unique(result.m_all, address);
    }
    return result;
}

bool is_watcher(const member& self, const std::vector<const member*>& present, std::size_t count)
{
    if (self.m_state == member_state::leaving) {
        return false;
    }
    const std::uint64_t own = hash(self.m_address, watcher_salt);
    const auto higher_scored = std::ranges::count_if(present, [&](const member* other) {
        return other->m_failure_domain == self.m_failure_domain &&
               other->m_state == member_state::alive && hash(other->m_address, watcher_salt) > own;
    });
    return static_cast<std::size_t>(higher_scored) < count;
}

std::vector<std::string> sort_by_rendezvous_score(std::vector<std::string> addresses)
{
    std::ranges::sort(addresses, std::greater{},
                      [](const std::string& address) { return hash(address, watcher_salt); });
    return addresses;
}

} // namespace pomelohead::membership
