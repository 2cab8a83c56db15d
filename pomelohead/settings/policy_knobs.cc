#include "pomelohead/settings/policy_knobs.h"

#include <algorithm>
#include <array>

namespace pomelohead::settings {
namespace {

constexpr std::array knobs = {
    policy_knob{"lame_duck_s", 3, 0, 60,
                "how long a stopping node still accepts connections, in seconds"},
    policy_knob{"stop_limit_s", 0, 0, 86400,
                "how long a stopping node waits for requests in flight, in seconds; 0: no limit"},
    policy_knob{"upload_buffer_kib", 1024, 64, 65536,
                "bytes of a request body held before it takes a slot, in KiB"},
};

} // namespace

std::span<const policy_knob> policy_knobs()
{
    return knobs;
}

const policy_knob* find_policy_knob(std::string_view name)
{
    const auto it = std::ranges::find(knobs, name, &policy_knob::m_name);
    return it == knobs.end() ? nullptr : &*it;
}

double knob_value(const std::map<std::string, double>& values, std::string_view name)
{
    const auto it = values.find(std::string(name));
    return it != values.end() ? it->second : find_policy_knob(name)->m_default;
}

} // namespace pomelohead::settings
