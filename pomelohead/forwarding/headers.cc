#include "pomelohead/forwarding/headers.h"

#include "pomelohead/config/bundle.h"
#include "pomelohead/outcome/fingerprint.h"

#include <charconv>
#include <cmath>

namespace pomelohead::forwarding {
namespace {

int hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            out += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
        }
        else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

// Removes the part of `text` before `separator`, and the separator, and returns the part.
std::string_view split_off_part(std::string_view& text, char separator)
{
    const std::size_t at = text.find(separator);
    const std::string_view part = text.substr(0, at);
    text = at == std::string_view::npos ? std::string_view{} : text.substr(at + 1);
    return part;
}

} // namespace

std::optional<std::uint64_t> parse_number(std::string_view text, std::uint64_t max_value)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value > max_value) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_rate(std::string_view text)
{
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || parsed != end || !std::isfinite(value) ||
        value < 0) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::chrono::milliseconds> parse_deadline(const http::fields& fields,
                                                        std::string_view name,
                                                        std::chrono::milliseconds default_value,
                                                        reason& why)
{
    const auto it = fields.find(name);
    if (it == fields.end()) {
        return default_value;
    }
    const auto value = parse_number(it->value(), static_cast<std::uint64_t>(max_deadline.count()));
    if (!value || *value == 0) {
        why = {reason_code::malformed, std::string(name) + " must be a whole number from 1 to " +
                                           std::to_string(max_deadline.count())};
        return std::nullopt;
    }
    return std::chrono::milliseconds(*value);
}

std::string body_digest(std::string_view body)
{
    return config::content_hash(body.substr(0, outcome::fingerprint_body_bytes));
}

void remove_protocol_headers(http::fields& fields)
{
    for (const std::string_view name :
         {request_id_header,  deadline_header,    depth_header,   ticket_header,
          outcome_header,     reason_header,      target_header,  route_header,
          account_header,     class_header,       urgency_header, version_header,
          objective_header,   attempt_header,     apart_header,   body_digest_header,
          load_report_header, retry_after_header, not_run_header, max_rate_header,
          leaving_header,     queueing_header,    unread_header}) {
        fields.erase(name);
    }
}

std::string_view to_string(admission::queueing value)
{
    switch (value) {
    case admission::queueing::none:
        return "none";
    case admission::queueing::spare_only:
        return "spare-only";
    case admission::queueing::allowed:
        break;
    }
    return {};
}

admission::queueing parse_queueing(std::string_view text)
{
    for (const auto value : {admission::queueing::none, admission::queueing::spare_only}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    return admission::queueing::allowed;
}

std::string format_load_report(const routing::owner_load_report& report)
{
    const admission::load_report& load = report.m_load;
    return "free=" + std::to_string(load.m_free) + " queued=" + std::to_string(load.m_queued) +
           " urgent-queued=" + std::to_string(load.m_urgent_queued) +
           " long-free=" + std::to_string(load.m_long_free) +
           " long-queued=" + std::to_string(load.m_long_queued) +
           " incarnation=" + std::to_string(report.m_incarnation) +
           " draining=" + (report.m_draining ? "1" : "0") +
           (report.m_target_leaving ? " leaving=1" : "") + (load.m_warming_up ? " warming=1" : "") +
           (report.m_delay > duration::zero()
                ? " delay-us=" +
                      std::to_string(
                          std::chrono::duration_cast<std::chrono::microseconds>(report.m_delay)
                              .count())
                : "") +
           (report.m_run_time > duration::zero()
                ? " run-us=" + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(
                                                  report.m_run_time)
                                                  .count())
                : "");
}

std::optional<routing::owner_load_report> parse_load_report(std::string_view text, time_point now)
{
    routing::owner_load_report report;
    report.m_received_at = now;
    int recognized_fields = 0;
    while (!text.empty()) {
        std::string_view part = split_off_part(text, ' ');
        const std::string_view name = split_off_part(part, '=');
        const auto value = parse_number(part, UINT64_MAX);
        if (!value) {
            return std::nullopt;
        }
        const auto clamped =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(*value, UINT32_MAX));
        ++recognized_fields;
        if (name == "free") {
            report.m_load.m_free = clamped;
        }
        else if (name == "queued") {
            report.m_load.m_queued = clamped;
        }
        else if (name == "urgent-queued") {
            report.m_load.m_urgent_queued = clamped;
        }
        else if (name == "long-free") {
            report.m_load.m_long_free = clamped;
        }
        else if (name == "long-queued") {
            report.m_load.m_long_queued = clamped;
        }
        else if (name == "incarnation") {
            report.m_incarnation = *value;
        }
        else if (name == "draining") {
            report.m_draining = *value != 0;
        }
        else if (name == "leaving") {
            report.m_target_leaving = *value != 0;
            --recognized_fields; // optional
        }
        else if (name == "delay-us") {
            report.m_delay = std::chrono::microseconds(clamped);
            --recognized_fields; // optional
        }
        else if (name == "run-us") {
            report.m_run_time = std::chrono::microseconds(clamped);
            --recognized_fields; // optional
        }
        else if (name == "warming") {
            report.m_load.m_warming_up = *value != 0;
            --recognized_fields; // optional
        }
        else {
            --recognized_fields;
        }
    }
    constexpr int required_fields = 7;
    return recognized_fields == required_fields ? std::optional(report) : std::nullopt;
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name)
{
    const std::size_t at = target.find('?');
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view query = target.substr(at + 1);
    while (!query.empty()) {
        std::string_view value = split_off_part(query, '&');
        if (split_off_part(value, '=') == name) {
            return percent_decode(value);
        }
    }
    return std::nullopt;
}

void set_conclusion_headers(http::header<false>& head, const outcome::conclusion& conclusion,
                            std::chrono::milliseconds retry_hint)
{
    head.result(outcome::http_status(conclusion));
    head.set(outcome_header, outcome::to_string(conclusion.m_outcome));
    head.set(reason_header, outcome::to_string(conclusion.m_cause));
    if (const auto after = outcome::retry_after(conclusion, retry_hint)) {
        head.set(http::field::retry_after, std::to_string(after->count()));
    }
}

} // namespace pomelohead::forwarding
