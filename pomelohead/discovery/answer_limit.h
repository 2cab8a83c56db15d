// How long to wait for an answer of the store that is due.
//
// A connection that went silent shows only by this limit, so it is short as long as the store
// answers quickly. After a timeout it doubles, so that a store that has become slow can still be
// read; it is short again once an answer has come within the initial limit, and after a timeout at
// the maximum: a store that did not answer because it was down is back without being slow.
//
//     answer_limit limit(400ms, 1500ms);
//     store_answer page = store.list({.m_limit = limit.current()});
//     timed_out ? limit.record_timeout() : limit.record_answer(delay);
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <algorithm>

namespace pomelohead::discovery {

class answer_limit {
public:
    answer_limit(milliseconds initial, milliseconds max)
        : m_initial(initial), m_max(std::max(initial, max)), m_current(initial)
    {
    }

    [[nodiscard]] milliseconds current() const { return m_current; }

    void record_timeout()
    {
        m_current = m_current == m_max ? m_initial : std::min(m_current * 2, m_max);
    }

    /// Records an answer that came `delay` after it was due.
    void record_answer(duration delay)
    {
        if (delay <= m_initial) {
            m_current = m_initial;
        }
    }

private:
    milliseconds m_initial;
    milliseconds m_max;
    milliseconds m_current;
};

} // namespace pomelohead::discovery
