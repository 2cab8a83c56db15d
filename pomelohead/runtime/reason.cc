#include "pomelohead/runtime/reason.h"

namespace pomelohead {

std::string_view to_string(reason_code code)
{
    switch (code) {
    case reason_code::none:
        return "none";
    case reason_code::malformed:
        return "malformed";
    case reason_code::too_large:
        return "too_large";
    case reason_code::invalid:
        return "invalid";
    case reason_code::conflict:
        return "conflict";
    case reason_code::stale:
        return "stale";
    case reason_code::not_found:
        return "not_found";
    case reason_code::timed_out:
        return "timed_out";
    case reason_code::unreachable:
        return "unreachable";
    case reason_code::interrupted:
        return "interrupted";
    case reason_code::unresponsive:
        return "unresponsive";
    case reason_code::refused:
        return "refused";
    case reason_code::rate_limited:
        return "rate_limited";
    case reason_code::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace pomelohead
