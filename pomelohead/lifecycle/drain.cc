#include "pomelohead/lifecycle/drain.h"

namespace pomelohead::lifecycle {

bool is_draining(const drain_view& view, std::uint64_t owner_incarnation)
{
    return view.m_in_configuration || view.m_in_host_list || view.m_owner_left == owner_incarnation;
}

std::string describe(const drain_view& view, std::uint64_t owner_incarnation)
{
    std::string text;
    const auto add = [&text](bool is_reported, const char* source) {
        if (is_reported) {
            text += text.empty() ? "" : ", ";
            text += source;
        }
    };
    add(view.m_is_evacuated, "evacuated");
    add(view.m_in_configuration && !view.m_is_evacuated, "configuration");
    add(view.m_in_host_list, "host list");
    add(view.m_owner_left == owner_incarnation, "owner");
    return text;
}

drain_view with_owner_announcement(const drain_view& view, std::uint64_t owner_incarnation,
                                   std::uint64_t sender, bool draining)
{
    if (sender < owner_incarnation) {
        return view;
    }
    drain_view next = view;
    if (draining) {
        next.m_owner_left = sender;
    }
    else if (next.m_owner_left && *next.m_owner_left <= sender) {
        next.m_owner_left.reset();
    }
    return next;
}

} // namespace pomelohead::lifecycle
