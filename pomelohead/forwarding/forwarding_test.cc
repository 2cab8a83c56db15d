// For each kind of fault between entries, owners and simulated targets over loopback: what the
// caller is told and how often a target runs the request.
#include "pomelohead/config/bundle.h"
#include "pomelohead/forwarding/connection_watch.h"
#include "pomelohead/forwarding/entry_service.h"
#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/owner_service.h"
#include "pomelohead/runtime/asio_timer_service.h"
#include "testing/fiber_program.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace pomelohead::forwarding {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t caller_port = 7400;
constexpr std::uint16_t owner_port = 7401;
constexpr std::uint16_t target_port = 7100;

std::string address_of(int host)
{
    return "127.91.0." + std::to_string(host);
}

// What a simulated target does with a request.
enum class target_behavior {
    respond_with_size,        // 200 with the size of the body
    drop_connection,          // closes without a response
    truncate_response,        // declares 10 bytes, sends 3, closes
    respond_to_other_request, // a response with another request's id
    omit_length,              // a response that is delimited by the end of the connection
    decline,                  // 503, not run
    decline_once_more,        // declines, and writes that again before the connection's next answer
    never_respond,
    large_response,          // 1 MB
    truncate_large_response, // declares 1 MB, sends half, closes
    exit_process,            // closes without a response; its listener closes a little later
};

struct fake_target {
    fake_target(boost::asio::io_context& io, int host)
        : m_server(io, {address_of(host), target_port}, {}, [this](server_exchange& e) { run(e); })
    {
        reason why;
        BOOST_REQUIRE_MESSAGE(m_server.start(why), why.m_text);
    }

    void run(server_exchange& e)
    {
        std::string piece;
        reason why;
        const time_point limit = clock_type::now() + 5s;
        body_state state = e.request().done() ? body_state::end : body_state::more;
        std::size_t total = 0;
        while (state == body_state::more) {
            state = e.request().read_body(piece, max_piece_bytes, limit, why);
            total += piece.size();
        }
        m_runs += m_behavior == target_behavior::decline ? 0 : 1;
        http::header<false> head;
        head.result(200);
        constexpr std::size_t large = 1'000'000;
        switch (m_behavior) {
        case target_behavior::respond_with_size:
            e.respond(head, std::to_string(total), limit, why);
            return;
        case target_behavior::drop_connection:
            break;
        case target_behavior::exit_process:
            m_exiting.spawn([this] {
                sleep_for(5ms);
                m_server.close_listener();
            });
            break;
        case target_behavior::truncate_response:
            e.begin(head, 10, "abc", limit, why);
            break;
        case target_behavior::respond_to_other_request:
            head.set(request_id_header, "another");
            e.respond(head, "x", limit, why);
            return;
        case target_behavior::omit_length:
            head.set(http::field::connection, "close");
            message_writer(e.stream()).write_head(head, message_framing::none(), "abc", limit, why);
            break;
        case target_behavior::decline:
            head.result(503);
            head.set(not_run_header, "true");
            e.respond(head, {}, limit, why);
            return;
        case target_behavior::decline_once_more:
            if (m_declined_port == 0) {
                m_declined_port = e.stream().socket().remote_endpoint().port();
                --m_runs;
                head.result(503);
                head.set(not_run_header, "true");
                e.respond(head, {}, limit, why);
                return;
            }
            if (m_declined_port == e.stream().socket().remote_endpoint().port()) {
                http::header<false> again;
                again.result(503);
                again.set(not_run_header, "true");
                message_writer(e.stream())
                    .write_head(again, message_framing::of_length(0), {}, limit, why);
            }
            e.respond(head, std::to_string(total), limit, why);
            return;
        case target_behavior::never_respond:
            m_connection_closed.reset();
            {
                connection_watch watch(e.stream(), [this] { m_connection_closed.set(); });
                m_connection_closed.wait_for(10s);
            }
            break;
        case target_behavior::large_response:
            e.respond(head, std::string(large, 'x'), limit, why);
            return;
        case target_behavior::truncate_large_response:
            e.begin(head, large, std::string(large / 2, 'x'), limit, why);
            break;
        }
        e.close_after();
        e.stream().close();
    }

