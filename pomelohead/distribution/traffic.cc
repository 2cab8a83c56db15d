#include "pomelohead/distribution/traffic.h"

namespace pomelohead::distribution {
namespace {

// In the order of `message`.
constexpr std::array<std::string_view, std::variant_size_v<message>> type_names = {
    "hello",        "ping",        "ack",  "ping_request",   "indirect_ack",   "notice",
    "join_request", "member_list", "pull", "manifest_value", "section_values", "hosts_value"};

// An encoded message is a CBOR array of two items. Its header takes one byte; the number of
// the type follows and takes one byte as long as it is below 24 (RFC 8949).
constexpr std::size_t type_position = 1;
static_assert(std::variant_size_v<message> <= 24);

} // namespace

traffic::traffic()
{
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        m_counts[i].m_type = type_names[i];
    }
}

void traffic::record_sent(std::string_view encoded, std::size_t size)
{
    if (encoded.size() <= type_position) {
        return;
    }
    const auto type = static_cast<unsigned char>(encoded[type_position]);
    if (type < m_counts.size()) {
        m_counts[type].m_sent += 1;
        m_counts[type].m_sent_bytes += size;
    }
}

void traffic::record_received(const message& item, std::size_t size)
{
    m_counts[item.index()].m_received += 1;
    m_counts[item.index()].m_received_bytes += size;
}

std::vector<message_count> traffic::counts() const
{
    return {m_counts.begin(), m_counts.end()};
}

} // namespace pomelohead::distribution
