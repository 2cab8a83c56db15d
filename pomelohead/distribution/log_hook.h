// Logging interface of distribution, independent of the logger.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace pomelohead::distribution {

enum class log_level { debug, info, warning, error };

/// Called with a short event name ("version_in_force") and an explanation.
using log_hook = std::function<void(log_level, std::string_view event, const std::string& text)>;

} // namespace pomelohead::distribution
