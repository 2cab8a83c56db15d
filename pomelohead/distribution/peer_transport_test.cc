// The transport over loopback sockets: malformed input, blocked peers, shutdown.
#include "pomelohead/distribution/peer_transport.h"

#include "pomelohead/runtime/asio_timer_service.h"
#include "pomelohead/runtime/fiber.h"
#include "testing/fiber_program.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

namespace pomelohead::distribution {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::uint16_t port = 7402;
constexpr duration wait_limit = 10s;

void run_in_fibers(const std::function<void(asio::io_context&, timer_service&)>& body)
{
    testing::run_in_fiber([&](asio::io_context& io) {
        asio_timer_service timers(io);
        body(io, timers);
    });
}

bool wait_for(const std::function<bool()>& condition)
{
    const time_point limit = clock_type::now() + wait_limit;
    while (!condition() && clock_type::now() < limit) {
        sleep_for(5ms);
    }
    return condition();
}

// A transport that records its callbacks.
struct recording_transport {
    recording_transport(const std::string& address, timer_service& timers, asio::io_context& io)
        : m_self{.m_node = "node-" + address, .m_address = address, .m_failure_domain = "bala"},
          m_transport({.m_address = address, .m_port = port}, timers, io,
                      {.m_make_hello = [this] { return hello{.m_self = m_self}; },
                       .m_receive =
                           [this](const std::string& from, message item) {
                               m_received.emplace_back(from, std::move(item));
                           },
                       .m_failed = [this](const std::string& peer) { m_failed.push_back(peer); },
                       .m_log =
                           [this](log_level, std::string_view event, const std::string& text) {
                               m_log.push_back(std::string(event) + ": " + text);
                           }})
    {
    }

    [[nodiscard]] std::size_t count_of(const message& item) const
    {
        std::size_t count = 0;
        for (const auto& [from, received] : m_received) {
            count += received == item ? 1 : 0;
        }
        return count;
    }

    membership::member m_self;
    std::vector<std::pair<std::string, message>> m_received;
    std::vector<std::string> m_failed;
    std::vector<std::string> m_log;
    peer_transport m_transport;
};

asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    return {asio::ip::make_address(address), port};
}

// Connects as an unknown peer, sends messages, and waits until the transport closes the
// connection.
void send_as_unknown_peer(asio::io_context& io, const std::string& to,
                          const std::vector<std::string>& messages)
{
    beast::websocket::stream<beast::tcp_stream> stream(io);
    await<error_code>([&](auto handler) {
        stream.next_layer().async_connect(endpoint_of(to), std::move(handler));
    });
    await<error_code>([&](auto handler) { stream.async_handshake(to, "/", std::move(handler)); });
    stream.binary(true);
    for (const std::string& bytes : messages) {
        await<error_code, std::size_t>(
            [&](auto handler) { stream.async_write(asio::buffer(bytes), std::move(handler)); });
    }
    beast::flat_buffer buffer;
    error_code error;
    while (!error) {
        stream.next_layer().expires_after(wait_limit);
        std::tie(error, std::ignore) = await<error_code, std::size_t>(
            [&](auto handler) { stream.async_read(buffer, std::move(handler)); });
    }
    BOOST_TEST((error != beast::error::timeout));
}

void send_raw(asio::io_context& io, const std::string& to, const std::string& bytes)
{
    asio::ip::tcp::socket socket(io);
    await<error_code>(
        [&](auto handler) { socket.async_connect(endpoint_of(to), std::move(handler)); });
    await<error_code, std::size_t>(
        [&](auto handler) { asio::async_write(socket, asio::buffer(bytes), std::move(handler)); });
    std::array<char, 1024> answer{};
    error_code error;
    while (!error) {
        std::tie(error, std::ignore) = await<error_code, std::size_t>([&](auto handler) {
            socket.async_read_some(asio::buffer(answer), std::move(handler));
        });
    }
}

std::string hello_of(const std::string& address, std::uint64_t protocol = protocol_version)
{
    hello greeting;
    greeting.m_protocol = protocol;
    greeting.m_self = {.m_node = "stranger", .m_address = address, .m_failure_domain = "bala"};
    return encode(greeting);
}

} // namespace

