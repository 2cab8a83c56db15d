// The registrations that have been removed, to recognise them when a restored store names them
// again.
//
// Within an epoch of the store a registration is as late as its revision. After a restore it may be
// one that was removed since the copy was taken: its target has left. It is known by not being
// later, by its own start and sequence, than what was removed.
//
//     removed_instances removed;
//     removed.add(key, last, 1);
//     if (!removed.contains(key, received, 2)) { use(received); }
#pragma once

#include "pomelohead/discovery/instance.h"

#include <list>

namespace pomelohead::discovery {

/// Remembers the latest removals, up to a maximum number.
class removed_instances {
public:
    /// `last`: the registration that was in force; `epoch`: of the store that has removed it.
    void add(const std::string& key, const instance& last, std::uint64_t epoch);

    /// Whether `received`, read in `epoch`, is a registration from before its key's removal.
    [[nodiscard]] bool contains(const std::string& key, const instance& received,
                                std::uint64_t epoch) const;

    void erase(const std::string& key);

private:
    struct removal {
        std::string m_key;
        std::int64_t m_started_ms = 0;
        std::uint64_t m_sequence = 0;
        std::uint64_t m_epoch = 0;
    };

    std::list<removal> m_removals; // the latest first
};

} // namespace pomelohead::discovery
