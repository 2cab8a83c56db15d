#include "pomelohead/forwarding/buffered_body.h"

#include <algorithm>

namespace pomelohead::forwarding {

std::size_t body_budget::reserve(std::size_t bytes)
{
    const std::size_t granted = std::min(bytes, m_left);
    m_left -= granted;
    return granted;
}

bool buffered_body::collect(request_reader& request, time_point deadline, reason& why)
{
    std::string piece;
    m_is_complete = request.done();
    while (!m_is_complete) {
        const std::size_t capacity = std::max(min_bytes, m_granted);
        if (m_bytes.size() + max_piece_bytes > capacity) {
            const std::size_t requested = std::min(max_piece_bytes + capacity - m_granted,
                                                   m_max_bytes - std::min(m_granted, m_max_bytes));
            const std::size_t granted = m_budget.reserve(requested);
            m_granted += granted;
        }
        const std::size_t limit = std::max(min_bytes, m_granted);
        if (m_bytes.size() >= limit) {
            return true;
        }
        const body_state state = request.read_body(
            piece, std::min(max_piece_bytes, limit - m_bytes.size()), deadline, why);
        if (state == body_state::failed) {
            return false;
        }
        m_bytes += piece;
        m_is_complete = state == body_state::end;
    }
    return true;
}

void buffered_body::release()
{
    m_bytes.clear();
    m_bytes.shrink_to_fit();
    m_budget.release(std::exchange(m_granted, 0));
}

} // namespace pomelohead::forwarding
