// Why an operation gave no value.
//
// Functions that can fail return std::optional and fill in a `reason&`, their
// last parameter; objects keep their last one and show it by last_reason().
// The code is for programs, the text for people. Nothing throws across a slice.
//
//     reason why;
//     std::optional<snapshot> config = load_snapshot(bundle, why);
//     if (!config) {
//         log_warning(why.m_text);
//     }
#pragma once

#include <string>
#include <string_view>

namespace pomelohead {

/// The kinds of failure that callers treat differently.
enum class reason_code {
    none,         ///< no failure
    malformed,    ///< the bytes are not what the format says
    too_large,    ///< a stated size limit is exceeded
    invalid,      ///< well formed, but a value is not allowed
    conflict,     ///< contradicts something already accepted
    stale,        ///< older than what is in force
    not_found,    ///< the named thing does not exist
    timed_out,    ///< no answer within the time allowed
    unreachable,  ///< the connection was refused or could not be made
    interrupted,  ///< the connection was lost after it was made
    unresponsive, ///< the connection was lost because the peer did not acknowledge data
    refused,      ///< the other side declined
    rate_limited, ///< the caller's own or the other side's rate is used up
    cancelled,    ///< the caller no longer wants the answer
};

/// A failure's code and its explanation in one sentence.
struct reason {
    reason_code m_code = reason_code::none;
    std::string m_text;

    bool operator==(const reason&) const = default;
};

/// The code's name as it stands in logs and JSON output.
[[nodiscard]] std::string_view to_string(reason_code code);

} // namespace pomelohead
