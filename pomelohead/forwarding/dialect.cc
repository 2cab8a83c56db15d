#include "pomelohead/forwarding/dialect.h"

#include "pomelohead/forwarding/headers.h"

namespace pomelohead::forwarding {
namespace {

constexpr unsigned status_unavailable = 503;

target_answer judge_answer(const http::header<false>& head)
{
    const bool declined = head.result_int() == status_unavailable && head[not_run_header] == "true";
    return declined ? target_answer::declined : target_answer::whole;
}

} // namespace

dialect make_own_dialect()
{
    dialect own;
    own.m_request_id = request_id_header;
    own.m_deadline = deadline_header;
    own.m_judge_answer = judge_answer;
    own.m_conclude = set_conclusion_headers;
    own.m_complete = [](http::header<false>& head, const std::string& request_id) {
        head.set(outcome_header, "complete");
        head.set(request_id_header, request_id);
    };
    return own;
}

} // namespace pomelohead::forwarding
