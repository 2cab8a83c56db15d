#include "pomelohead/forwarding/dialect.h"

#include "pomelohead/forwarding/headers.h"

#include <cmath>

namespace pomelohead::forwarding {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

constexpr std::string_view warm_up_left_header = "Pomelohead-Warm-Up-Ms";

// Targets warm up for seconds. A figure above this is taken for one in another unit.
constexpr milliseconds max_warm_up_left = std::chrono::hours(1);

std::optional<milliseconds> parse_warm_up_left(std::string_view text, reason& why)
{
    const std::optional<double> value = parse_rate(text);
    if (!value || *value > static_cast<double>(max_warm_up_left.count())) {
        why = {reason_code::invalid, "the health page states a warm-up time that is not a number "
                                     "of milliseconds up to an hour"};
        return std::nullopt;
    }
    return milliseconds(std::llround(std::ceil(*value)));
}

target_response_kind classify_response(const http::header<false>& head)
{
    const bool declined = head.result_int() == status_unavailable && head[not_run_header] == "true";
    return declined ? target_response_kind::declined : target_response_kind::complete;
}

target_statement read_statement(const http::header<false>& head)
{
    return {.m_max_rate = parse_rate(head[max_rate_header]),
            .m_is_leaving = head[leaving_header] == "true"};
}

} // namespace

std::optional<target_health> read_health_page(unsigned status, const http::fields& fields,
                                              const health_headers& headers, reason& why)
{
    if (status != status_ok && status != status_unavailable) {
        why = {reason_code::refused,
               "the health page responds with status " + std::to_string(status)};
        return std::nullopt;
    }
    target_health health{.m_is_healthy = status == status_ok};
    if (!headers.m_instance.empty()) {
        if (const auto id = fields.find(headers.m_instance); id != fields.end()) {
            health.m_instance = std::string(id->value());
        }
    }
    if (const auto left = fields.find(headers.m_warm_up_left); left != fields.end()) {
        health.m_warm_up_left = parse_warm_up_left(left->value(), why);
        if (!health.m_warm_up_left) {
            return std::nullopt;
        }
    }
    else if (!health.m_instance) {
        why = {reason_code::refused, "the health page states neither an id nor a warm-up"};
        return std::nullopt;
    }
    else if (health.m_is_healthy) {
        health.m_warm_up_left = milliseconds::zero();
    }
    return health;
}

dialect make_native_dialect()
{
    dialect native;
    native.m_request_id = request_id_header;
    native.m_deadline = deadline_header;
    native.m_classify_response = classify_response;
    native.m_read_statement = read_statement;
    native.m_read_health = [](unsigned status, const http::fields& fields, reason& why) {
        return read_health_page(status, fields,
                                {.m_instance = {}, .m_warm_up_left = warm_up_left_header}, why);
    };
    native.m_write_conclusion = set_conclusion_headers;
    native.m_write_complete_headers = [](http::header<false>& head, const std::string& request_id) {
        head.set(outcome_header, "complete");
        head.set(request_id_header, request_id);
    };
    return native;
}

} // namespace pomelohead::forwarding
