// The FNV-1a hash of a body that comes in pieces.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohead::testing {

/// Hashes and counts the bytes of one body.
class body_hash {
public:
    void add(std::string_view bytes)
    {
        for (const char byte : bytes) {
            m_value = (m_value ^ static_cast<unsigned char>(byte)) * fnv_prime;
        }
        m_bytes += bytes.size();
    }

    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

    /// The hash as a decimal number.
    [[nodiscard]] std::string text() const { return std::to_string(m_value); }

private:
    static constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    static constexpr std::uint64_t fnv_prime = 0x100000001b3U;

    std::uint64_t m_value = fnv_offset;
    std::uint64_t m_bytes = 0;
};

} // namespace pomelohead::testing
