// Sends a plan's requests and checks the answers. The plan is a JSON file
// (load_plan.h); the summary is one JSON object on standard output.
//
// Latencies count from the intended arrival, so that a late driver or a full
// entry is seen in them (no coordinated omission). An answer is whole where it
// echoes the request's id and its body's size and hash.
#include "testing/body_hash.h"
#include "testing/fiber_net.h"
#include "testing/load_plan.h"

#include <CLI/CLI.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace pomelohead::testing {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using json = nlohmann::json;
using socket_ptr = std::shared_ptr<tcp::socket>;
using answer_parser = http::response_parser<http::string_body>;

constexpr std::uint64_t max_answer_bytes = 256UL * 1024UL * 1024UL;
constexpr std::size_t body_piece_bytes = 64UL * 1024UL;
constexpr milliseconds trickle_interval{100};

using seconds_real = std::chrono::duration<double>;

// How one request ended, for its caller.
struct result {
    std::string m_outcome; // complete, not-run, unknown, timeout, lost, short,
                           // not-connected, no-ticket
    unsigned m_status = 0;
    bool m_foreign = false;
    std::string m_reason;
    std::string m_target;
};

struct kind_summary {
    std::uint64_t m_sent = 0;
    std::uint64_t m_foreign = 0;
    std::uint64_t m_resent = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_statuses;
    std::vector<double> m_complete_ms;
    std::vector<double> m_other_ms;
};

json percentiles(std::vector<double> values)
{
    if (values.empty()) {
        return nullptr;
    }
    std::ranges::sort(values);
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"p999", at(0.999)}, {"max", values.back()}};
}

std::string header(const answer_parser& parser, std::string_view name)
{
    const auto it = parser.get().find(name);
    return it == parser.get().end() ? std::string() : std::string(it->value());
}

// A body of repeated id, in pieces, so that a mixed-up body is seen.
std::string body_piece(const std::string& id, std::size_t bytes)
{
    std::string piece;
    piece.reserve(bytes + id.size());
    while (piece.size() < bytes) {
        piece += id;
    }
    piece.resize(bytes);
    return piece;
}

class driver {
public:
    driver(boost::asio::io_context& io, const load_plan& plan) : m_io(io), m_plan(plan)
    {
        for (const std::string& entry : plan.m_entries) {
            const std::size_t colon = entry.rfind(':');
            m_entries.push_back(
                {tcp::endpoint(boost::asio::ip::make_address(entry.substr(0, colon)),
                               static_cast<std::uint16_t>(std::stoi(entry.substr(colon + 1)))),
                 {}});
        }
        if (!plan.m_records.empty()) {
            m_records.open(plan.m_records);
        }
        m_summaries.resize(plan.m_mix.size());
    }

    json run()
    {
        arrival_process arrivals(m_plan);
        m_begin = clock_type::now();
        std::uint64_t number = 0;
        while (const std::optional<arrival> next = arrivals.next()) {
            const time_point due =
                m_begin + std::chrono::duration_cast<duration>(seconds_real(next->m_at_s));
            if (due > clock_type::now()) {
                pause_until(m_io, due);
            }
            m_send_delay_ms.push_back(elapsed_ms(due));
            m_fibers.spawn([this, arrived = *next, due, id = ++number] {
                send(arrived, due, m_plan.m_id_prefix + "-" + std::to_string(id));
            });
        }
        m_fibers.wait();
        return summary();
    }

private:
    struct entry {
        tcp::endpoint m_endpoint;
        std::vector<socket_ptr> m_idle;
    };

    static double elapsed_ms(time_point from)
    {
        return std::chrono::duration<double, std::milli>(clock_type::now() - from).count();
    }

