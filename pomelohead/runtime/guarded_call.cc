#include "pomelohead/runtime/guarded_call.h"

#include "pomelohead/telemetry/log.h"

#include <exception>

namespace pomelohead {

// Boost.Context unwinds the stack of a fiber that never ends with an exception of its own, which is
// no std::exception and passes.
bool guarded_call(std::string_view event, const std::function<void()>& body)
{
    try {
        body();
        return true;
    }
    catch (const std::exception& error) {
        try {
            log_event(log_level::error, event, {{"why", error.what()}});
        }
        catch (const std::exception&) {
            // There may be no memory for the line either.
        }
        return false;
    }
}

} // namespace pomelohead
