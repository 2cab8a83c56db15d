#include "testing/configuration_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohead::testing {
namespace {

std::optional<service_mode> parse_mode(const std::string& text)
{
    static const std::map<std::string, service_mode> modes = {
        {"up", service_mode::up},     {"down", service_mode::down},
        {"hang", service_mode::hang}, {"slow", service_mode::slow},
        {"cut", service_mode::cut},   {"truncate", service_mode::truncate}};
    const auto it = modes.find(text);
    return it == modes.end() ? std::nullopt : std::optional(it->second);
}

std::string kind_of(const std::string& key)
{
    return key.substr(0, key.find('/'));
}

void drop_older_than_one_second(std::deque<time_point>& times, time_point now)
{
    while (!times.empty() && now - times.front() >= std::chrono::seconds(1)) {
        times.pop_front();
    }
}

} // namespace

std::uint64_t configuration_store::put(const std::string& key, std::string bytes,
                                       std::optional<std::uint64_t> index)
{
    m_last_index = std::max(m_last_index + 1, index.value_or(0));
    m_values[key] = {index.value_or(m_last_index), std::move(bytes)};
    return m_values[key].m_index;
}

stored_value configuration_store::get(const std::string& key) const
{
    const auto it = m_values.find(key);
    return it == m_values.end() ? stored_value{} : it->second;
}

admission configuration_store::admit(const std::string& key, const std::string& caller,
                                     const std::string& listener, time_point now)
{
    m_calls += 1;
    m_calls_by_kind[kind_of(key)] += 1;
    m_calls_by_caller[caller] += 1;
    m_calls_by_listener[listener] += 1;
    drop_older_than_one_second(m_calls_in_last_second, now);
    drop_older_than_one_second(m_admissions_in_last_second, now);
    m_calls_in_last_second.push_back(now);
    m_max_calls_in_one_second = std::max(m_max_calls_in_one_second, m_calls_in_last_second.size());
    if (m_mode == service_mode::down) {
        m_dropped += 1;
        return admission::drop;
    }
    if (m_admissions_in_last_second.size() >= m_rate_per_s) {
        m_refused += 1;
        return admission::refuse_rate;
    }
    m_admissions_in_last_second.push_back(now);
    return admission::answer;
}

bool configuration_store::is_blocked(const std::string& caller, const std::string& listener) const
{
    return m_blocked.contains(caller) || m_blocked.contains(listener);
}

std::optional<std::string> configuration_store::control(const nlohmann::json& message)
{
    if (!message.is_object()) {
        return "expected an object";
    }
    try {
        if (message.contains("mode")) {
            const auto mode = parse_mode(message.at("mode").get<std::string>());
            if (!mode) {
                return "mode must be up, down, hang, slow, truncate or cut";
            }
            m_mode = *mode;
        }
        m_delay = milliseconds(message.value("delay_ms", m_delay.count()));
        m_rate_per_s = message.value("rate_per_s", m_rate_per_s);
        m_blocked = message.value("blocked", m_blocked);
    }
    catch (const nlohmann::json::exception& error) {
        return error.what();
    }
    return std::nullopt;
}

nlohmann::json configuration_store::stats() const
{
    return {{"calls", m_calls},
            {"calls_by_kind", m_calls_by_kind},
            {"calls_by_caller", m_calls_by_caller},
            {"calls_by_listener", m_calls_by_listener},
            {"refused", m_refused},
            {"dropped", m_dropped},
            {"waiting_watches", m_waiting_watches},
            {"bytes_sent", m_bytes_sent},
            {"max_calls_in_one_second", m_max_calls_in_one_second}};
}

} // namespace pomelohead::testing
