// The rules that every configuration meets, checked on the whole of it.
//
// They are checked twice: when the operators build a bundle from a sheet, and on
// every node before a version is put in force.
#pragma once

#include "pomelohead/config/snapshot.h"

namespace pomelohead::config {

/// One rule that a configuration breaks.
struct fault {
    std::string m_subject; ///< "route NAME", "target NAME", "drain NAME", "shed N" (from 1)
    std::string m_field;   ///< the field at fault, as in the sheet's header
    std::string m_text;    ///< what is wrong and what is allowed

    bool operator==(const fault&) const = default;
};

/// Where the targets of a configuration come from.
enum class target_source {
    configuration, ///< they are part of it: each service has some
    discovery,     ///< they are found elsewhere: a service may have none
};

/// All faults of `config`, in the order of its parts; empty for a valid one.
[[nodiscard]] std::vector<fault> validate(const snapshot& config,
                                          target_source targets = target_source::configuration);

} // namespace pomelohead::config
