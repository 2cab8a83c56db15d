// Reads values from the platform's configuration service.
//
// The service is read-only: a GET returns a key's value, or waits as a long poll until
// the key's modification index differs from the given one. The service allows few calls
// per second; the caller must limit its rate.
//
//     source_client client(io, {.m_address = "127.0.0.1", .m_port = 7500});
//     read_result answer = client.read({.m_key = "manifest"});   // in a fiber
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

/// Address of the service and timeouts.
struct source_options {
    std::string m_address; ///< IP address
    std::uint16_t m_port = 7500;
    milliseconds m_connect_timeout{2'000};
    milliseconds m_response_timeout{5'000}; ///< in addition to a long poll's m_wait

    bool operator==(const source_options&) const = default;
};

/// A read of one key.
struct read_request {
    std::string m_key;
    std::optional<std::uint64_t> m_index; ///< long poll until the key's index differs from this
    milliseconds m_wait{0};               ///< maximum wait of the long poll

    bool operator==(const read_request&) const = default;
};

/// Outcome of a read.
enum class read_status {
    value,     ///< m_bytes and m_index are set
    unchanged, ///< the long poll ended without a change
    absent,    ///< the key does not exist; m_index is set
    failed,    ///< see m_why
};

/// Result of a read.
struct read_result {
    read_status m_status = read_status::failed;
    std::uint64_t m_index = 0; ///< the key's modification index
    std::string m_bytes;
    reason m_why;

    bool operator==(const read_result&) const = default;
};

/// A client of the configuration service.
class source_client {
public:
    /// `io` must outlive the client.
    source_client(boost::asio::io_context& io, source_options options);
    ~source_client();
    source_client(const source_client&) = delete;
    source_client& operator=(const source_client&) = delete;

    /// Reads one key; suspends the calling fiber. Fails on a value that is truncated,
    /// exceeds config::max_value_bytes or has no index.
    [[nodiscard]] read_result read(const read_request& request);

    /// Makes reads in flight and all later ones fail with reason_code::cancelled.
    void cancel();

    /// Bytes sent and received so far, HTTP headers included.
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pomelohead::source
