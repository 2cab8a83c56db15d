// websocketpp runs on the node's io_context. Client and server share one configuration, so
// that connections of both directions have the same type.
#include "pomelohead/distribution/peer_transport.h"

#include "pomelohead/distribution/peer_link.h"
#include "pomelohead/runtime/fiber.h"

#include <set>

namespace pomelohead::distribution {
namespace {

namespace asio = boost::asio;
namespace ws = websocketpp;
using detail::client_endpoint;
using detail::connection;
using detail::frame_header_bytes;
using detail::link;
using detail::link_ptr;
using detail::server_endpoint;
using detail::uri_of;

constexpr milliseconds sweep_period{1'000};
constexpr milliseconds close_poll_interval{10};
constexpr int max_close_polls = 100;

} // namespace

struct peer_transport::impl {
    impl(transport_options options, timer_service& timers, asio::io_context& io,
         transport_hooks hooks)
        : m_options(std::move(options)), m_timers(timers), m_hooks(std::move(hooks))
    {
        m_client.init_asio(&io);
        m_server.init_asio(&io);
        disable_logging(m_client);
        disable_logging(m_server);
        m_client.set_user_agent("");
        m_server.set_user_agent("");
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this](ws::connection_hdl handle) {
            on_accepted(m_server.get_con_from_hdl(std::move(handle)));
        });
        m_server.set_fail_handler([this](ws::connection_hdl handle) {
            const auto con = m_server.get_con_from_hdl(std::move(handle));
            if (!m_is_stopped) {
                m_hooks.m_log(log_level::warning, "peer_handshake_failed",
                              con->get_remote_endpoint() + ": " + con->get_ec().message());
            }
        });
    }

    template <class Endpoint>
    static void disable_logging(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(ws::log::alevel::all);
        endpoint.clear_error_channels(ws::log::elevel::all);
    }

    bool start(reason& why)
    {
        boost::system::error_code bad_address;
        const auto address = asio::ip::make_address(m_options.m_address, bad_address);
        if (bad_address) {
            why = {reason_code::invalid, "'" + m_options.m_address + "' is not an IP address"};
            return false;
        }
        ws::lib::error_code error;
        m_server.listen(asio::ip::tcp::endpoint(address, m_options.m_port), error);
        if (!error) {
            m_server.start_accept(error);
        }
        if (error) {
            why = {reason_code::unreachable, "cannot listen on " + m_options.m_address + ":" +
                                                 std::to_string(m_options.m_port) + ": " +
                                                 error.message()};
            return false;
        }
        m_sweep_timer = m_timers.every(sweep_period, [this] { close_expired_links(); });
        return true;
    }

    void stop()
    {
        m_is_stopped = true;
        m_sweep_timer.cancel();
        ws::lib::error_code ignored;
        if (m_server.is_listening()) {
            m_server.stop_listening(ignored);
        }
        for (const link_ptr& peer : std::set<link_ptr>(m_links)) {
            close(peer, ws::close::status::going_away, "stopping");
        }
        for (int step = 0; step < max_close_polls && !m_links.empty(); ++step) {
            sleep_for(close_poll_interval);
        }
        for (const link_ptr& peer : std::set<link_ptr>(m_links)) {
            peer->m_connection->terminate(ws::lib::error_code());
        }
        for (int step = 0; step < max_close_polls && !m_links.empty(); ++step) {
            sleep_for(close_poll_interval);
        }
        // Lets the cancelled accept complete before the endpoint is destroyed.
        sleep_for(close_poll_interval);
    }

    void on_accepted(const std::shared_ptr<connection>& con)
    {
        auto peer = std::make_shared<link>();
        peer->m_connection = con;
        m_links.insert(peer);
        set_handlers(peer);
        on_open(peer);
    }

    void set_handlers(const link_ptr& peer)
    {
        // The link owns the connection, and the connection owns the handlers. A weak pointer
        // avoids a reference cycle.
        const std::weak_ptr<link> weak = peer;
        peer->m_connection->set_message_handler(
            [this, weak](const ws::connection_hdl&, const connection::message_ptr& received) {
                if (const link_ptr locked_link = weak.lock()) {
                    on_message(locked_link, received->get_payload());
                }
            });
        const auto closed_handler = [this, weak](const ws::connection_hdl&) {
            if (const link_ptr locked_link = weak.lock()) {
                on_closed(locked_link);
            }
        };
        peer->m_connection->set_close_handler(closed_handler);
        if (peer->m_is_outgoing) {
            peer->m_connection->set_fail_handler(closed_handler);
            peer->m_connection->set_open_handler([this, weak](const ws::connection_hdl&) {
                if (const link_ptr locked_link = weak.lock()) {
                    on_open(locked_link);
                }
            });
        }
        peer->m_created_at = m_timers.now();
        peer->m_last_used = m_timers.now();
    }

