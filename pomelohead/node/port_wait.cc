#include "pomelohead/node/port_wait.h"

#include "pomelohead/telemetry/log.h"

#include <boost/asio/ip/tcp.hpp>

namespace pomelohead::node {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr duration retry_delay = std::chrono::milliseconds(50);

// Binds the port as a server does, and gives it back. It does not listen: a caller that came in
// between would be accepted and lost.
error_code try_bind(boost::asio::io_context& io, const forwarding::endpoint& port)
{
    tcp::acceptor acceptor(io);
    const tcp::endpoint at = forwarding::to_asio(port);
    error_code error;
    acceptor.open(at.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(at, error);
    }
    return error;
}

// Whether the reason may pass: a process that ends, or an address that the host gets later.
bool may_pass(error_code error)
{
    return error == boost::asio::error::address_in_use ||
           error == boost::system::errc::address_not_available;
}

} // namespace

port_wait_result wait_for_ports(boost::asio::io_context& io,
                                const std::vector<forwarding::endpoint>& ports, duration limit,
                                const std::function<bool()>& is_cancelled, reason& why)
{
    const time_point end = clock_type::now() + limit;
    for (const forwarding::endpoint& port : ports) {
        bool is_logged = false;
        for (error_code error = try_bind(io, port); error; error = try_bind(io, port)) {
            why = {reason_code::unreachable, "cannot listen on " + port.m_address + ":" +
                                                 std::to_string(port.m_port) + ": " +
                                                 error.message()};
            if (!may_pass(error) || clock_type::now() >= end) {
                return port_wait_result::held;
            }
            if (!is_logged) {
                const std::chrono::duration<double> left = end - clock_type::now();
                log_event(log_level::warning, "port_held",
                          {{"why", why.m_text}, {"waits_s", left.count()}});
                is_logged = true;
            }
            sleep_for(retry_delay);
            if (is_cancelled()) {
                return port_wait_result::cancelled;
            }
        }
    }
    return port_wait_result::free;
}

} // namespace pomelohead::node
