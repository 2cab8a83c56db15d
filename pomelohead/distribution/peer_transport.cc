// websocketpp runs on the node's own io_context; client and server share one
// configuration, so that connections of both directions have one type.
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
constexpr milliseconds close_step{10};
constexpr int max_close_steps = 100;

} // namespace

struct peer_transport::impl {
    impl(transport_options options, timer_service& timers, asio::io_context& io,
         transport_hooks hooks)
        : m_options(std::move(options)), m_timers(timers), m_hooks(std::move(hooks))
    {
        m_client.init_asio(&io);
        m_server.init_asio(&io);
        quiet(m_client);
        quiet(m_server);
        m_client.set_user_agent("");
        m_server.set_user_agent("");
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this](ws::connection_hdl handle) {
            accepted(m_server.get_con_from_hdl(std::move(handle)));
        });
        m_server.set_fail_handler([this](ws::connection_hdl handle) {
            const auto con = m_server.get_con_from_hdl(std::move(handle));
            if (!m_stopped) {
                m_hooks.m_log(log_level::warning, "peer_handshake_failed",
                              con->get_remote_endpoint() + ": " + con->get_ec().message());
            }
        });
    }

    template <class Endpoint>
    static void quiet(Endpoint& endpoint)
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
        m_sweep = m_timers.every(sweep_period, [this] { sweep(); });
        return true;
    }

    void stop()
    {
        m_stopped = true;
        m_sweep.cancel();
        ws::lib::error_code ignored;
        if (m_server.is_listening()) {
            m_server.stop_listening(ignored);
        }
        for (const link_ptr& item : std::set<link_ptr>(m_links)) {
            close(item, ws::close::status::going_away, "stopping");
        }
        for (int step = 0; step < max_close_steps && !m_links.empty(); ++step) {
            sleep_for(close_step);
        }
        for (const link_ptr& item : std::set<link_ptr>(m_links)) {
            item->m_connection->terminate(ws::lib::error_code());
        }
        for (int step = 0; step < max_close_steps && !m_links.empty(); ++step) {
            sleep_for(close_step);
        }
        // Lets the cancelled accept complete before the endpoint goes.
        sleep_for(close_step);
    }

    void accepted(const std::shared_ptr<connection>& con)
    {
        auto item = std::make_shared<link>();
        item->m_connection = con;
        m_links.insert(item);
        set_handlers(item);
        opened(item);
    }

    void set_handlers(const link_ptr& item)
    {
        // The handlers belong to the connection, which the link holds; a weak pointer
        // keeps the two from holding each other.
        const std::weak_ptr<link> weak = item;
        item->m_connection->set_message_handler(
            [this, weak](const ws::connection_hdl&, const connection::message_ptr& received) {
                if (const link_ptr strong = weak.lock()) {
                    on_message(strong, received->get_payload());
                }
            });
        const auto ended = [this, weak](const ws::connection_hdl&) {
            if (const link_ptr strong = weak.lock()) {
                on_end(strong);
            }
        };
        item->m_connection->set_close_handler(ended);
        if (item->m_outgoing) {
            item->m_connection->set_fail_handler(ended);
            item->m_connection->set_open_handler([this, weak](const ws::connection_hdl&) {
                if (const link_ptr strong = weak.lock()) {
                    opened(strong);
                }
            });
        }
        item->m_made = m_timers.now();
        item->m_used = m_timers.now();
    }

    void opened(const link_ptr& item)
    {
        const std::size_t request = item->m_connection->get_request().raw().size();
        const std::size_t response = item->m_connection->get_response().raw().size();
        m_bytes_sent += item->m_outgoing ? request : response;
        m_bytes_received += item->m_outgoing ? response : request;
        item->m_open = true;
        write(item, encode(m_hooks.m_greeting()));
        for (const std::string& bytes : item->m_queue) {
            write(item, bytes);
        }
        item->m_queue.clear();
        drop_surplus();
    }

    void on_message(const link_ptr& item, const std::string& bytes)
    {
        if (m_stopped || !m_links.contains(item)) {
            return;
        }
        const std::size_t size = bytes.size() + frame_header_bytes(bytes.size(), !item->m_outgoing);
        m_bytes_received += size;
        reason why;
        std::optional<message> received = decode(bytes, why);
        const hello* greeting = received ? std::get_if<hello>(&*received) : nullptr;
        if (received && item->m_greeted == (greeting != nullptr)) {
            received.reset();
            why = {reason_code::malformed, "a connection has one hello, at its begin"};
        }
        if (!received) {
            m_hooks.m_log(log_level::error, "peer_message_refused", name(item) + ": " + why.m_text);
            close(item, ws::close::status::protocol_error, why.m_text);
            return;
        }
        m_traffic.received(*received, size);
        if (greeting != nullptr && !greet(item, greeting->m_self.m_address)) {
            return;
        }
        item->m_used = m_timers.now();
        m_hooks.m_receive(item->m_address, *std::move(received));
    }

    bool greet(const link_ptr& item, const std::string& address)
    {
        if (item->m_outgoing && address != item->m_address) {
            m_hooks.m_log(log_level::error, "peer_message_refused",
                          name(item) + ": says that its address is " + address);
            close(item, ws::close::status::protocol_error, "wrong address");
            return false;
        }
        if (m_blocked.contains(address) || address == m_options.m_address) {
            close(item, ws::close::status::policy_violation, "refused");
            return false;
        }
        item->m_greeted = true;
        item->m_address = address;
        m_by_address[address] = item;
        return true;
    }

    static std::string name(const link_ptr& item)
    {
        return item->m_address.empty() ? item->m_connection->get_remote_endpoint()
                                       : item->m_address;
    }

    void on_end(const link_ptr& item)
    {
        if (m_links.erase(item) == 0) {
            return;
        }
        if (item->m_connection->get_local_close_code() == ws::close::status::message_too_big) {
            m_hooks.m_log(log_level::error, "peer_message_refused",
                          name(item) + ": message exceeds " + std::to_string(max_message_bytes) +
                              " bytes");
        }
        const auto known = m_by_address.find(item->m_address);
        if (known == m_by_address.end() || known->second != item) {
            return;
        }
        m_by_address.erase(known);
        const bool was_idle =
            item->m_connection->get_local_close_code() == ws::close::status::normal ||
            item->m_connection->get_remote_close_code() == ws::close::status::normal;
        if (!m_stopped && !was_idle) {
            m_hooks.m_failed(item->m_address);
        }
    }

    void send(const std::string& address, const message& item)
    {
        if (m_stopped || m_blocked.contains(address) || address == m_options.m_address) {
            return;
        }
        const auto known = m_by_address.find(address);
        const link_ptr to = known != m_by_address.end() ? known->second : connect(address);
        if (!to) {
            return;
        }
        to->m_used = m_timers.now();
        if (to->m_open) {
            write(to, encode(item));
        }
        else if (to->m_queue.size() < m_options.m_max_queued) {
            to->m_queue.push_back(encode(item));
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
        auto item = std::make_shared<link>();
        item->m_connection = con;
        item->m_outgoing = true;
        item->m_address = address;
        m_links.insert(item);
        m_by_address[address] = item;
        set_handlers(item);
        m_client.connect(con);
        return item;
    }

    void write(const link_ptr& item, const std::string& bytes)
    {
        if (item->m_connection->get_buffered_amount() > m_options.m_max_unsent_bytes) {
            m_hooks.m_log(log_level::warning, "peer_too_slow", name(item));
            close(item, ws::close::status::policy_violation, "too slow");
            return;
        }
        if (!item->m_connection->send(bytes, ws::frame::opcode::binary)) {
            const std::size_t size =
                bytes.size() + frame_header_bytes(bytes.size(), item->m_outgoing);
            m_bytes_sent += size;
            m_traffic.sent(bytes, size);
        }
    }

    void close(const link_ptr& item, ws::close::status::value code, const std::string& text)
    {
        constexpr std::size_t max_close_text = 100; // a close frame holds 123 bytes
        ws::lib::error_code error;
        item->m_connection->close(code, text.substr(0, max_close_text), error);
        if (error) {
            item->m_connection->terminate(ws::lib::error_code());
        }
    }

    void sweep()
    {
        const time_point now = m_timers.now();
        for (const link_ptr& item : std::set<link_ptr>(m_links)) {
            if (item->m_open && !item->m_greeted && now - item->m_made > m_options.m_hello_limit) {
                m_hooks.m_log(log_level::warning, "peer_silent", name(item) + ": no hello");
                close(item, ws::close::status::protocol_error, "no hello");
            }
            else if (item->m_open && now - item->m_used > m_options.m_idle_limit) {
                close(item, ws::close::status::normal, "idle");
            }
        }
    }

    void drop_surplus()
    {
        std::size_t open = 0;
        link_ptr longest_unused;
        for (const link_ptr& item : m_links) {
            if (!item->m_open) {
                continue;
            }
            ++open;
            if (!longest_unused || item->m_used < longest_unused->m_used) {
                longest_unused = item;
            }
        }
        if (open > m_options.m_max_links) {
            close(longest_unused, ws::close::status::normal, "too many connections");
        }
    }

    void block(std::vector<std::string> addresses)
    {
        m_blocked = {addresses.begin(), addresses.end()};
        for (const link_ptr& item : std::set<link_ptr>(m_links)) {
            if (m_blocked.contains(item->m_address)) {
                close(item, ws::close::status::policy_violation, "refused");
            }
        }
    }

    transport_options m_options;
    timer_service& m_timers;
    transport_hooks m_hooks;
    client_endpoint m_client;
    server_endpoint m_server;
    timer_subscription m_sweep;
    std::set<link_ptr> m_links;
    std::map<std::string, link_ptr> m_by_address; // the link to use for each address
    std::set<std::string> m_blocked;
    bool m_stopped = false;
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

std::size_t peer_transport::links() const
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
    return m_impl->m_traffic.lines();
}

} // namespace pomelohead::distribution
