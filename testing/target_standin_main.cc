// A stand-in for one target.
//
// It runs the requests it receives, within its slots, and answers with an echo: a JSON
// object with the request's id and its body's size and hash, or as many bytes as
// asked, which repeat the id. A run begins when the request's header has come.
// Request headers: X-Work-Ms, X-Answer-Bytes, X-Short-Answer, X-Crash,
// Pomelohead-Deadline-Ms. For tests: GET /standin/runs, GET /standin/stats,
// POST /standin/control. The target's own reports: GET /health, GET /load.
#include "testing/body_hash.h"
#include "testing/fiber_net.h"
#include "testing/target_model.h"

#include <CLI/CLI.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <iostream>
#include <set>
#include <sstream>

namespace pomelohead::testing {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using json = nlohmann::json;
using body_parser = http::request_parser<http::buffer_body>;
using request_header = http::request_header<>;

constexpr std::size_t chunk_bytes = 64UL * 1024UL;
constexpr std::uint32_t header_limit_bytes = 64U * 1024U;
constexpr int crash_exit_code = 77;
constexpr milliseconds linger_limit{2000};

std::optional<double> number_header(const request_header& header, std::string_view name)
{
    const auto it = header.find(name);
    double value = 0;
    if (it == header.end()) {
        return std::nullopt;
    }
    const std::string_view text = it->value();
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

std::string text_header(const request_header& header, std::string_view name)
{
    const auto it = header.find(name);
    return it == header.end() ? std::string() : std::string(it->value());
}

// The file to which each run's id and time is appended as it begins.
class runs_file {
public:
    explicit runs_file(const std::string& path)
        : m_descriptor(path.empty() ? -1
                                    : ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644))
    {
    }
    runs_file(const runs_file&) = delete;
    runs_file& operator=(const runs_file&) = delete;
    ~runs_file()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }

    void append(const std::string& id) const
    {
        if (m_descriptor < 0) {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const std::string line =
            id + " " + std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + "\n";
        if (::write(m_descriptor, line.data(), line.size()) < 0) {
            std::perror("target_standin: runs file");
        }
    }

private:
    int m_descriptor;
};

// The answer to one request, before it is put on the wire.
struct answer {
    http::response_header<> m_header;
    std::string m_pattern;     ///< the body repeats it
    std::uint64_t m_bytes = 0; ///< of the whole body
    bool m_short = false;      ///< stops half-way and closes
    bool m_close = false;      ///< closes after the answer
};

answer make_answer(http::status status, std::string body)
{
    answer result;
    result.m_header.version(11);
    result.m_header.result(status);
    result.m_bytes = body.size();
    result.m_pattern = std::move(body);
    return result;
}

class target {
public:
    target(boost::asio::io_context& io, target_options options, const std::string& address,
           std::uint16_t port, milliseconds connection_cost, const std::string& runs_path)
        : m_io(io), m_connection_cost(connection_cost), m_runs_file(runs_path),
          m_model(std::move(options), clock_type::now()),
          m_server(io, address, port, [this](tcp::socket& socket) { serve(socket); })
    {
    }

