#include "testing/fake_source.h"

namespace pomelohead::testing {
namespace {

using source::read_result;
using source::read_status;

constexpr milliseconds client_timeout{5'000};

} // namespace

void fake_source::run_after(duration delay, std::function<void()> work)
{
    const std::uint64_t id = m_next_timer_id++;
    m_pending_timers[id] = m_timers.after(delay, [this, id, work = std::move(work)] {
        const timer_subscription ended = std::move(m_pending_timers[id]);
        m_pending_timers.erase(id);
        work();
    });
}

void fake_source::publish(const config::bundle& bundle)
{
    for (const auto& [hash, bytes] : bundle.m_sections) {
        put("sections/" + hash, bytes);
    }
    put("manifest", bundle.m_manifest);
}

void fake_source::put(const std::string& key, std::string bytes)
{
    m_values[key] = {++m_index, std::move(bytes)};
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->m_key == key && m_mode == source_mode::up) {
            run_after(m_delay, [done = it->m_done, answer = answer_for(key)] { done(answer); });
            it = m_waiting.erase(it);
        }
        else {
            ++it;
        }
    }
}

read_result fake_source::answer_for(const std::string& key) const
{
    const auto it = m_values.find(key);
    if (it == m_values.end()) {
        return {read_status::absent, 0, {}, {}};
    }
    return {read_status::value, it->second.m_index, it->second.m_bytes, {}};
}

void fake_source::read(const source::read_request& request, std::function<void(read_result)> done)
{
    ++m_calls;
    const auto fail = [&](reason_code code, duration after) {
        run_after(after, [done, code] { done({read_status::failed, 0, {}, {code, "fake"}}); });
    };
    if (m_mode == source_mode::down) {
        fail(reason_code::unreachable, m_delay);
        return;
    }
    if (m_mode == source_mode::hanging) {
        fail(reason_code::timed_out, client_timeout + request.m_wait);
        return;
    }
    if (m_mode == source_mode::cut_short) {
        fail(reason_code::interrupted, m_delay);
        return;
    }
    read_result answer = answer_for(request.m_key);
    if (!request.m_index || *request.m_index != answer.m_index) {
        run_after(m_delay, [done, answer = std::move(answer)] { done(answer); });
        return;
    }
    m_waiting.push_back({request.m_key, *request.m_index, std::move(done), {}});
    const auto it = std::prev(m_waiting.end());
    it->m_limit = m_timers.after(request.m_wait, [this, it] {
        const auto ended = it->m_done;
        const std::uint64_t index = it->m_index;
        m_waiting.erase(it);
        ended({read_status::unchanged, index, {}, {}});
    });
}

} // namespace pomelohead::testing
