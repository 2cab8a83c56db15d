#include "pomelohead/forwarding/socket_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace pomelohead::forwarding {

bool is_closed_by_peer(boost::beast::tcp_stream& stream)
{
    char byte = 0;
    const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool has_peer_left(boost::beast::tcp_stream& stream)
{
    pollfd state{stream.socket().native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

duration time_since_last_data(boost::beast::tcp_stream& stream)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const int error =
        ::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    const bool is_known = error == 0 && size >= offsetof(tcp_info, tcpi_last_ack_recv);
    return milliseconds(is_known ? info.tcpi_last_data_recv : 0);
}

} // namespace pomelohead::forwarding