    void send(const arrival& arrived, time_point due, const std::string& id)
    {
        const request_kind& kind = m_plan.m_mix[arrived.m_kind];
        kind_summary& totals = m_summaries[arrived.m_kind];
        totals.m_sent += 1;
        result last{.m_outcome = "no-ticket"};
        const std::string ticket =
            kind.m_ticket ? request_ticket(m_entries[arrived.m_entry], kind) : "";
        const std::string head = request_head(kind, arrived, id, ticket);
        const std::uint32_t attempts = kind.m_ticket && ticket.empty() ? 0 : 1 + kind.m_resends;
        for (std::uint32_t attempt = 0; attempt < attempts; ++attempt) {
            totals.m_resent += attempt > 0 ? 1 : 0;
            last =
                exchange(m_entries[(arrived.m_entry + attempt) % m_entries.size()], kind, head, id);
            if (last.m_outcome != "timeout" && last.m_outcome != "lost") {
                break;
            }
        }
        const double latency_ms = elapsed_ms(due);
        const bool complete = last.m_outcome == "complete" && last.m_status < 300;
        (complete ? totals.m_complete_ms : totals.m_other_ms).push_back(latency_ms);
        totals.m_outcomes[last.m_outcome] += 1;
        totals.m_statuses[std::to_string(last.m_status)] += 1;
        totals.m_foreign += last.m_foreign ? 1 : 0;
        if (m_records.is_open()) {
            m_records << json{{"id", id},
                              {"kind", kind.m_name},
                              {"at_s", arrived.m_at_s},
                              {"entry", m_plan.m_entries[arrived.m_entry]},
                              {"latency_ms", latency_ms},
                              {"outcome", last.m_outcome},
                              {"status", last.m_status},
                              {"foreign", last.m_foreign},
                              {"reason", last.m_reason},
                              {"target", last.m_target}}
                             .dump()
                      << "\n";
        }
    }

    // An idle connection that the peer has not closed, or a new one; null: none.
    socket_ptr connection(entry& to)
    {
        while (!to.m_idle.empty()) {
            socket_ptr idle = to.m_idle.back();
            to.m_idle.pop_back();
            error_code error;
            std::array<char, 1> byte{};
            idle->non_blocking(true, error);
            idle->receive(boost::asio::buffer(byte), tcp::socket::message_peek, error);
            if (error == boost::asio::error::would_block) {
                return idle;
            }
        }
        auto fresh = std::make_shared<tcp::socket>(m_io);
        m_connections += 1;
        const auto [error] = await<error_code>(
            [&](auto handler) { fresh->async_connect(to.m_endpoint, std::move(handler)); });
        if (error) {
            return nullptr;
        }
        error_code ignored;
        fresh->set_option(tcp::no_delay(true), ignored);
        return fresh;
    }

    result exchange(entry& to, const request_kind& kind, const std::string& head,
                    const std::string& id)
    {
        body_hash hash;
        answer_parser parser;
        const std::string failure = send_and_receive(to, kind, head, id, hash, parser);
        return failure.empty() ? classify_answer(parser, kind, id, hash)
                               : result{.m_outcome = failure};
    }

    // A ticket's text; empty where the entry gives none.
    std::string request_ticket(entry& to, const request_kind& kind)
    {
        const request_kind no_body;
        body_hash hash;
        answer_parser parser;
        const std::string head = "POST /.pomelohead/ticket?path=" + kind.m_path +
                                 "&method=" + kind.m_method +
                                 " HTTP/1.1\r\nHost: load\r\nContent-Length: 0\r\n\r\n";
        const std::string failure = send_and_receive(to, no_body, head, "", hash, parser);
        return failure.empty() ? header(parser, "Pomelohead-Ticket") : "";
    }

    // Sends a request and reads an answer. Returns the outcome where there is none.
    std::string send_and_receive(entry& to, const request_kind& kind, const std::string& head,
                                 const std::string& id, body_hash& hash, answer_parser& parser)
    {
        const socket_ptr socket = connection(to);
        if (!socket) {
            return "not-connected";
        }
        const auto expired = std::make_shared<bool>(false);
        boost::asio::steady_timer timer(m_io, milliseconds(m_plan.m_timeout_ms));
        timer.async_wait([socket, expired](error_code error) {
            if (!error) {
                *expired = true;
                socket->shutdown(tcp::socket::shutdown_both, error);
            }
        });
        write(*socket, head, kind, id, hash);
        beast::flat_buffer buffer;
        parser.body_limit(max_answer_bytes);
        const auto [error, size] = await<error_code, std::size_t>(
            [&](auto handler) { http::async_read(*socket, buffer, parser, std::move(handler)); });
        if (*expired) {
            return "timeout";
        }
        if (error) {
            return parser.is_header_done() ? "short" : "lost";
        }
        if (parser.get().keep_alive()) {
            to.m_idle.push_back(socket);
        }
        return "";
    }

    static std::string request_head(const request_kind& kind, const arrival& arrived,
                                    const std::string& id, const std::string& ticket)
    {
        std::ostringstream head;
        head << kind.m_method << " " << kind.m_path << " HTTP/1.1\r\nHost: load\r\n"
             << "Pomelohead-Request-Id: " << id << "\r\n";
        for (const auto& [name, value] : kind.m_headers) {
            head << name << ": " << value << "\r\n";
        }
        if (arrived.m_work_ms) {
            head << "X-Work-Ms: " << *arrived.m_work_ms << "\r\n";
        }
        if (!ticket.empty()) {
            head << "Pomelohead-Ticket: " << ticket << "\r\n";
        }
        if (kind.m_body_bytes > 0) {
            head << "Content-Length: " << kind.m_body_bytes << "\r\n";
        }
        head << "\r\n";
        return head.str();
    }

