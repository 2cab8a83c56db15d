// Connections that wait to be accepted by a host whose event loop has much else to do.
#include "pomelohead/forwarding/http_server.h"
#include "testing/fiber_program.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

namespace pomelohead::forwarding {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t waiting = 50;

// The turns of the event loop until the server holds `waiting` connections, while other work fills
// each turn.
std::size_t count_turns(boost::asio::io_context& io, const http_server& server)
{
    std::function<void()> work = [&] {
        if (server.connections() < waiting) {
            boost::asio::post(io, work);
        }
    };
    work();
    std::size_t turns = 0;
    const time_point limit = clock_type::now() + 5s;
    while (server.connections() < waiting && clock_type::now() < limit) {
        await<>([&](auto handler) { boost::asio::post(io, std::move(handler)); });
        ++turns;
    }
    return turns;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_busy_server_accepts_the_connections_that_wait_together)
{
    testing::run_in_fiber([](boost::asio::io_context& io) {
        const endpoint where{"127.91.0.1", 7400};
        http_server server(io, where, {}, [](server_exchange& e) { e.close_after(); });
        reason why;
        BOOST_REQUIRE_MESSAGE(server.start(why), why.m_text);
        std::vector<boost::asio::ip::tcp::socket> callers;
        for (std::size_t i = 0; i < waiting; ++i) {
            callers.emplace_back(io).connect(to_asio(where)); // without letting the server run
        }
        BOOST_TEST(count_turns(io, server) < waiting / 2);
        BOOST_TEST(server.connections() == waiting);
    });
}

} // namespace pomelohead::forwarding