    void on_open(const link_ptr& peer)
    {
        const std::size_t request = peer->m_connection->get_request().raw().size();
        const std::size_t response = peer->m_connection->get_response().raw().size();
        m_bytes_sent += peer->m_is_outgoing ? request : response;
        m_bytes_received += peer->m_is_outgoing ? response : request;
        peer->m_is_open = true;
        write(peer, encode(m_hooks.m_make_hello()));
        for (const std::string& bytes : peer->m_pending_messages) {
            write(peer, bytes);
        }
        peer->m_pending_messages.clear();
        close_surplus_link();
    }

    void on_message(const link_ptr& peer, const std::string& bytes)
    {
        if (m_is_stopped || !m_links.contains(peer)) {
            return;
        }
        const std::size_t size =
            bytes.size() + frame_header_bytes(bytes.size(), !peer->m_is_outgoing);
        m_bytes_received += size;
        reason why;
        std::optional<message> received = decode(bytes, why);
        const hello* greeting = received ? std::get_if<hello>(&*received) : nullptr;
        if (received && peer->m_has_received_hello == (greeting != nullptr)) {
            received.reset();
            why = {reason_code::malformed, "a connection has one hello, at its begin"};
        }
        if (!received) {
            m_hooks.m_log(log_level::error, "peer_message_refused",
                          describe_peer(peer) + ": " + why.m_text);
            close(peer, ws::close::status::protocol_error, why.m_text);
            return;
        }
        m_traffic.record_received(*received, size);
        if (greeting != nullptr && !accept_hello(peer, greeting->m_self.m_address)) {
            return;
        }
        peer->m_last_used = m_timers.now();
        m_hooks.m_receive(peer->m_address, *std::move(received));
    }

    bool accept_hello(const link_ptr& peer, const std::string& address)
    {
        if (peer->m_is_outgoing && address != peer->m_address) {
            m_hooks.m_log(log_level::error, "peer_message_refused",
                          describe_peer(peer) + ": its hello has the address " + address);
            close(peer, ws::close::status::protocol_error, "wrong address");
            return false;
        }
        if (m_blocked.contains(address) || address == m_options.m_address) {
            close(peer, ws::close::status::policy_violation, "refused");
            return false;
        }
        peer->m_has_received_hello = true;
        peer->m_address = address;
        m_by_address[address] = peer;
        return true;
    }

    static std::string describe_peer(const link_ptr& peer)
    {
        return peer->m_address.empty() ? peer->m_connection->get_remote_endpoint()
                                       : peer->m_address;
    }

    void on_closed(const link_ptr& peer)
    {
        if (m_links.erase(peer) == 0) {
            return;
        }
        if (peer->m_connection->get_local_close_code() == ws::close::status::message_too_big) {
            m_hooks.m_log(log_level::error, "peer_message_refused",
                          describe_peer(peer) + ": message exceeds " +
                              std::to_string(max_message_bytes) + " bytes");
        }
        const auto link_entry = m_by_address.find(peer->m_address);
        if (link_entry == m_by_address.end() || link_entry->second != peer) {
            return;
        }
        m_by_address.erase(link_entry);
        const bool was_closed_normally =
            peer->m_connection->get_local_close_code() == ws::close::status::normal ||
            peer->m_connection->get_remote_close_code() == ws::close::status::normal;
        if (!m_is_stopped && !was_closed_normally) {
            m_hooks.m_failed(peer->m_address);
        }
    }

    void send(const std::string& address, const message& item)
    {
        if (m_is_stopped || m_blocked.contains(address) || address == m_options.m_address) {
            return;
        }
        const auto link_entry = m_by_address.find(address);
        const link_ptr to =
            link_entry != m_by_address.end() ? link_entry->second : connect(address);
        if (!to) {
            return;
        }
        to->m_last_used = m_timers.now();
        if (to->m_is_open) {
            write(to, encode(item));
        }
        else if (to->m_pending_messages.size() < m_options.m_max_pending_messages) {
            to->m_pending_messages.push_back(encode(item));
        }
    }

