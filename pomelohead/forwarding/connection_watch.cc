#include "pomelohead/forwarding/connection_watch.h"

#include <boost/asio/bind_cancellation_slot.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace pomelohead::forwarding {
namespace {

bool is_gone(int socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

connection_watch::connection_watch(boost::beast::tcp_stream& stream, std::function<void()> on_gone,
                                   std::function<void()> on_early_bytes)
    : m_state(std::make_shared<state>())
{
    m_state->m_on_gone = std::move(on_gone);
    m_state->m_on_early_bytes = std::move(on_early_bytes);
    const int socket = stream.socket().native_handle();
    stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        boost::asio::bind_cancellation_slot(
            m_state->m_cancel.slot(), [kept = m_state, socket](boost::system::error_code error) {
                if (error || !kept->m_on_gone) {
                    return;
                }
                if (is_gone(socket)) {
                    kept->m_on_gone();
                }
                else if (kept->m_on_early_bytes) {
                    kept->m_on_early_bytes();
                }
            }));
}

connection_watch::~connection_watch()
{
    m_state->m_on_gone = nullptr;
    m_state->m_cancel.emit(boost::asio::cancellation_type::all);
}

} // namespace pomelohead::forwarding
