// A stand-in for the platform's configuration service and its host list.
//
// Readers:   GET /v1/values/KEY[?index=N&wait_ms=M]
// Operators: PUT /v1/values/KEY (header X-Set-Index forces the key's index),
//            POST /control, GET /stats. These are never counted or refused.
//
// It may listen at several addresses; "blocked" in a control message cuts off
// connections by the reader's address or by the address that it connected to, so
// that each failure domain can be given its own and be cut off by it.
#include "testing/configuration_store.h"
#include "testing/fiber_net.h"

#include <CLI/CLI.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <map>

namespace pomelohead::testing {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using json = nlohmann::json;
using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

constexpr std::string_view values_path = "/v1/values/";
constexpr std::uint64_t max_put_bytes = 64UL * 1024UL * 1024UL;
constexpr milliseconds default_wait{30'000};

std::uint64_t parse_number(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

// A request's path and the parameters of its query.
struct request_target {
    explicit request_target(std::string_view text)
    {
        const std::size_t mark = text.find('?');
        m_path = text.substr(0, mark);
        std::string_view rest = mark == std::string_view::npos ? "" : text.substr(mark + 1);
        while (!rest.empty()) {
            const std::string_view pair = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos) {
                m_query[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
            }
        }
    }

    std::string m_path;
    std::map<std::string, std::string> m_query;
};

std::string address_of(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string();
}

// The service at all of its listeners.
class platform {
public:
    platform(boost::asio::io_context& io, std::uint32_t rate_per_s) : m_io(io), m_store(rate_per_s)
    {
    }

    void listen(const std::string& address, std::uint16_t port)
    {
        m_servers.emplace_back(m_io, address, port, [this](tcp::socket& socket) { serve(socket); });
    }

    void run()
    {
        on_stop_signal(m_io, [this] { stop(); });
        fiber_group accepting;
        for (fiber_server& server : m_servers) {
            accepting.spawn([&server] { server.run(); });
        }
        accepting.wait();
    }

private:
    void stop()
    {
        for (fiber_server& server : m_servers) {
            server.stop();
            server.close_connections();
        }
    }

    void serve(tcp::socket& socket)
    {
        error_code error;
        const std::string caller = address_of(socket.remote_endpoint(error));
        const std::string listener = address_of(socket.local_endpoint(error));
        beast::flat_buffer buffer;
        while (!error && !m_store.is_blocked(caller, listener)) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_put_bytes);
            std::tie(error, std::ignore) = await<error_code, std::size_t>([&](auto handler) {
                http::async_read(socket, buffer, parser, std::move(handler));
            });
            if (error || m_store.is_blocked(caller, listener)) {
                return;
            }
            const request_type request = parser.release();
            std::optional<response_type> answer = handle(request, socket, caller, listener);
            if (!answer || m_store.is_blocked(caller, listener)) {
                return;
            }
            answer->keep_alive(request.keep_alive());
            if (!write(socket, *answer, is_read(request))) {
                return;
            }
        }
    }

    static bool is_read(const request_type& request)
    {
        return request.method() == http::verb::get &&
               std::string_view(request.target()).starts_with(values_path);
    }

    // Returns whether the connection can take another request.
    bool write(tcp::socket& socket, response_type& answer, bool to_reader)
    {
        answer.prepare_payload();
        if (to_reader) {
            m_store.sent(answer.body().size());
        }
        if (to_reader && m_store.mode() == service_mode::cut) {
            answer.body().resize(answer.body().size() / 2);
            answer.keep_alive(false);
        }
        const auto [error, size] = await<error_code, std::size_t>(
            [&](auto handler) { http::async_write(socket, answer, std::move(handler)); });
        return !error && answer.keep_alive();
    }

    // Nothing: the connection is to be closed without an answer.
    std::optional<response_type> handle(const request_type& request, tcp::socket& socket,
                                        const std::string& caller, const std::string& listener)
    {
        const request_target target(request.target());
        if (target.m_path.starts_with(values_path)) {
            const std::string key = target.m_path.substr(values_path.size());
            if (request.method() == http::verb::put) {
                return put(key, request);
            }
            return read(key, target, socket,
                        m_store.admit(key, caller, listener, clock_type::now()));
        }
        if (target.m_path == "/control" && request.method() == http::verb::post) {
            return control(request);
        }
        if (target.m_path == "/stats") {
            return make(http::status::ok, m_store.stats().dump());
        }
        return make(http::status::not_found, "");
    }

    response_type put(const std::string& key, const request_type& request)
    {
        const auto header = request.find("X-Set-Index");
        std::optional<std::uint64_t> index;
        if (header != request.end()) {
            index = parse_number(header->value(), 0);
        }
        const std::uint64_t stored = m_store.put(key, request.body(), index);
        wake_watches(key);
        response_type answer = make(http::status::ok, "");
        answer.set("X-Index", std::to_string(stored));
        return answer;
    }

    response_type control(const request_type& request)
    {
        const auto fault = m_store.control(json::parse(request.body(), nullptr, false));
        if (fault) {
            return make(http::status::bad_request, *fault);
        }
        for (auto& [key, wait] : m_watches) {
            wait->wake();
        }
        return make(http::status::ok, "{}");
    }

    std::optional<response_type> read(const std::string& key, const request_target& target,
                                      tcp::socket& socket, admission admitted)
    {
        switch (admitted) {
        case admission::drop:
            return std::nullopt;
        case admission::refuse_rate:
            return make(http::status::too_many_requests, "");
        case admission::answer:
            break;
        }
        bool changed = true;
        if (const auto index = target.m_query.find("index"); index != target.m_query.end()) {
            const auto limit = target.m_query.find("wait_ms");
            const milliseconds wait(limit == target.m_query.end()
                                        ? default_wait.count()
                                        : parse_number(limit->second, default_wait.count()));
            changed = watch(key, parse_number(index->second, 0), wait, socket);
        }
        if (!apply_mode_delay(socket)) {
            return std::nullopt;
        }
        return make_value_answer(key, changed);
    }

    // Waits until the key's index differs from `known`. False: it does not.
    bool watch(const std::string& key, std::uint64_t known, milliseconds limit, tcp::socket& socket)
    {
        const time_point end = clock_type::now() + limit;
        m_store.watch_began();
        wait_end ended = wait_end::woken;
        while (m_store.get(key).m_index == known && ended == wait_end::woken &&
               m_store.mode() != service_mode::down) {
            connection_wait wait(socket);
            const auto position = m_watches.emplace(key, &wait);
            ended = wait.until(end);
            m_watches.erase(position);
        }
        m_store.watch_ended();
        return m_store.get(key).m_index != known;
    }

    // Lets the mode's delay pass. False: no answer is to be given.
    bool apply_mode_delay(tcp::socket& socket)
    {
        if (m_store.mode() == service_mode::slow) {
            return connection_wait(socket).until(clock_type::now() + m_store.delay()) ==
                   wait_end::time;
        }
        while (m_store.mode() == service_mode::hang) {
            connection_wait wait(socket);
            const auto position = m_watches.emplace("", &wait);
            const wait_end ended = wait.until(time_point::max());
            m_watches.erase(position);
            if (ended == wait_end::peer_closed) {
                return false;
            }
        }
        return m_store.mode() != service_mode::down;
    }

    response_type make_value_answer(const std::string& key, bool changed)
    {
        const stored_value value = m_store.get(key);
        response_type answer = make(http::status::not_modified, "");
        answer.set("X-Index", std::to_string(value.m_index));
        if (!changed) {
            return answer;
        }
        answer.result(value.m_index == 0 ? http::status::not_found : http::status::ok);
        answer.body() = value.m_bytes;
        if (m_store.mode() == service_mode::truncate) {
            answer.body().resize(answer.body().size() / 2);
        }
        return answer;
    }

    static response_type make(http::status status, std::string body)
    {
        response_type answer{status, 11};
        answer.body() = std::move(body);
        return answer;
    }

    // A woken watch looks at its key again before any other fiber can change it.
    void wake_watches(const std::string& key)
    {
        const auto [begin, end] = m_watches.equal_range(key);
        for (auto it = begin; it != end; ++it) {
            it->second->wake();
        }
    }

    boost::asio::io_context& m_io;
    configuration_store m_store;
    std::list<fiber_server> m_servers;
    std::multimap<std::string, connection_wait*> m_watches;
};

} // namespace
} // namespace pomelohead::testing

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's configuration service"};
    std::vector<std::string> addresses{"127.0.0.1"};
    std::uint16_t port = 7500;
    std::uint32_t rate_per_s = 2000;
    app.add_option("--address", addresses, "listening addresses");
    app.add_option("--port", port);
    app.add_option("--rate", rate_per_s, "calls a second; above, readers get 429");
    CLI11_PARSE(app, argc, argv);
    try {
        boost::asio::io_context& io = pomelohead::install_fiber_scheduler();
        pomelohead::testing::platform platform(io, rate_per_s);
        for (const std::string& address : addresses) {
            platform.listen(address, port);
        }
        platform.run();
    }
    catch (const std::exception& error) {
        std::cerr << "platform_standin: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
