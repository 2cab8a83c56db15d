#include "pomelohead/forwarding/connection_watch.h"

#include "pomelohead/forwarding/socket_state.h"

#include <boost/asio/bind_cancellation_slot.hpp>

namespace pomelohead::forwarding {

connection_watch::connection_watch(boost::beast::tcp_stream& stream,
                                   std::function<void()> on_closed,
                                   std::function<void()> on_early_data)
    : m_state(std::make_shared<state>())
{
    m_state->m_on_closed = std::move(on_closed);
    m_state->m_on_early_data = std::move(on_early_data);
    stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                               boost::asio::bind_cancellation_slot(
                                   m_state->m_cancel.slot(), [watch_state = m_state, &stream](
                                                                 boost::system::error_code error) {
                                       if (error || !watch_state->m_on_closed) {
                                           return;
                                       }
                                       if (is_closed_by_peer(stream)) {
                                           watch_state->m_on_closed();
                                       }
                                       else if (watch_state->m_on_early_data) {
                                           watch_state->m_on_early_data();
                                       }
                                   }));
}

connection_watch::~connection_watch()
{
    m_state->m_on_closed = nullptr;
    m_state->m_cancel.emit(boost::asio::cancellation_type::all);
}

} // namespace pomelohead::forwarding