    target_behavior m_behavior = target_behavior::respond_with_size;
    int m_runs = 0;
    unsigned short m_declined_port = 0; ///< the owner's, of the connection with the refusal
    fiber_event
        m_connection_closed; ///< the owner closed the connection of a request without a response
    http_server m_server;
    fiber_group m_exiting;
};

config::snapshot_ptr make_config(int targets)
{
    auto config = std::make_shared<config::snapshot>();
    config->m_version = 1;
    const config::route base{.m_account = "a", .m_service = "s", .m_deadline = 2s};
    for (const char* name : {"get", "post", "late", "upload"}) {
        config::route route = base;
        route.m_name = name;
        route.m_path_prefix = "/" + std::string(name);
        route.m_method = "*";
        route.m_idempotent = route.m_name == "get";
        route.m_deadline = route.m_name == "late" ? 150ms : 5000ms;
        route.m_class = route.m_name == "upload" ? config::work_class::long_work
                                                 : config::work_class::short_work;
        config->m_routes.push_back(route);
    }
    config::service service{.m_name = "s", .m_targets = {}};
    for (int i = 1; i <= targets; ++i) {
        service.m_targets.push_back({.m_name = "tŵr & " + std::to_string(i),
                                     .m_service = "s",
                                     .m_host = address_of(i),
                                     .m_port = target_port,
                                     .m_failure_domain = "d",
                                     .m_slots = 4,
                                     .m_connections = 8});
    }
    config->m_services.push_back(service);
    return config;
}

// One host: the owner side of a node and, optionally, its target.
struct host {
    host(boost::asio::io_context& io, timer_service& timers, metrics& stats, int number,
         const config::snapshot_ptr& config)
        : m_target(std::make_unique<fake_target>(io, number)),
          m_owner(io, timers, stats,
                  {.m_listen = {address_of(number), owner_port},
                   .m_incarnation = 7,
                   .m_max_buffered_bytes_per_request = buffered_body::min_bytes,
                   .m_admission = {.m_slow_start = false}},
                  {.m_config = [config] { return config; },
                   .m_is_draining = [this](const std::string&) { return m_draining; },
                   .m_on_request_started = [] {},
                   .m_on_request_ended = [] {}})
    {
        m_owner.apply(*config);
        reason why;
        BOOST_REQUIRE_MESSAGE(m_owner.start(why), why.m_text);
    }

    void stop_owner()
    {
        m_owner.server().close_listener();
        m_owner.server().abort();
        m_owner.server().wait();
    }

    bool m_draining = false;
    std::unique_ptr<fake_target> m_target;
    owner_service m_owner;
};

struct caller_response {
    unsigned m_status = 0;
    std::string m_outcome;
    std::string m_reason;
    std::string m_body;
    bool m_is_complete = false;
};

class mesh {
public:
    // `in_turn`: the choice of the owner does not depend on draws and measured times; the first
    // call goes to the first one.
    mesh(boost::asio::io_context& io, int targets, bool in_turn = false)
        : m_io(io), m_timers(io), m_config(make_config(targets)),
          m_entry(io, m_timers, m_stats,
                  {.m_listen = {address_of(100), caller_port},
                   .m_owner_port = owner_port,
                   .m_failure_domain = "d",
                   .m_seed = 1,
                   .m_max_buffered_bytes_per_request = buffered_body::min_bytes,
                   // A wide resend window, so that the result does not depend on the speed of the
                   // machine.
                   .m_routing = {.m_power_of_two = !in_turn,
                                 .m_hedging = false,
                                 .m_resend_window = std::chrono::hours(1)}},
                  {.m_config = [this] { return m_config; },
                   .m_is_alive = [](const std::string&) { return true; },
                   .m_is_host = [](const std::string&) { return true; },
                   .m_on_request_started = [] {},
                   .m_on_request_ended = [] {}})
    {
        for (int i = 1; i <= targets; ++i) {
            m_hosts.push_back(std::make_unique<host>(io, m_timers, m_stats, i, m_config));
        }
        reason why;
        BOOST_REQUIRE_MESSAGE(m_entry.start(why), why.m_text);
    }