    void run()
    {
        on_stop_signal(m_io, [this] { stop(); });
        m_server.run();
    }

private:
    // Finishes running requests and accepts no new ones.
    void stop()
    {
        m_stopping = true;
        m_model.drain(clock_type::now());
        m_server.stop();
        for (tcp::socket* socket : m_idle) {
            error_code ignored;
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
    }

    void serve(tcp::socket& socket)
    {
        if (m_connection_cost.count() > 0) {
            pause_until(m_io, clock_type::now() + m_connection_cost);
        }
        m_connections_opened += 1;
        bool counted = false;
        beast::flat_buffer buffer(header_limit_bytes + chunk_bytes);
        while (!m_stopping) {
            body_parser parser;
            parser.header_limit(header_limit_bytes);
            parser.body_limit(boost::none);
            if (!read_header(socket, buffer, parser)) {
                break;
            }
            const bool is_test = std::string_view(parser.get().target()).starts_with("/standin/");
            if (!is_test && !counted) {
                counted = true;
                m_working_connections += 1;
            }
            if (counted && m_working_connections > m_model.options().m_connections) {
                m_connections_over_limit += 1;
                break;
            }
            if (!(is_test ? serve_test(socket, buffer, parser)
                          : serve_work(socket, buffer, parser))) {
                break;
            }
        }
        m_working_connections -= counted ? 1 : 0;
    }

    bool read_header(tcp::socket& socket, beast::flat_buffer& buffer, body_parser& parser)
    {
        m_idle.insert(&socket);
        const auto [error, size] = await<error_code, std::size_t>([&](auto handler) {
            http::async_read_header(socket, buffer, parser, std::move(handler));
        });
        m_idle.erase(&socket);
        return !error;
    }

    // Reads the body in pieces. False: it was cut.
    static bool read_body(tcp::socket& socket, beast::flat_buffer& buffer, body_parser& parser,
                          const std::function<void(std::string_view)>& take)
    {
        std::vector<char> chunk;
        while (!parser.is_done()) {
            chunk.resize(chunk_bytes);
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            const auto [error, size] = await<error_code, std::size_t>([&](auto handler) {
                http::async_read(socket, buffer, parser, std::move(handler));
            });
            if (error && error != http::error::need_buffer) {
                return false;
            }
            take({chunk.data(), chunk.size() - parser.get().body().size});
        }
        return true;
    }

    bool serve_test(tcp::socket& socket, beast::flat_buffer& buffer, body_parser& parser)
    {
        std::string body;
        if (!read_body(socket, buffer, parser,
                       [&](std::string_view piece) { body.append(piece); })) {
            return false;
        }
        const std::string_view path = parser.get().target();
        answer result = make_answer(http::status::not_found, "");
        if (path == "/standin/runs") {
            result = make_answer(http::status::ok, json(m_model.runs()).dump());
        }
        else if (path == "/standin/stats") {
            json stats = m_model.stats();
            stats["connections"] = m_working_connections;
            stats["connections_opened"] = m_connections_opened;
            stats["connections_over_limit"] = m_connections_over_limit;
            result = make_answer(http::status::ok, stats.dump());
        }
        else if (path == "/standin/control") {
            const auto fault =
                m_model.control(json::parse(body, nullptr, false), clock_type::now());
            result = make_answer(fault ? http::status::bad_request : http::status::ok,
                                 fault.value_or("{}"));
        }
        return write(socket, parser.get().keep_alive(), result);
    }

    bool serve_work(tcp::socket& socket, beast::flat_buffer& buffer, body_parser& parser)
    {
        const request_header& header = parser.get().base();
        const std::string_view path = header.target();
        if (path == "/health" || path == "/load") {
            const json report = path == "/health" ? m_model.health(clock_type::now())
                                                  : m_model.load(clock_type::now());
            return write(socket, parser.get().keep_alive(),
                         make_answer(http::status::ok, report.dump()));
        }
        const std::string id = text_header(header, "Pomelohead-Request-Id");
        std::optional<milliseconds> left;
        if (const auto value = number_header(header, "Pomelohead-Deadline-Ms")) {
            left = milliseconds(static_cast<std::int64_t>(*value));
        }
        const time_point began = clock_type::now();
        const target_answer admission_result = m_model.begin(id, left, began);
        if (admission_result != target_answer::run) {
            return refuse(socket, parser, admission_result);
        }
        m_runs_file.append(id);
        if (header.find("X-Crash") != header.end()) {
            ::_exit(crash_exit_code);
        }
        run_end how = run_end::finished;
        answer result =
            work(socket, buffer, parser, id, left ? began + *left : time_point::max(), how);
        m_model.end(how, clock_type::now());
        if (how == run_end::cut || how == run_end::cancelled) {
            return false;
        }
        return write(socket, parser.get().keep_alive(), std::move(result));
    }

    answer work(tcp::socket& socket, beast::flat_buffer& buffer, body_parser& parser,
                const std::string& id, time_point deadline, run_end& how)
    {
        const request_header& header = parser.get().base();
        body_hash hash;
        if (!read_body(socket, buffer, parser, [&](std::string_view piece) { hash.add(piece); })) {
            how = run_end::cut;
            return {};
        }
        const time_point now = clock_type::now();
        const time_point done = now + m_model.work_time(number_header(header, "X-Work-Ms"), now);
        const time_point end = std::min(done, deadline);
        if (end > now && connection_wait(socket).until(end) == wait_end::peer_closed) {
            how = run_end::cancelled;
            return {};
        }
        if (deadline < done) {
            how = run_end::deadline;
            return make_answer(http::status::gateway_timeout, "deadline passed during the run\n");
        }
        return echo(header, id, hash);
    }

    answer echo(const request_header& header, const std::string& id, const body_hash& hash)
    {
        answer result;
        if (const auto bytes = number_header(header, "X-Answer-Bytes")) {
            result = make_answer(http::status::ok, id + "\n");
            result.m_bytes = static_cast<std::uint64_t>(*bytes);
            result.m_header.set(http::field::content_type, "text/plain");
        }
        else {
            const json body = {{"request_id", id},
                               {"target", m_model.options().m_name},
                               {"bytes", hash.bytes()},
                               {"hash", hash.text()}};
            result = make_answer(http::status::ok, body.dump());
            result.m_header.set(http::field::content_type, "application/json");
        }
        result.m_header.set("Pomelohead-Request-Id", id);
        result.m_short = header.find("X-Short-Answer") != header.end();
        return result;
    }

    static bool refuse(tcp::socket& socket, body_parser& parser, target_answer why)
    {
        static const std::map<target_answer, std::string> texts = {
            {target_answer::no_slot, "no free slot\n"},
            {target_answer::draining, "draining\n"},
            {target_answer::shedding, "shedding load\n"},
            {target_answer::too_late, "no time left\n"}};
        answer result = make_answer(http::status::service_unavailable, texts.at(why));
        result.m_header.set("Pomelohead-Not-Run", "true");
        result.m_close = !parser.is_done();
        const bool keep = write(socket, parser.get().keep_alive(), std::move(result));
        if (!parser.is_done()) {
            linger(socket);
        }
        return keep;
    }

    // Returns whether the connection can take another request.
    static bool write(tcp::socket& socket, bool keep_alive, answer what)
    {
        const bool keep = keep_alive && !what.m_close && !what.m_short;
        what.m_header.set(http::field::content_length, std::to_string(what.m_bytes));
        if (!keep) {
            what.m_header.set(http::field::connection, "close");
        }
        std::ostringstream head;
        head << what.m_header;
        std::uint64_t left = what.m_short ? what.m_bytes / 2 : what.m_bytes;
        std::string piece = head.str();
        append_body(piece, what, 0, left);
        std::uint64_t sent = std::min<std::uint64_t>(left, chunk_bytes);
        for (;;) {
            const auto [error, size] = await<error_code, std::size_t>([&](auto handler) {
                boost::asio::async_write(socket, boost::asio::buffer(piece), std::move(handler));
            });
            if (error) {
                return false;
            }
            if (sent == left) {
                return keep;
            }
            piece.clear();
            append_body(piece, what, sent, left);
            sent = std::min<std::uint64_t>(left, sent + chunk_bytes);
        }
    }

    // Appends at most one chunk of the body, from `offset` on.
    static void append_body(std::string& out, const answer& what, std::uint64_t offset,
                            std::uint64_t end)
    {
        const std::uint64_t stop = std::min(end, offset + chunk_bytes);
        const std::size_t period = what.m_pattern.size();
        while (offset < stop) {
            const std::uint64_t begin = offset % period;
            const std::uint64_t size = std::min<std::uint64_t>(period - begin, stop - offset);
            out.append(what.m_pattern, begin, size);
            offset += size;
        }
    }

    // Reads on until the peer has read the answer and closes: closing with bytes
    // unread would reset the connection and could destroy the answer on its way.
    static void linger(tcp::socket& socket)
    {
        error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        boost::asio::steady_timer timer(socket.get_executor(), linger_limit);
        timer.async_wait([&socket](error_code error) {
            if (!error) {
                error_code closed;
                socket.shutdown(tcp::socket::shutdown_both, closed);
            }
        });
        std::array<char, 4096> bytes{};
        error_code error;
        while (!error) {
            std::tie(error, std::ignore) = await<error_code, std::size_t>([&](auto handler) {
                socket.async_read_some(boost::asio::buffer(bytes), std::move(handler));
            });
        }
    }

    boost::asio::io_context& m_io;
    milliseconds m_connection_cost;
    runs_file m_runs_file;
    target_model m_model;
    std::set<tcp::socket*> m_idle; ///< connections that wait for a request
    std::uint32_t m_working_connections = 0;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_connections_over_limit = 0;
    bool m_stopping = false;
    fiber_server m_server;
};

} // namespace
} // namespace pomelohead::testing

