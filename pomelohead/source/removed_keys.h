// The keys that a node has removed, to recognise their values when a node that is behind offers
// them again.
//
// A follower may be told of a key by several others in turn: relays that change, one that was cut
// off, the store itself. A value is as late as its revision, so that one which is not later than
// the removal of its key has been removed, whoever offers it. A key that is written again after its
// removal has a later revision.
//
//     removed_keys removed;
//     removed.add("a", {1, 9});
//     removed.covers("a", {1, 7});    // true: from before the removal
//     removed.covers("a", {1, 12});   // false: written again
#pragma once

#include "pomelohead/source/revision.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace pomelohead::source {

/// Remembers the latest removals, up to a maximum number.
class removed_keys {
public:
    /// At some 200 bytes each less than 1 MB. Covers 500 targets that are all replaced eight times.
    static constexpr std::size_t max_removals = 4'096;

    /// `revision`: of the answer that lacked the key.
    void add(const std::string& key, const store_revision& revision);

    /// Whether a value of `revision` is from before the removal of its key.
    [[nodiscard]] bool covers(const std::string& key, const store_revision& revision) const;

    void erase(const std::string& key);

    [[nodiscard]] std::size_t size() const { return m_revisions.size(); }

private:
    std::map<std::string, store_revision> m_revisions;
    std::set<std::pair<store_revision, std::string>> m_oldest_first; // the same removals
};

} // namespace pomelohead::source
