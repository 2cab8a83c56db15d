// The other nodes by address, for the many questions that each request asks.
//
//     member_view members([&] { return distributor.members(); });
//     members.refresh();
//     members.is_alive("127.0.1.2");
#pragma once

#include "pomelohead/membership/member.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace pomelohead::node {

/// A copy of the membership, renewed by refresh().
class member_view {
public:
    using read_fn = std::function<std::vector<membership::member>()>;

    explicit member_view(read_fn read) : m_read(std::move(read)) {}

    void refresh();

    /// Whether a node may answer there; true for an address never heard of.
    [[nodiscard]] bool is_alive(const std::string& address) const;
    [[nodiscard]] bool is_leaving(const std::string& address) const;
    [[nodiscard]] bool is_known(const std::string& address) const
    {
        return m_by_address.contains(address);
    }
    [[nodiscard]] const std::vector<membership::member>& all() const { return m_all; }

private:
    [[nodiscard]] bool has_state(const std::string& address, membership::member_state state) const;

    read_fn m_read;
    std::vector<membership::member> m_all;
    std::unordered_map<std::string, membership::member_state> m_by_address;
};

} // namespace pomelohead::node