    host& at(int number) { return *m_hosts[static_cast<std::size_t>(number - 1)]; }
    int total_runs() const
    {
        int total = 0;
        for (const auto& h : m_hosts) {
            total += h->m_target->m_runs;
        }
        return total;
    }

    caller_response call(http::verb method, const std::string& path, std::size_t body_bytes = 0,
                         const std::string& ticket = {})
    {
        reason why;
        const time_point limit = clock_type::now() + 10s;
        const auto c = connect(m_io, {address_of(100), caller_port}, limit, why);
        BOOST_REQUIRE_MESSAGE(c, why.m_text);
        http::header<true> head;
        head.method(method);
        head.target(path);
        if (!ticket.empty()) {
            head.set(ticket_header, ticket);
        }
        message_writer writer(c->m_stream);
        writer.write_head(head, message_framing::of_length(body_bytes),
                          std::string(body_bytes, 'b'), limit, why);
        return read_response(*c, limit);
    }

    boost::asio::io_context& m_io;
    asio_timer_service m_timers;
    metrics m_stats;
    config::snapshot_ptr m_config;
    std::vector<std::unique_ptr<host>> m_hosts;
    entry_service m_entry;

private:
    static caller_response read_response(client_connection& c, time_point limit)
    {
        response_reader reader(c.m_stream, c.m_buffer);
        reason why;
        caller_response result;
        if (!reader.read_head({.m_first_byte = limit}, why)) {
            return result;
        }
        result.m_status = reader.head().result_int();
        result.m_outcome = std::string(reader.head()[outcome_header]);
        result.m_reason = std::string(reader.head()[reason_header]);
        std::string piece;
        body_state state = reader.done() ? body_state::end : body_state::more;
        while (state == body_state::more) {
            state = reader.read_body(piece, max_piece_bytes, limit, why);
            result.m_body += piece;
        }
        result.m_is_complete = state == body_state::end;
        return result;
    }
};

