#include "pomelohead/outcome/fingerprint.h"

#include "pomelohead/config/bundle.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace pomelohead::outcome {
namespace {

constexpr std::size_t fingerprint_digits = 32;

constexpr std::array<std::string_view, 20> excluded_names = {
    "age",
    "connection",
    "content-length",
    "cookie",
    "date",
    "expect",
    "forwarded",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "user-agent",
    "via",
    "traceparent",
    "tracestate",
    "x-request-id",
};

constexpr std::array<std::string_view, 3> excluded_prefixes = {"pomelohead-", "x-b3-",
                                                               "x-forwarded-"};

std::string to_lower(std::string_view text)
{
    std::string out(text);
    for (char& c : out) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return out;
}

// Length-prefixes each part, so that different contents never give the same text.
void append_with_length(std::string& text, std::string_view value)
{
    text += std::to_string(value.size());
    text += ':';
    text += value;
}

} // namespace

bool is_excluded_header(std::string_view name)
{
    const std::string lower = to_lower(name);
    return std::ranges::find(excluded_names, lower) != excluded_names.end() ||
           std::ranges::any_of(excluded_prefixes,
                               [&](std::string_view prefix) { return lower.starts_with(prefix); });
}

std::string make_fingerprint(const request_content& content)
{
    std::vector<request_content::header> headers;
    for (const request_content::header& item : content.m_headers) {
        if (!is_excluded_header(item.m_name)) {
            headers.push_back({to_lower(item.m_name), item.m_value});
        }
    }
    std::ranges::sort(headers, [](const auto& left, const auto& right) {
        return std::tie(left.m_name, left.m_value) < std::tie(right.m_name, right.m_value);
    });
    std::string text;
    append_with_length(text, content.m_method);
    append_with_length(text, content.m_target);
    for (const request_content::header& item : headers) {
        append_with_length(text, item.m_name);
        append_with_length(text, item.m_value);
    }
    append_with_length(text,
                       std::string_view(content.m_body_prefix).substr(0, fingerprint_body_bytes));
    return config::content_hash(text).substr(0, fingerprint_digits);
}

} // namespace pomelohead::outcome