    link_ptr connect(const std::string& address)
    {
        ws::lib::error_code error;
        const auto con = m_client.get_connection(uri_of(address, m_options.m_port), error);
        if (error) {
            m_hooks.m_log(log_level::warning, "peer_address_refused",
                          address + ": " + error.message());
            return nullptr;
        }
        auto peer = std::make_shared<link>();
        peer->m_connection = con;
        peer->m_is_outgoing = true;
        peer->m_address = address;
        m_links.insert(peer);
        m_by_address[address] = peer;
        set_handlers(peer);
        m_client.connect(con);
        return peer;
    }

    void write(const link_ptr& peer, const std::string& bytes)
    {
        if (peer->m_connection->get_buffered_amount() > m_options.m_max_unsent_bytes) {
            m_hooks.m_log(log_level::warning, "peer_too_slow", describe_peer(peer));
            close(peer, ws::close::status::policy_violation, "too slow");
            return;
        }
        if (!peer->m_connection->send(bytes, ws::frame::opcode::binary)) {
            const std::size_t size =
                bytes.size() + frame_header_bytes(bytes.size(), peer->m_is_outgoing);
            m_bytes_sent += size;
            m_traffic.record_sent(bytes, size);
        }
    }

    void close(const link_ptr& peer, ws::close::status::value code, const std::string& text)
    {
        constexpr std::size_t max_close_text = 100; // a close frame holds 123 bytes
        ws::lib::error_code error;
        peer->m_connection->close(code, text.substr(0, max_close_text), error);
        if (error) {
            peer->m_connection->terminate(ws::lib::error_code());
        }
    }

    void close_expired_links()
    {
        const time_point now = m_timers.now();
        for (const link_ptr& peer : std::set<link_ptr>(m_links)) {
            if (peer->m_is_open && !peer->m_has_received_hello &&
                now - peer->m_created_at > m_options.m_hello_timeout) {
                m_hooks.m_log(log_level::warning, "peer_silent",
                              describe_peer(peer) + ": no hello within the time limit");
                close(peer, ws::close::status::protocol_error, "no hello");
            }
            else if (peer->m_is_open && now - peer->m_last_used > m_options.m_idle_timeout) {
                close(peer, ws::close::status::normal, "idle");
            }
        }
    }

    void close_surplus_link()
    {
        std::size_t open = 0;
        link_ptr least_recently_used;
        for (const link_ptr& peer : m_links) {
            if (!peer->m_is_open) {
                continue;
            }
            ++open;
            if (!least_recently_used || peer->m_last_used < least_recently_used->m_last_used) {
                least_recently_used = peer;
            }
        }
        if (open > m_options.m_max_links) {
            close(least_recently_used, ws::close::status::normal, "too many connections");
        }
    }

    void block(std::vector<std::string> addresses)
    {
        m_blocked = {addresses.begin(), addresses.end()};
        for (const link_ptr& peer : std::set<link_ptr>(m_links)) {
            if (m_blocked.contains(peer->m_address)) {
                close(peer, ws::close::status::policy_violation, "refused");
            }
        }
    }

    transport_options m_options;
    timer_service& m_timers;
    transport_hooks m_hooks;
    client_endpoint m_client;
    server_endpoint m_server;
    timer_subscription m_sweep_timer;
    std::set<link_ptr> m_links;
    std::map<std::string, link_ptr> m_by_address; // the link used for sending
    std::set<std::string> m_blocked;
    bool m_is_stopped = false;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
    traffic m_traffic;
};

peer_transport::peer_transport(transport_options options, timer_service& timers,
                               asio::io_context& io, transport_hooks hooks)
    : m_impl(std::make_unique<impl>(std::move(options), timers, io, std::move(hooks)))
{
}

peer_transport::~peer_transport() = default;

bool peer_transport::start(reason& why)
{
    return m_impl->start(why);
}

void peer_transport::stop()
{
    m_impl->stop();
}

void peer_transport::send(const std::string& address, const message& item)
{
    m_impl->send(address, item);
}

void peer_transport::block(std::vector<std::string> addresses)
{
    m_impl->block(std::move(addresses));
}

std::size_t peer_transport::link_count() const
{
    return m_impl->m_links.size();
}

std::uint64_t peer_transport::bytes_sent() const
{
    return m_impl->m_bytes_sent;
}

std::uint64_t peer_transport::bytes_received() const
{
    return m_impl->m_bytes_received;
}

std::vector<message_count> peer_transport::messages() const
{
    return m_impl->m_traffic.counts();
}

} // namespace pomelohead::distribution