void run_with_mesh(int targets, const std::function<void(mesh&)>& body, bool in_turn = false)
{
    testing::run_in_fiber([&](boost::asio::io_context& io) {
        mesh m(io, targets, in_turn);
        body(m);
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(caller_gets_the_outcome_when_every_target_fails)
{
    struct fault_case {
        const char* m_name;
        target_behavior m_behavior;
        const char* m_path;
        unsigned m_status;
        const char* m_outcome;
        const char* m_reason;
        int m_runs; ///< of both targets together
    };
    const fault_case cases[] = {
        {"good", target_behavior::respond_with_size, "/post", 200, "complete", "", 1},
        {"lost, not idempotent", target_behavior::drop_connection, "/post", 502, "unknown",
         "target-lost", 1},
        {"lost, idempotent", target_behavior::drop_connection, "/get", 502, "unknown",
         "target-lost", 2},
        {"cut answer", target_behavior::truncate_response, "/post", 502, "unknown", "short-answer",
         1},
        {"foreign answer", target_behavior::respond_to_other_request, "/post", 502, "unknown",
         "foreign-answer", 1},
        {"answer without length", target_behavior::omit_length, "/post", 502, "unknown",
         "short-answer", 1},
        {"declined", target_behavior::decline, "/post", 503, "not-run", "target-refused", 0},
        {"too slow", target_behavior::never_respond, "/late", 504, "unknown", "deadline", 1},
    };
    for (const fault_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            run_with_mesh(2, [&](mesh& m) {
                m.at(1).m_target->m_behavior = c.m_behavior;
                m.at(2).m_target->m_behavior = c.m_behavior;
                const caller_response a = m.call(http::verb::post, c.m_path, 5);
                BOOST_TEST(a.m_status == c.m_status);
                BOOST_TEST(a.m_outcome == c.m_outcome);
                BOOST_TEST(a.m_reason == c.m_reason);
                BOOST_TEST(a.m_is_complete);
                BOOST_TEST(m.total_runs() == c.m_runs);
            });
        }
    }
}

BOOST_AUTO_TEST_CASE(request_known_not_to_have_run_is_retried_at_another_owner)
{
    struct fault_case {
        const char* m_name;
        void (*m_break)(host&);
    };
    const fault_case cases[] = {
        {"the target's process is gone", [](host& h) { h.m_target.reset(); }},
        {"the owner drains", [](host& h) { h.m_draining = true; }},
        {"the owner is gone", [](host& h) { h.stop_owner(); }},
    };
    for (const fault_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            const auto body = [&](mesh& m) {
                c.m_break(m.at(1));
                for (int i = 0; i < 8; ++i) {
                    const caller_response a = m.call(http::verb::post, "/post", 5);
                    BOOST_TEST_INFO("call " << i << ": " << a.m_outcome << ", " << a.m_reason);
                    BOOST_TEST(a.m_status == 200U);
                    BOOST_TEST(a.m_body == "5");
                }
                BOOST_TEST(m.at(2).m_target->m_runs == 8);
            };
            run_with_mesh(2, body, true);
        }
    }
}

// A request that a target has declined itself has reached a target, so that sending it to another
// counts against the retry budget, which starts with one.
BOOST_AUTO_TEST_CASE(request_declined_by_its_target_is_retried_while_the_budget_lasts)
{
    const auto body = [](mesh& m) {
        m.at(1).m_target->m_behavior = target_behavior::decline;
        const caller_response first = m.call(http::verb::post, "/post", 5);
        BOOST_TEST(first.m_status == 200U);
        BOOST_TEST(first.m_body == "5");
        BOOST_TEST(m.at(2).m_target->m_runs == 1);
        for (int i = 0; i < 3; ++i) {
            const caller_response later = m.call(http::verb::post, "/post", 5);
            BOOST_TEST(later.m_status == 503U);
            BOOST_TEST(later.m_outcome == "not-run");
            BOOST_TEST(later.m_reason == "retry-refused");
        }
        BOOST_TEST(m.total_runs() == 1);
        m.at(1).m_target->m_behavior = target_behavior::respond_with_size;
        BOOST_TEST(m.call(http::verb::post, "/post", 5).m_status == 200U);
    };
    run_with_mesh(2, body, true);
}

// Targets need not say which request a response is for. A refusal that is written again must not
// tell the caller of a later request, which runs, that it has not.
BOOST_AUTO_TEST_CASE(refusal_written_again_does_not_answer_a_later_request)
{
    run_with_mesh(1, [](mesh& m) {
        m.at(1).m_target->m_behavior = target_behavior::decline_once_more;
        BOOST_TEST(m.call(http::verb::post, "/post", 5).m_outcome == "not-run");
        const caller_response later = m.call(http::verb::post, "/post", 5);
        BOOST_TEST(later.m_status == 200U);
        BOOST_TEST(m.total_runs() == 1);
    });
}

// A slow host reads the request and the end of its connection at once.
BOOST_AUTO_TEST_CASE(request_of_a_caller_that_has_left_is_not_sent_on)
{
    struct caller_case {
        std::string m_address;
        std::uint16_t m_port;
    };
    for (const caller_case& c : {caller_case{address_of(1), owner_port}, // an entry
                                 caller_case{address_of(100), caller_port}}) {
        run_with_mesh(1, [&c](mesh& m) {
            BOOST_TEST(m.call(http::verb::get, "/get").m_status == 200U); // leaves idle connections
            {
                boost::asio::ip::tcp::socket caller(m.m_io);
                caller.connect({boost::asio::ip::make_address(c.m_address), c.m_port});
                boost::asio::write(caller, boost::asio::buffer("GET /get HTTP/1.1\r\n" +
                                                               std::string(target_header) +
                                                               ": tŵr & 1\r\n\r\n"));
            }
            sleep_for(100ms);
            BOOST_TEST(m.at(1).m_target->m_runs == 1);
        });
    }
}

BOOST_AUTO_TEST_CASE(large_bodies_are_streamed_in_both_directions)
{
    run_with_mesh(1, [](mesh& m) {
        const std::size_t large = 8UL * 1024 * 1024;
        const caller_response up = m.call(http::verb::put, "/upload", large);
        BOOST_TEST(up.m_status == 200U);
        BOOST_TEST(up.m_body == std::to_string(large));
        m.at(1).m_target->m_behavior = target_behavior::large_response;
        const caller_response down = m.call(http::verb::get, "/get");
        BOOST_TEST(down.m_is_complete);
        BOOST_TEST(down.m_body.size() == 1'000'000U);
    });
}

BOOST_AUTO_TEST_CASE(large_upload_refused_before_its_body_is_sent_completely_to_another_owner)
{
    run_with_mesh(2, [](mesh& m) {
        m.at(1).m_draining = true;
        const std::size_t large = 1024UL * 1024;
        for (int i = 0; i < 4; ++i) {
            const caller_response up = m.call(http::verb::put, "/upload", large);
            BOOST_TEST(up.m_status == 200U);
            BOOST_TEST(up.m_body == std::to_string(large));
        }
    });
}

BOOST_AUTO_TEST_CASE(response_truncated_after_its_start_is_never_complete)
{
    run_with_mesh(1, [](mesh& m) {
        m.at(1).m_target->m_behavior = target_behavior::truncate_large_response;
        const caller_response a = m.call(http::verb::get, "/get");
        BOOST_TEST(!a.m_is_complete);
    });
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_the_request_at_the_target)
{
    run_with_mesh(1, [](mesh& m) {
        m.at(1).m_target->m_behavior = target_behavior::never_respond;
        reason why;
        auto c = connect(m.m_io, {address_of(100), caller_port}, clock_type::now() + 5s, why);
        http::header<true> head;
        head.method(http::verb::post);
        head.target("/post");
        message_writer(c->m_stream)
            .write_head(head, message_framing::of_length(0), {}, clock_type::now() + 5s, why);
        while (m.total_runs() == 0) {
            sleep_for(1ms);
        }
        c.reset();
        BOOST_TEST(m.at(1).m_target->m_connection_closed.wait_for(5s));
    });
}

BOOST_AUTO_TEST_CASE(request_that_crashes_targets_crashes_at_most_two)
{
    run_with_mesh(4, [](mesh& m) {
        for (int i = 1; i <= 4; ++i) {
            m.at(i).m_target->m_behavior = target_behavior::exit_process;
        }
        for (int i = 0; i < 6; ++i) {
            BOOST_TEST(m.call(http::verb::get, "/get?crash").m_status != 200U);
        }
        BOOST_TEST(m.total_runs() == 2);
        // Another request is served by the remaining targets.
        for (int i = 1; i <= 4; ++i) {
            m.at(i).m_target->m_behavior = target_behavior::respond_with_size;
        }
        const caller_response other = m.call(http::verb::get, "/get");
        BOOST_TEST_CONTEXT(other.m_reason)
        {
            BOOST_TEST(other.m_status == 200U);
        }
    });
}

BOOST_AUTO_TEST_CASE(retries_after_draining_owners_use_no_resend_budget)
{
    run_with_mesh(2, [](mesh& m) {
        m.at(1).m_draining = true;
        m.at(2).m_target->m_behavior = target_behavior::decline;
        for (int i = 0; i < 100; ++i) {
            BOOST_TEST(m.call(http::verb::post, "/post", 1).m_outcome == "not-run");
        }
        // No success has earned a resend, and yet each request reaches the owner that is not
        // draining.
        m.at(2).m_target->m_behavior = target_behavior::respond_with_size;
        for (int i = 0; i < 100; ++i) {
            BOOST_TEST(m.call(http::verb::post, "/post", 1).m_status == 200U);
        }
    });
}

BOOST_AUTO_TEST_CASE(request_with_a_ticket_runs_once_however_often_it_is_sent)
{
    run_with_mesh(2, [](mesh& m) {
        const caller_response ticket = m.call(http::verb::post, "/.pomelohead/ticket?path=/post");
        BOOST_REQUIRE(ticket.m_status == 200U);
        const std::string text = ticket.m_body.substr(0, ticket.m_body.find('\n'));
        for (int i = 0; i < 5; ++i) {
            const caller_response a = m.call(http::verb::post, "/post", 3, text);
            BOOST_TEST(a.m_status == 200U);
            BOOST_TEST(a.m_body == "3");
        }
        BOOST_TEST(m.total_runs() == 1);
        const caller_response other = m.call(http::verb::post, "/post", 4, text);
        BOOST_TEST(other.m_reason == "ticket-reused");
        BOOST_TEST(m.total_runs() == 1);
    });
}

BOOST_AUTO_TEST_CASE(ticket_of_a_replaced_or_stopped_owner_has_unknown_outcome)
{
    run_with_mesh(2, [](mesh& m) {
        const std::string earlier_incarnation_ticket =
            outcome::to_text({.m_address = address_of(1),
                              .m_incarnation = 6,
                              .m_serial = 1,
                              .m_nonce = 1,
                              .m_target = m.m_config->m_services[0].m_targets[0].m_name});
        const caller_response replaced =
            m.call(http::verb::post, "/post", 3, earlier_incarnation_ticket);
        BOOST_TEST(replaced.m_outcome == "unknown");
        m.at(1).stop_owner();
        const caller_response gone =
            m.call(http::verb::post, "/post", 3, earlier_incarnation_ticket);
        BOOST_TEST(gone.m_outcome == "unknown");
        BOOST_TEST(m.total_runs() == 0);
    });
}

BOOST_AUTO_TEST_CASE(out_of_range_requests_are_refused_as_not_run)
{
    run_with_mesh(1, [](mesh& m) {
        struct bound_case {
            const char* m_path;
            const char* m_header;
            const char* m_value;
            std::uint64_t m_body_bytes;
            unsigned m_status;
        };
        const bound_case cases[] = {
            {"/nowhere", "X-Any", "1", 0, 404},
            {"/post", "Pomelohead-Deadline-Ms", "soon", 0, 400},
            {"/post", "Pomelohead-Deadline-Ms", "0", 0, 400},
            {"/post", "Pomelohead-Depth", "-1", 0, 400},
            {"/post", "Pomelohead-Ticket", "1/nonsense", 0, 400},
            {"/post", "Pomelohead-Request-Id", "two words", 0, 400},
            {"/post", "X-Any", "1", 9'000'000'000, 413},
        };
        for (const bound_case& c : cases) {
            BOOST_TEST_CONTEXT(c.m_header << ": " << c.m_value)
            {
                reason why;
                const time_point limit = clock_type::now() + 5s;
                const auto connection = connect(m.m_io, {address_of(100), caller_port}, limit, why);
                http::header<true> head;
                head.method(http::verb::post);
                head.target(c.m_path);
                head.set(c.m_header, c.m_value);
                message_writer(connection->m_stream)
                    .write_head(head, message_framing::of_length(c.m_body_bytes), {}, limit, why);
                response_reader reader(connection->m_stream, connection->m_buffer);
                BOOST_REQUIRE_MESSAGE(reader.read_head({.m_first_byte = limit}, why), why.m_text);
                BOOST_TEST(reader.head().result_int() == c.m_status);
                BOOST_TEST(reader.head()[outcome_header] == "not-run");
            }
        }
        BOOST_TEST(m.total_runs() == 0);
    });
}

} // namespace pomelohead::forwarding
