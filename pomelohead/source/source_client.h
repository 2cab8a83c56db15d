// Reads values from the platform's configuration service.
//
// The service is read-only: GET of a key, or a long poll that answers when the
// key's modification index differs from the one given. Each call takes one of the
// service's few calls per second; limits on them are the caller's duty.
//
//     source_client client(io, {.m_address = "127.0.0.1", .m_port = 7500});
//     read_answer answer = client.read({.m_key = "manifest"});   // in a fiber
//     if (answer.m_status == read_status::value) { use(answer.m_bytes); }
#pragma once

#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace pomelohead::source {

/// Where the service is and how long to wait for it.
struct source_options {
    std::string m_address; ///< IP
    std::uint16_t m_port = 7500;
    milliseconds m_connect_limit{2'000};
    milliseconds m_answer_limit{5'000}; ///< beyond the long poll's own wait

    bool operator==(const source_options&) const = default;
};

/// One read.
struct read_request {
    std::string m_key;
    std::optional<std::uint64_t> m_index; ///< wait until the key's index differs from this
    milliseconds m_wait{0};               ///< for at most this long

    bool operator==(const read_request&) const = default;
};

/// What came of a read.
enum class read_status {
    value,     ///< m_bytes and m_index
    unchanged, ///< the long poll's time passed
    absent,    ///< the key does not exist; m_index
    failed,    ///< m_why
};

/// A read's result.
struct read_answer {
    read_status m_status = read_status::failed;
    std::uint64_t m_index = 0; ///< the key's modification index
    std::string m_bytes;
    reason m_why;

    bool operator==(const read_answer&) const = default;
};

/// A client of the configuration service; its functions are called in fibers.
class source_client {
public:
    /// `io` must outlive the client.
    source_client(boost::asio::io_context& io, source_options options);
    ~source_client();
    source_client(const source_client&) = delete;
    source_client& operator=(const source_client&) = delete;

    /// Reads one key; suspends the calling fiber. A value that is cut short,
    /// exceeds config::max_value_bytes or has no index is a failure.
    [[nodiscard]] read_answer read(const read_request& request);

    /// Ends all reads under way with reason_code::cancelled, and all later ones.
    void cancel();

    /// Bytes sent and received so far, HTTP headers included.
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pomelohead::source
