#include "pomelohead/node/member_view.h"

namespace pomelohead::node {

void member_view::refresh()
{
    m_all = m_read();
    m_by_address.clear();
    for (const membership::member& item : m_all) {
        m_by_address.emplace(item.m_address, item.m_state);
    }
}

bool member_view::has_state(const std::string& address, membership::member_state state) const
{
    const auto it = m_by_address.find(address);
    return it != m_by_address.end() && it->second == state;
}

bool member_view::is_alive(const std::string& address) const
{
    return !has_state(address, membership::member_state::dead);
}

bool member_view::is_leaving(const std::string& address) const
{
    return has_state(address, membership::member_state::leaving);
}

} // namespace pomelohead::node
