// Ledger invariant: before present() returns `run`, the serial's flag in m_started is
// set and its record leaves `unused`. Neither is ever reset, so present() returns `run`
// at most once for a serial of this incarnation.
#include "pomelohead/outcome/ticket.h"

#include <algorithm>
#include <charconv>

namespace pomelohead::outcome {
namespace {

constexpr std::string_view format_prefix = "1/";
constexpr int hex_base = 16;
constexpr duration min_expiry_interval = std::chrono::seconds(1);

bool is_unescaped(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

std::string to_hex(std::uint64_t value)
{
    char buffer[hex_base];
    const auto result = std::to_chars(std::begin(buffer), std::end(buffer), value, hex_base);
    return {buffer, result.ptr};
}

std::string escape(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (const char c : text) {
        if (is_unescaped(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte / hex_base];
        out += digits[byte % hex_base];
    }
    return out;
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, hex_base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string out;
    while (!text.empty()) {
        if (text.front() != '%') {
            out += text.front();
            text.remove_prefix(1);
            continue;
        }
        const std::optional<std::uint64_t> byte = parse_hex(text.substr(1, 2));
        if (!byte) {
            return std::nullopt;
        }
        out += static_cast<char>(*byte);
        text.remove_prefix(std::min<std::size_t>(3, text.size()));
    }
    return out;
}

// Removes the text up to and including the next '/' from `rest` and returns it without
// the '/'.
std::string_view consume_field(std::string_view& rest)
{
    const std::size_t slash = rest.find('/');
    const std::string_view field = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    return field;
}

} // namespace

std::string to_text(const ticket& value)
{
    std::string text(format_prefix);
    text += value.m_address;
    text += '/' + to_hex(value.m_incarnation);
    text += '/' + to_hex(value.m_serial);
    text += '/' + to_hex(value.m_nonce);
    text += '/' + escape(value.m_target);
    return text;
}

std::optional<ticket> parse_ticket(std::string_view text, reason& why)
{
    why = {reason_code::malformed,
           "ticket does not have the form 1/ADDRESS/INCARNATION/SERIAL/CHECK/TARGET"};
    if (text.size() > max_ticket_bytes) {
        why = {reason_code::too_large, "ticket is longer than 512 bytes"};
        return std::nullopt;
    }
    if (!text.starts_with(format_prefix)) {
        return std::nullopt;
    }
    std::string_view rest = text.substr(format_prefix.size());
    ticket value;
    value.m_address = consume_field(rest);
    const std::optional<std::uint64_t> incarnation = parse_hex(consume_field(rest));
    const std::optional<std::uint64_t> serial = parse_hex(consume_field(rest));
    const std::optional<std::uint64_t> check = parse_hex(consume_field(rest));
    const std::optional<std::string> target = unescape(rest);
    if (value.m_address.empty() || !incarnation || !serial || !check || !target ||
        target->empty()) {
        return std::nullopt;
    }
    value.m_incarnation = *incarnation;
    value.m_serial = *serial;
    value.m_nonce = *check;
    value.m_target = *target;
    // Only the canonical text is valid: this rejects leading zeros, upper-case hex digits
    // and unnecessary escapes.
    if (to_text(value) != text) {
        return std::nullopt;
    }
    why = {};
    return value;
}

ticket_ledger::ticket_ledger(ticket_options options, std::string address, std::uint64_t incarnation,
                             std::function<std::uint64_t()> random)
    : m_options(options), m_address(std::move(address)), m_incarnation(incarnation),
      m_random(std::move(random))
{
}

std::optional<ticket> ticket_ledger::issue(std::string target, time_point now, reason& why)
{
    expire(now);
    if (m_records.size() >= m_options.m_max_open) {
        why = {reason_code::rate_limited, "too many open tickets"};
        return std::nullopt;
    }
    ticket value{m_address, m_incarnation, ++m_last_serial, m_random(), std::move(target)};
    record& open = m_records[value.m_serial];
    open.m_check = value.m_nonce;
    open.m_target = value.m_target;
    open.m_expires = now + m_options.m_lifetime;
    m_started.push_back(false);
    if (m_started.size() > m_options.m_max_started_flags) {
        m_started.pop_front();
    }
    return value;
}

ticket_decision ticket_ledger::present(const ticket& value, std::string_view digest, time_point now)
{
    if (value.m_incarnation != m_incarnation || value.m_address != m_address) {
        return {ticket_verdict::refuse, {outcome::unknown, cause::owner_replaced}, nullptr};
    }
    expire(now);
    const auto it = m_records.find(value.m_serial);
    if (it == m_records.end()) {
        return {ticket_verdict::refuse, conclusion_without_record(value), nullptr};
    }
    record& open = it->second;
    if (open.m_check != value.m_nonce || open.m_target != value.m_target) {
        return {ticket_verdict::refuse, {outcome::unknown, cause::foreign_ticket}, nullptr};
    }
    if (open.m_phase == phase::unused && now >= open.m_expires) {
        return {ticket_verdict::refuse, {outcome::not_run, cause::ticket_expired}, nullptr};
    }
    return present_open(open, value, digest);
}

ticket_decision ticket_ledger::present_open(record& open, const ticket& value,
                                            std::string_view digest)
{
    if (open.m_phase == phase::unused) {
        mark_started(value.m_serial);
        open.m_phase = phase::running;
        open.m_digest = digest;
        return {ticket_verdict::run, {}, nullptr};
    }
    if (open.m_digest != digest) {
        return {ticket_verdict::refuse, {outcome::unknown, cause::ticket_reused}, nullptr};
    }
    if (open.m_phase == phase::running) {
        return {ticket_verdict::attach, {}, nullptr};
    }
    if (open.m_end.m_outcome != outcome::complete) {
        return {ticket_verdict::refuse, open.m_end, nullptr};
    }
    if (open.m_answer == nullptr) {
        return {ticket_verdict::refuse, {outcome::unknown, cause::already_ran}, nullptr};
    }
    return {ticket_verdict::replay, open.m_end, open.m_answer};
}

conclusion ticket_ledger::conclusion_without_record(const ticket& value) const
{
    if (value.m_serial == 0 || value.m_serial > m_last_serial) {
        return {outcome::unknown, cause::foreign_ticket};
    }
    const std::uint64_t oldest = m_last_serial - m_started.size() + 1;
    if (value.m_serial >= oldest && !m_started[value.m_serial - oldest]) {
        return {outcome::not_run, cause::ticket_expired};
    }
    return {outcome::unknown, cause::ticket_expired};
}

void ticket_ledger::mark_started(std::uint64_t serial)
{
    const std::uint64_t oldest = m_last_serial - m_started.size() + 1;
    if (serial >= oldest) {
        m_started[serial - oldest] = true;
    }
}

void ticket_ledger::finish(std::uint64_t serial, conclusion end, stored_answer_ptr answer,
                           time_point now)
{
    const auto it = m_records.find(serial);
    if (it == m_records.end() || it->second.m_phase != phase::running) {
        return;
    }
    record& open = it->second;
    open.m_phase = phase::finished;
    open.m_end = end;
    open.m_expires = std::max(open.m_expires, now + m_options.m_answer_lifetime);
    const std::size_t bytes = answer == nullptr ? 0 : answer->m_body.size();
    if (bytes <= m_options.m_max_answer_bytes &&
        m_stored_bytes + bytes <= m_options.m_max_stored_bytes) {
        open.m_answer = std::move(answer);
        m_stored_bytes += bytes;
    }
}

void ticket_ledger::expire(time_point now)
{
    if (now < m_next_expiry) {
        return;
    }
    m_next_expiry = now + min_expiry_interval;
    std::erase_if(m_records, [&](const auto& item) {
        const record& open = item.second;
        const bool has_expired = open.m_phase != phase::running && now >= open.m_expires;
        if (has_expired && open.m_answer != nullptr) {
            m_stored_bytes -= open.m_answer->m_body.size();
        }
        return has_expired;
    });
}

} // namespace pomelohead::outcome
