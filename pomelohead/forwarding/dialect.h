// How callers and targets write what the forwarding needs of a request.
//
// Between an entry and an owner the project's own headers hold (headers.h). Callers and
// targets may use others; a dialect says which, and how a target's answer is to be
// understood. The default is the project's own interface of docs/CALLERS.md.
//
//     entry_options options;
//     options.m_dialect = make_platform_dialect(service_of_this_host);
#pragma once

#include "pomelohead/outcome/outcome.h"
#include "pomelohead/runtime/timer_service.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <string>

namespace pomelohead::forwarding {

namespace http = boost::beast::http;

/// What a target's answer says about the request.
enum class target_answer {
    whole,       ///< the answer to it, once all of its bytes are here
    declined,    ///< the target has not run it and never will
    misdirected, ///< another target stands at the address, and has not run it
    invalid,     ///< not an answer that the target could have meant
};

/// The names and rules on both outer sides of a node.
struct dialect {
    std::string m_request_id;     ///< header, both ways
    std::string m_deadline;       ///< header with the milliseconds that are left
    std::string m_instance;       ///< header that names the target meant; empty: none
    std::string m_caller_service; ///< header that names the caller's service; empty: none
    std::string m_ready_path;     ///< asked on the ready port
    /// Whether the target may answer without the request's id.
    bool m_echo_required = false;
    /// Whether an answer whose length is the end of its connection is taken as whole.
    bool m_unframed_answers = false;

    std::function<target_answer(const http::header<false>&)> m_judge_answer;
    /// Writes the status and headers of an answer that has no target's answer in it.
    std::function<void(http::header<false>&, const outcome::conclusion&, milliseconds retry_hint)>
        m_conclude;
    /// Adds what callers are told with a target's whole answer.
    std::function<void(http::header<false>&, const std::string& request_id)> m_complete;
};

/// The project's own interface.
[[nodiscard]] dialect make_own_dialect();

} // namespace pomelohead::forwarding
