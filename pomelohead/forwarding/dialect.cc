#include "pomelohead/forwarding/dialect.h"

#include "pomelohead/forwarding/headers.h"

namespace pomelohead::forwarding {
namespace {

constexpr unsigned status_unavailable = 503;

target_answer classify_response(const http::header<false>& head)
{
    const bool declined = head.result_int() == status_unavailable && head[not_run_header] == "true";
    return declined ? target_answer::declined : target_answer::whole;
}

} // namespace

dialect make_own_dialect()
{
    dialect native;
    native.m_request_id = request_id_header;
    native.m_deadline = deadline_header;
    native.m_judge_answer = classify_response;
    native.m_conclude = set_conclusion_headers;
    native.m_complete = [](http::header<false>& head, const std::string& request_id) {
        head.set(outcome_header, "complete");
        head.set(request_id_header, request_id);
    };
    return native;
}

} // namespace pomelohead::forwarding
