#include "pomelohead/node/admin_pages.h"

#include "pomelohead/forwarding/headers.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace pomelohead::node {
namespace {

using nlohmann::json;
namespace http = boost::beast::http;

constexpr duration answer_limit = std::chrono::seconds(10);
constexpr std::size_t max_admin_body_bytes = 64UL * 1024UL;

double seconds_of(duration d)
{
    return std::round(std::chrono::duration<double>(d).count() * 1000) / 1000;
}

json seconds_or_null(const std::optional<milliseconds>& d)
{
    return d ? json(seconds_of(*d)) : json(nullptr);
}

json member_json(const membership::member& item)
{
    return {{"node", item.m_node},
            {"address", item.m_address},
            {"failure_domain", item.m_failure_domain},
            {"region", item.m_region},
            {"state", membership::to_string(item.m_state)},
            {"incarnation", item.m_incarnation},
            {"version", item.m_version}};
}

json messages_json(const std::vector<distribution::message_count>& messages)
{
    json out = json::object();
    for (const distribution::message_count& line : messages) {
        out[std::string(line.m_type)] = {{"sent", line.m_sent},
                                         {"sent_bytes", line.m_sent_bytes},
                                         {"received", line.m_received},
                                         {"received_bytes", line.m_received_bytes}};
    }
    return out;
}

// Null where the service states no rate.
json warm_up_json(const admission::warm_up_limit& limit, time_point now)
{
    if (!limit.is_configured()) {
        return nullptr;
    }
    const std::optional<time_point> until = limit.limits_until(now);
    return {{"warming_up", until.has_value()},
            {"left_s", until ? seconds_of(*until - now) : 0.0},
            {"source", limit.is_stated() ? "stated" : "assumed"}};
}

json slots_json(node& n)
{
    json out = json::object();
    for (const auto& [name, target] : n.owner().targets()) {
        const admission::load_report word = target->load_report();
        out[name] = {{"slots", target->target().m_slots},
                     {"limit", target->queue().limit()},
                     {"running", target->queue().running()},
                     {"free", word.m_free},
                     {"queued", word.m_queued},
                     {"long_queued", word.m_long_queued},
                     {"draining", n.drain_sources(name)},
                     {"warm_up", warm_up_json(target->queue().warm_up(), n.timers().now())}};
    }
    return out;
}

json quarantine_json(node& n)
{
    json out = json::array();
    for (const auto& item : n.owner().quarantine().list(n.timers().now())) {
        out.push_back({{"fingerprint", item.m_fingerprint},
                       {"verdict", outcome::to_string(item.m_verdict)},
                       {"crashes", item.m_crashes},
                       {"left_s", seconds_of(item.m_time_left)}});
    }
    return out;
}

json status_json(node& n)
{
    const distribution::distribution_status s = n.distributor().status();
    json members = json::array();
    n.members().refresh();
    for (const membership::member& item : n.members().all()) {
        members.push_back(member_json(item));
    }
    json refusal = nullptr;
    if (s.m_last_refusal) {
        refusal = {{"version", s.m_last_refusal->m_version},
                   {"code", to_string(s.m_last_refusal->m_why.m_code)},
                   {"text", s.m_last_refusal->m_why.m_text}};
    }
    const settings::node_settings& own = n.settings();
    const config::snapshot_ptr config = n.current();
    return {
        {"node", own.m_node},
        {"address", own.m_listen.m_address},
        {"failure_domain", own.m_failure_domain},
        {"region", own.m_region},
        {"incarnation", s.m_incarnation},
        {"version", config ? config->m_version : s.m_version},
        {"manifest_hash", s.m_manifest_hash},
        {"heard_version", s.m_highest_claimed_version},
        {"config_age_s", seconds_or_null(s.m_config_age)},
        {"in_force_s", seconds_or_null(s.m_in_force_for)},
        {"source",
         {{"state", s.m_source.m_state},
          {"watching", s.m_source.m_watching},
          {"last_contact_s", seconds_or_null(s.m_source_contact_age)},
          {"index", s.m_source.m_index},
          {"reads", s.m_source.m_reads},
          {"last_failure", s.m_source.m_last_failure.m_text}}},
        {"last_refusal", refusal},
        {"members", members},
        {"draining", n.is_draining("")},
        {"evacuated_domains", config ? config->m_evacuated_domains : std::vector<std::string>{}},
        {"phase", lifecycle::to_string(n.shutdown().phase())},
        {"in_flight", n.shutdown().state().m_in_flight},
        {"uptime_s", seconds_of(n.uptime())},
        {"frozen_s", seconds_or_null(s.m_last_freeze)},
        {"confirmed", s.m_confirmed},
        {"superseded", s.m_superseded},
        {"links", s.m_link_count},
        {"control_bytes_sent", s.m_bytes_sent},
        {"control_bytes_received", s.m_bytes_received},
        {"source_bytes", s.m_source_bytes},
        {"messages", messages_json(s.m_messages)},
        {"slots", slots_json(n)},
        {"quarantine", quarantine_json(n)}};
}

json route_json(const config::route& route)
{
    return {{"name", route.m_name},
            {"account", route.m_account},
            {"method", route.m_method},
            {"path", route.m_path_prefix},
            {"service", route.m_service},
            {"class", config::to_string(route.m_class)},
            {"idempotent", route.m_idempotent},
            {"urgency", config::to_string(route.m_urgency)},
            {"deadline_ms", route.m_deadline.count()}};
}

json explain_json(node& n, const std::string& method, const std::string& path,
                  const std::string& host)
{
    json out = {{"route", nullptr}, {"service", nullptr}, {"targets", json::array()}};
    const config::snapshot_ptr config = n.current();
    if (!config) {
        out["why"] = "no configuration is in force yet";
        return out;
    }
    out["evacuated_domains"] = config->m_evacuated_domains;
    const config::route* route = config->find_route(method, path, host);
    if (route == nullptr) {
        out["why"] = "no route of version " + std::to_string(config->m_version) + " matches";
        return out;
    }
    out["route"] = route_json(*route);
    out["service"] = route->m_service;
    out["version"] = config->m_version;
    const routing::call_attributes call{.m_class = route->m_class,
                                        .m_urgency = route->m_urgency,
                                        .m_idempotent = route->m_idempotent};
    std::mt19937_64 random(1);
    reason why;
    const config::service& service = *config->find_service(route->m_service);
    const time_point now = n.timers().now();
    const auto chosen = n.entry().selector().choose(*config, service, call, {},
                                                    n.entry().reachable(), now, random, why);
    for (const auto& line :
         n.entry().selector().explain(*config, service, call, n.entry().reachable(), now)) {
        out["targets"].push_back({{"target", line.m_target},
                                  {"host", line.m_host},
                                  {"failure_domain", line.m_failure_domain},
                                  {"draining", line.m_draining},
                                  {"free", line.m_free},
                                  {"queued", line.m_queued},
                                  {"slow", line.m_slow},
                                  {"weight", line.m_share},
                                  {"expected_wait_ms", line.m_expected_wait_ms},
                                  {"chosen", chosen && chosen->m_name == line.m_target},
                                  {"why", line.m_why}});
    }
    out["why"] = chosen ? "one possible choice now" : why.m_text;
    return out;
}

json latency_json(node& n)
{
    json histograms = json::array();
    for (const auto& [key, histogram] : n.stats().latencies()) {
        json buckets = json::array();
        for (std::size_t i = 0; i < latency_histogram::bucket_count; ++i) {
            if (histogram.bucket(i) > 0) {
                const double bound = latency_histogram::upper_bound_ms(i);
                buckets.push_back({{"le_ms", std::isinf(bound) ? json(nullptr) : json(bound)},
                                   {"count", histogram.bucket(i)}});
            }
        }
        histograms.push_back({{"account", key.m_account},
                              {"class", key.m_class},
                              {"count", histogram.count()},
                              {"p50_ms", histogram.quantile_ms(0.5)},
                              {"p99_ms", histogram.quantile_ms(0.99)},
                              {"max_ms", histogram.max_ms()},
                              {"buckets", buckets}});
    }
    return {{"histograms", histograms}};
}

void send(forwarding::server_exchange& exchange, unsigned status, std::string_view type,
          const std::string& body)
{
    http::header<false> head;
    head.result(status);
    head.set(http::field::content_type, type);
    reason why;
    exchange.respond(head, body, clock_type::now() + answer_limit, why);
}

void send_json(forwarding::server_exchange& exchange, const json& value, unsigned status = 200)
{
    constexpr auto replace = json::error_handler_t::replace;
    send(exchange, status, "application/json", value.dump(-1, ' ', false, replace) + "\n");
}

void send_error(forwarding::server_exchange& exchange, unsigned status, const std::string& text)
{
    send_json(exchange, {{"error", text}}, status);
}

std::optional<json> read_json(forwarding::server_exchange& exchange)
{
    std::string body;
    std::string piece;
    reason why;
    auto state =
        exchange.request().done() ? forwarding::body_state::end : forwarding::body_state::more;
    while (state == forwarding::body_state::more && body.size() <= max_admin_body_bytes) {
        state = exchange.request().read_body(piece, forwarding::max_piece_bytes,
                                             clock_type::now() + answer_limit, why);
        body += piece;
    }
    json value = json::parse(body, nullptr, false);
    if (state != forwarding::body_state::end || value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

void set_testing(node& n, forwarding::server_exchange& exchange)
{
    const std::optional<json> body = read_json(exchange);
    if (!n.settings().m_testing) {
        send_error(exchange, 403, "the setting \"testing\" is off");
        return;
    }
    if (!body || !body->is_object() || !body->contains("blocked_peers") ||
        !(*body)["blocked_peers"].is_array()) {
        send_error(exchange, 400, "expected {\"blocked_peers\": [addresses]}");
        return;
    }
    std::vector<std::string> blocked;
    for (const json& address : (*body)["blocked_peers"]) {
        blocked.push_back(address.is_string() ? address.get<std::string>() : "");
    }
    n.distributor().set_blocked_peers(blocked);
    n.entry().set_blocked_owners({blocked.begin(), blocked.end()});
    send_json(exchange, {{"blocked_peers", blocked}});
}

void serve_get(node& n, forwarding::server_exchange& exchange, std::string_view path,
               std::string_view target)
{
    if (path == "/status") {
        send_json(exchange, status_json(n));
    }
    else if (path == "/explain") {
        send_json(exchange,
                  explain_json(n, forwarding::query_parameter(target, "method").value_or("GET"),
                               forwarding::query_parameter(target, "path").value_or("/"),
                               forwarding::query_parameter(target, "host").value_or("")));
    }
    else if (path == "/latency") {
        send_json(exchange, latency_json(n));
    }
    else if (path == "/metrics") {
        send(exchange, 200, "text/plain; version=0.0.4", n.stats().prometheus_text());
    }
    else if (path == "/quarantine") {
        send_json(exchange, quarantine_json(n));
    }
    else {
        send_error(exchange, 404, "no such page");
    }
}

void serve_post(node& n, forwarding::server_exchange& exchange, std::string_view path,
                std::string_view target)
{
    if (path == "/stop") {
        send_json(exchange, {{"stopping", true}});
        n.stop();
    }
    else if (path == "/drain" || path == "/resume") {
        path == "/drain" ? n.drain() : n.resume();
        send_json(exchange, {{"draining", path == "/drain"}});
    }
    else if (path == "/quarantine/release") {
        const auto fingerprint = forwarding::query_parameter(target, "fingerprint").value_or("");
        const bool released = n.owner().release(fingerprint);
        send_json(exchange, {{"released", released}}, released ? 200 : 404);
    }
    else if (path == "/testing") {
        set_testing(n, exchange);
    }
    else {
        send_error(exchange, 404, "no such page");
    }
}

} // namespace

void serve_admin(node& n, forwarding::server_exchange& exchange)
{
    const auto& head = exchange.request().head();
    const std::string target(head.target());
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    if (head.method() == http::verb::get) {
        serve_get(n, exchange, path, target);
    }
    else if (head.method() == http::verb::post) {
        serve_post(n, exchange, path, target);
    }
    else {
        send_error(exchange, 405, "use GET or POST");
    }
}

} // namespace pomelohead::node