int main(int argc, char** argv)
{
    using pomelohead::testing::target_options;
    CLI::App app{"Stand-in for a target"};
    target_options options;
    std::string address = "127.0.0.1";
    std::uint16_t port = 7100;
    std::int64_t connection_cost_ms = 1;
    std::int64_t cold_ms = 0;
    std::int64_t report_lag_ms = 0;
    std::string runs_path;
    app.add_option("--name", options.m_name);
    app.add_option("--address", address);
    app.add_option("--port", port);
    app.add_option("--slots", options.m_slots);
    app.add_option("--connections", options.m_connections);
    app.add_option("--connection-cost-ms", connection_cost_ms);
    app.add_option("--work-mean-ms", options.m_work_mean_ms);
    app.add_flag("--exponential-work", options.m_exponential_work);
    app.add_option("--seed", options.m_seed);
    app.add_option("--cold-factor", options.m_cold_factor);
    app.add_option("--cold-ms", cold_ms);
    app.add_option("--report-lag-ms", report_lag_ms);
    app.add_option("--runs-file", runs_path, "each run's id and time is appended as it begins");
    CLI11_PARSE(app, argc, argv);
    options.m_cold_length = std::chrono::milliseconds(cold_ms);
    options.m_report_lag = std::chrono::milliseconds(report_lag_ms);
    try {
        boost::asio::io_context& io = pomelohead::install_fiber_scheduler();
        pomelohead::testing::target target(
            io, options, address, port, std::chrono::milliseconds(connection_cost_ms), runs_path);
        target.run();
    }
    catch (const std::exception& error) {
        std::cerr << "target_standin: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
