#include "pomelohead/forwarding/connection_watch.h"

#include "pomelohead/forwarding/socket_state.h"

#include <boost/asio/bind_cancellation_slot.hpp>

namespace pomelohead::forwarding {
namespace {

constexpr duration unread_check_period = std::chrono::milliseconds(100);

} // namespace

connection_watch::connection_watch(boost::beast::tcp_stream& stream,
                                   std::function<void()> on_closed,
                                   std::function<void()> on_early_data)
    : m_state(std::make_shared<state>(stream))
{
    m_state->m_on_closed = std::move(on_closed);
    m_state->m_on_early_data = std::move(on_early_data);
    stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        boost::asio::bind_cancellation_slot(m_state->m_cancel.slot(),
                                            [watch = m_state](boost::system::error_code error) {
                                                if (!error && watch->m_on_closed) {
                                                    on_readable(watch);
                                                }
                                            }));
}

void connection_watch::on_readable(const std::shared_ptr<state>& watch)
{
    if (has_peer_left(watch->m_stream)) {
        watch->m_on_closed();
        return;
    }
    check_behind_unread_bytes(watch);
    if (watch->m_on_early_data) {
        watch->m_on_early_data();
    }
}

void connection_watch::check_behind_unread_bytes(const std::shared_ptr<state>& watch)
{
    watch->m_unread_check.expires_after(unread_check_period);
    watch->m_unread_check.async_wait([watch](boost::system::error_code error) {
        if (error || !watch->m_on_closed) {
            return;
        }
        if (has_peer_left(watch->m_stream)) {
            watch->m_on_closed();
        }
        else {
            check_behind_unread_bytes(watch);
        }
    });
}

connection_watch::~connection_watch()
{
    m_state->m_on_closed = nullptr;
    m_state->m_cancel.emit(boost::asio::cancellation_type::all);
    m_state->m_unread_check.cancel();
}

} // namespace pomelohead::forwarding
