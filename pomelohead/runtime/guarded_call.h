// Calls from which no exception leaves: the outermost functions of fibers and handlers.
//
//     if (!guarded_call("request_failed", [&] { exchange.run(); })) {
//         exchange.fail();
//     }
#pragma once

#include <functional>
#include <string_view>

namespace pomelohead {

/// Calls `body`. If an exception leaves it, writes a log line named `event` with its text. Returns
/// whether `body` returned.
bool guarded_call(std::string_view event, const std::function<void()>& body);

} // namespace pomelohead