    // A write that fails is not the end: the answer may already have come.
    void write(tcp::socket& socket, std::string out, const request_kind& kind,
               const std::string& id, body_hash& hash)
    {
        std::size_t piece_bytes = body_piece_bytes;
        if (kind.m_trickle_bytes_per_s > 0) {
            piece_bytes = std::max<std::size_t>(1, kind.m_trickle_bytes_per_s *
                                                       trickle_interval.count() / 1000);
        }
        error_code error;
        while (!error && !out.empty()) {
            std::tie(error, std::ignore) = await<error_code, std::size_t>([&](auto handler) {
                boost::asio::async_write(socket, boost::asio::buffer(out), std::move(handler));
            });
            out.clear();
            if (hash.bytes() < kind.m_body_bytes) {
                if (kind.m_trickle_bytes_per_s > 0) {
                    pause_until(m_io, clock_type::now() + trickle_interval);
                }
                out = body_piece(
                    id, std::min<std::uint64_t>(piece_bytes, kind.m_body_bytes - hash.bytes()));
                hash.add(out);
            }
        }
    }

    static result classify_answer(const answer_parser& parser, const request_kind& kind,
                                  const std::string& id, const body_hash& hash)
    {
        result found{.m_outcome = header(parser, "Pomelohead-Outcome"),
                     .m_status = parser.get().result_int()};
        found.m_reason = header(parser, "Pomelohead-Reason");
        if (found.m_outcome.empty()) {
            const bool not_run = !header(parser, "Pomelohead-Not-Run").empty();
            found.m_outcome = not_run ? "not-run" : found.m_status < 300 ? "complete" : "unknown";
        }
        if (found.m_outcome != "complete" || found.m_status >= 300) {
            return found;
        }
        const std::string& body = parser.get().body();
        if (kind.m_headers.contains("X-Answer-Bytes")) {
            const std::string line = id + "\n";
            found.m_foreign = body.size() >= line.size() && !body.starts_with(line);
            return found;
        }
        const json echo = json::parse(body, nullptr, false);
        found.m_foreign = !echo.is_object() || echo.value("request_id", "") != id ||
                          echo.value("bytes", std::uint64_t{0}) != hash.bytes() ||
                          echo.value("hash", "") != hash.text();
        found.m_target = echo.is_object() ? echo.value("target", "") : "";
        return found;
    }

    json summary() const
    {
        json kinds = json::object();
        for (std::size_t i = 0; i < m_summaries.size(); ++i) {
            const kind_summary& totals = m_summaries[i];
            kinds[m_plan.m_mix[i].m_name] = {{"sent", totals.m_sent},
                                             {"resent", totals.m_resent},
                                             {"outcomes", totals.m_outcomes},
                                             {"statuses", totals.m_statuses},
                                             {"foreign", totals.m_foreign},
                                             {"complete_ms", percentiles(totals.m_complete_ms)},
                                             {"other_ms", percentiles(totals.m_other_ms)}};
        }
        return {{"kinds", kinds},
                {"elapsed_s", elapsed_ms(m_begin) / 1000},
                {"connections_opened", m_connections},
                {"late_ms", percentiles(m_send_delay_ms)}};
    }

    boost::asio::io_context& m_io;
    const load_plan& m_plan;
    std::vector<entry> m_entries;
    std::vector<kind_summary> m_summaries;
    std::vector<double> m_send_delay_ms; ///< how late the driver itself was
    std::uint64_t m_connections = 0;
    std::ofstream m_records;
    time_point m_begin;
    fiber_group m_fibers;
};

} // namespace
} // namespace pomelohead::testing

int main(int argc, char** argv)
{
    CLI::App app{"Open-loop load driver"};
    std::string path;
    app.add_option("PLAN", path, "JSON file of the plan")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        std::ifstream file(path);
        const auto plan = pomelohead::testing::read_plan(nlohmann::json::parse(file));
        pomelohead::testing::driver driver(pomelohead::install_fiber_scheduler(), plan);
        std::cout << driver.run().dump() << "\n";
    }
    catch (const std::exception& error) {
        std::cerr << "load_driver: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