BOOST_AUTO_TEST_CASE(one_connection_carries_messages_in_both_directions)
{
    run_in_fibers([](asio::io_context& io, timer_service& timers) {
        recording_transport a("127.50.20.1", timers, io);
        recording_transport b("127.50.20.2", timers, io);
        reason why;
        BOOST_REQUIRE_MESSAGE(a.m_transport.start(why), why.m_text);
        BOOST_REQUIRE_MESSAGE(b.m_transport.start(why), why.m_text);
        const message question = ping{1, {}, {}};
        const message answer = ack{1, {}, {}};
        a.m_transport.send("127.50.20.2", question);
        BOOST_TEST(wait_for([&] { return b.count_of(question) == 1; }));
        b.m_transport.send("127.50.20.1", answer);
        BOOST_TEST(wait_for([&] { return a.count_of(answer) == 1; }));
        BOOST_TEST(a.m_transport.link_count() == 1U);
        BOOST_TEST(b.m_transport.link_count() == 1U);
        BOOST_TEST(a.m_transport.bytes_sent() == b.m_transport.bytes_received());
        a.m_transport.stop();
        BOOST_TEST(wait_for([&] { return b.m_failed.size() == 1; }));
        b.m_transport.stop();
        BOOST_TEST(a.m_transport.link_count() + b.m_transport.link_count() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(malformed_input_is_logged_and_closes_only_its_connection)
{
    struct input_case {
        const char* m_name;
        std::vector<std::string> m_messages;
        std::string m_expected_log;
    };
    const std::string unknown_peer = "127.50.21.9";
    const input_case cases[] = {
        {"garbage", {"\xff\x01garbage"}, "peer_message_refused"},
        {"garbage after a hello", {hello_of(unknown_peer), "garbage"}, "peer_message_refused"},
        {"nested garbage", {std::string(200'000, '\x81')}, "peer_message_refused"},
        {"oversized", {std::string(max_message_bytes + 1, 'x')}, "peer_message_refused"},
        {"another protocol version",
         {hello_of(unknown_peer, protocol_version + 1)},
         "is not supported"},
        {"no hello first", {encode(ping{1, {}, {}})}, "one hello"},
        {"two hellos", {hello_of(unknown_peer), hello_of(unknown_peer)}, "one hello"},
    };
    run_in_fibers([&](asio::io_context& io, timer_service& timers) {
        recording_transport node("127.50.21.1", timers, io);
        recording_transport peer("127.50.21.2", timers, io);
        reason why;
        BOOST_REQUIRE_MESSAGE(node.m_transport.start(why), why.m_text);
        BOOST_REQUIRE_MESSAGE(peer.m_transport.start(why), why.m_text);
        peer.m_transport.send("127.50.21.1", join_request{});
        BOOST_TEST(wait_for([&] { return node.count_of(join_request{}) == 1; }));
        for (const input_case& c : cases) {
            BOOST_TEST_CONTEXT(c.m_name)
            {
                node.m_log.clear();
                send_as_unknown_peer(io, "127.50.21.1", c.m_messages);
                BOOST_TEST(wait_for([&] {
                    return std::ranges::any_of(node.m_log, [&](const std::string& line) {
                        return line.find(c.m_expected_log) != std::string::npos;
                    });
                }));
            }
        }
        node.m_log.clear();
        send_raw(io, "127.50.21.1", "this is not HTTP\r\n\r\n");
        BOOST_TEST(wait_for([&] { return !node.m_log.empty(); }));
        peer.m_transport.send("127.50.21.1", ping{5, {}, {}});
        BOOST_TEST(wait_for([&] { return node.count_of(ping{5, {}, {}}) == 1; }));
        BOOST_TEST(wait_for([&] { return node.m_transport.link_count() == 1; }));
        node.m_transport.stop();
        peer.m_transport.stop();
    });
}

BOOST_AUTO_TEST_CASE(an_unreachable_peer_is_reported)
{
    run_in_fibers([](asio::io_context& io, timer_service& timers) {
        recording_transport node("127.50.22.1", timers, io);
        reason why;
        BOOST_REQUIRE_MESSAGE(node.m_transport.start(why), why.m_text);
        node.m_transport.send("127.50.22.2", join_request{});
        BOOST_TEST(wait_for([&] { return node.m_failed.size() == 1; }));
        BOOST_TEST(node.m_transport.link_count() == 0U);
        node.m_transport.stop();
    });
}

BOOST_AUTO_TEST_CASE(a_blocked_peer_is_neither_contacted_nor_accepted)
{
    run_in_fibers([](asio::io_context& io, timer_service& timers) {
        recording_transport a("127.50.23.1", timers, io);
        recording_transport b("127.50.23.2", timers, io);
        reason why;
        BOOST_REQUIRE_MESSAGE(a.m_transport.start(why), why.m_text);
        BOOST_REQUIRE_MESSAGE(b.m_transport.start(why), why.m_text);
        a.m_transport.send("127.50.23.2", ping{1, {}, {}});
        BOOST_TEST(wait_for([&] { return b.count_of(ping{1, {}, {}}) == 1; }));
        a.m_transport.block({"127.50.23.2"});
        BOOST_TEST(wait_for([&] { return b.m_failed.size() == 1; }));
        a.m_transport.send("127.50.23.2", ping{2, {}, {}});
        b.m_transport.send("127.50.23.1", ping{3, {}, {}});
        BOOST_TEST(wait_for([&] { return b.m_failed.size() == 2; }));
        BOOST_TEST(a.count_of(ping{3, {}, {}}) == 0U);
        BOOST_TEST(b.count_of(ping{2, {}, {}}) == 0U);
        a.m_transport.block({});
        a.m_transport.send("127.50.23.2", ping{4, {}, {}});
        BOOST_TEST(wait_for([&] { return b.count_of(ping{4, {}, {}}) == 1; }));
        a.m_transport.stop();
        b.m_transport.stop();
    });
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_an_error)
{
    run_in_fibers([](asio::io_context& io, timer_service& timers) {
        recording_transport first("127.50.24.1", timers, io);
        recording_transport second("127.50.24.1", timers, io);
        reason why;
        BOOST_REQUIRE_MESSAGE(first.m_transport.start(why), why.m_text);
        BOOST_TEST(!second.m_transport.start(why));
        BOOST_TEST((why.m_code == reason_code::unreachable));
        second.m_transport.stop();
        first.m_transport.stop();
    });
}

} // namespace pomelohead::distribution
