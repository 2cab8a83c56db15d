// A position in a store's history of changes.
//
// A store numbers its changes. One that is restored from a copy has lost the changes since that
// copy, and gives their numbers out again for other changes; it then starts a new epoch. Numbers
// compare within an epoch only, and each revision of an epoch follows all revisions of the earlier
// ones.
//
//     const store_revision known{.m_epoch = 1, .m_number = 100};
//     const store_revision answered{.m_epoch = 2, .m_number = 90};
//     if (compare_histories(known, answered) == history_relation::restored) { list_again(); }
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace pomelohead::source {

/// A store's revision, ordered by epoch and then by number.
struct store_revision {
    std::uint64_t m_epoch = 0;  ///< as the store states it; 0: the store states none
    std::uint64_t m_number = 0; ///< 0: before the first change

    bool operator==(const store_revision&) const = default;
    [[nodiscard]] constexpr std::strong_ordering operator<=>(const store_revision& other) const
    {
        return std::tie(m_epoch, m_number) <=> std::tie(other.m_epoch, other.m_number);
    }
    [[nodiscard]] constexpr bool is_none() const { return m_number == 0; }
};

/// How the history that an answer belongs to relates to the one that its reader has followed.
enum class history_relation {
    same,     ///< the answer continues it
    restored, ///< the store has been restored since: what the reader knows may be missing there
    outdated, ///< the answer is from before a restore that the reader has seen
};

/// `known`: up to where the reader has followed; `answered`: the revision of the answer.
[[nodiscard]] constexpr history_relation compare_histories(const store_revision& known,
                                                           const store_revision& answered)
{
    if (known.is_none() || answered.is_none() || known.m_epoch == answered.m_epoch) {
        return history_relation::same;
    }
    return known.m_epoch < answered.m_epoch ? history_relation::restored
                                            : history_relation::outdated;
}

} // namespace pomelohead::source
