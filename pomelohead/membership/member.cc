#include "pomelohead/membership/member.h"

namespace pomelohead::membership {

std::string_view to_string(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

} // namespace pomelohead::membership
