// The first bytes of a request's body, buffered before the request is forwarded.
//
// An upload over a slow link must not hold a slot of its target while its bytes trickle in, so a
// body is first buffered, up to a limit per request and one for the whole node. A body that has
// been buffered completely can also be sent a second time.
//
//     body_budget budget(32 * 1024 * 1024);
//     buffered_body body(budget, 1024 * 1024);
//     reason why;
//     if (!body.collect(request, deadline, why)) ...   // the caller is lost or too slow
//     body.is_complete();   // nothing is left to read
//     body.bytes();
#pragma once

#include "pomelohead/forwarding/http_message.h"

namespace pomelohead::forwarding {

/// The memory shared by all buffered bodies of one node.
class body_budget {
public:
    explicit body_budget(std::size_t bytes) : m_left(bytes) {}

    /// Reserves up to `bytes`; returns how many were granted.
    std::size_t reserve(std::size_t bytes);
    void release(std::size_t bytes) { m_left += bytes; }

    [[nodiscard]] std::size_t left() const { return m_left; }

private:
    std::size_t m_left;
};

/// The buffered part of one body.
class buffered_body {
public:
    /// Each body may buffer this much, even if the budget is exhausted.
    static constexpr std::size_t min_bytes = 64UL * 1024UL;

    buffered_body(body_budget& budget, std::size_t max_bytes)
        : m_budget(budget), m_max_bytes(max_bytes)
    {
    }
    buffered_body(const buffered_body&) = delete;
    buffered_body& operator=(const buffered_body&) = delete;
    ~buffered_body() { release(); }

    /// Reads until the body is complete or a limit is reached. Fails if the connection does.
    bool collect(request_reader& request, time_point deadline, reason& why);

    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }

    /// Discards the bytes and returns their memory to the budget.
    void release();

private:
    body_budget& m_budget;
    std::size_t m_max_bytes;
    std::size_t m_granted = 0;
    std::string m_bytes;
    bool m_is_complete = false;
};

} // namespace pomelohead::forwarding
