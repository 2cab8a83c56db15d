#include "testing/feed_play.h"

#include "pomelohead/discovery/referral.h"
#include "pomelohead/discovery/relay_server.h"
#include "pomelohead/forwarding/headers.h"
#include "pomelohead/source/relay_codec.h"

#include <algorithm>

namespace pomelohead::testing {
namespace {

using namespace std::chrono_literals;
using source::store_answer;
using source::store_status;

constexpr const char* key = "configuration";

milliseconds now_of(const timer_service& timers)
{
    return std::chrono::duration_cast<milliseconds>(timers.now().time_since_epoch());
}

store_answer silent()
{
    store_answer answer;
    answer.m_why = {reason_code::timed_out, "no answer"};
    return answer;
}

// The store as one node reaches it.
class played_store final : public source::key_value_store {
public:
    using is_lost_fn = std::function<bool(milliseconds sent, milliseconds answered)>;

    played_store(const feed_plan& plan, manual_timer_service& timers,
                 std::function<milliseconds()> latency, is_lost_fn is_lost, std::size_t& calls)
        : m_acknowledged(plan.m_acknowledged), m_deaf(plan.m_watches_deaf), m_timers(timers),
          m_latency(std::move(latency)), m_is_lost(std::move(is_lost)), m_calls(calls)
    {
    }

    store_answer list(const source::list_request& request) override
    {
        return call(0, 0ms, request.m_limit);
    }
    store_answer watch(const source::watch_request& request) override
    {
        const milliseconds sent = now_of(m_timers);
        const milliseconds limit = request.m_wait + request.m_slack;
        if (!m_deaf.covers(sent, sent + request.m_wait)) {
            const auto after = static_cast<std::size_t>(request.m_after.m_number);
            if (m_deaf.m_until <= sent && after < m_acknowledged.size() &&
                m_acknowledged[after] < m_deaf.m_until) {
                return history_lost(sent + m_latency());
            }
            return call(request.m_after.m_number, request.m_wait, request.m_slack);
        }
        ++m_calls;
        if (m_deaf.m_until > sent + limit) {
            m_timers.advance(limit);
            return silent();
        }
        return history_lost(m_deaf.m_until);
    }
    void cancel() override {}

private:
    store_answer history_lost(milliseconds answered)
    {
        m_timers.advance(answered - now_of(m_timers));
        store_answer answer;
        answer.m_status = store_status::history_lost;
        return answer;
    }

    // Answers with the newest version above `after`, or without one after `wait`.
    store_answer call(std::uint64_t after, milliseconds wait, milliseconds limit)
    {
        ++m_calls;
        const milliseconds sent = now_of(m_timers);
        const milliseconds latency = m_latency();
        const milliseconds received = sent + latency / 2;
        milliseconds answered = received + wait;
        if (after < m_acknowledged.size() && m_acknowledged[after] < answered) {
            answered = std::max(received, m_acknowledged[after]);
        }
        const milliseconds end = answered + latency - latency / 2;
        if (m_is_lost(sent, answered) || end > sent + wait + limit) {
            m_timers.advance(wait + limit);
            return silent();
        }
        m_timers.advance(end - sent);
        store_answer answer;
        answer.m_status = store_status::ok;
        const auto version = static_cast<std::uint64_t>(
            std::ranges::upper_bound(m_acknowledged, answered) - m_acknowledged.begin());
        answer.m_revision = {1, version};
        if (version > after) {
            answer.m_items.push_back({key, answer.m_revision, std::to_string(version)});
        }
        return answer;
    }

    const std::vector<milliseconds>& m_acknowledged;
    const silence& m_deaf;
    manual_timer_service& m_timers;
    std::function<milliseconds()> m_latency;
    is_lost_fn m_is_lost;
    std::size_t& m_calls;
};

// A relay whose states have been played.
class played_relay final : public discovery::relay_client {
public:
    played_relay(const std::vector<feed_state>& states, milliseconds lost_at,
                 manual_timer_service& timers)
        : m_states(states), m_lost_at(lost_at), m_timers(timers)
    {
    }

    std::optional<forwarding::full_response> get(const std::string&, const std::string& path,
                                                 const forwarding::get_limits& limits,
                                                 reason& why) override
    {
        const auto number = [&path](const char* name) {
            return forwarding::parse_number(forwarding::query_parameter(path, name).value_or("0"),
                                            UINT64_MAX);
        };
        const bool is_poll = forwarding::query_parameter(path, "cursor").has_value();
        const std::uint64_t known = number(is_poll ? "cursor" : "known").value_or(0);
        const milliseconds received = now_of(m_timers) + 1ms;
        const milliseconds hold(number("wait_ms").value_or(0));
        const feed_state state = state_after(received, hold, is_poll, known);
        const milliseconds answered = std::max(received, state.m_at);
        const auto deadline =
            std::chrono::duration_cast<milliseconds>(limits.m_deadline.time_since_epoch());
        if (answered >= m_lost_at || answered + 1ms > deadline) {
            m_timers.advance(std::max(deadline - now_of(m_timers), 0ms));
            why = {reason_code::timed_out, "no answer"};
            return std::nullopt;
        }
        m_timers.advance(answered + 1ms - now_of(m_timers));
        forwarding::full_response response;
        if (!state.m_is_up) {
            response.m_status = is_poll ? 502 : 503;
            response.m_body = discovery::encode(discovery::referral{});
            return response;
        }
        response.m_status = 200;
        response.m_body = encode_changes(state, known, is_poll);
        if (state.m_as_of) {
            response.m_fields.set(discovery::as_of_header,
                                  std::to_string((*state.m_as_of - received).count()));
        }
        return response;
    }
    void cancel() override {}

private:
    // The state that ends the hold, with the time of its answer.
    [[nodiscard]] feed_state state_after(milliseconds received, milliseconds hold, bool is_poll,
                                         std::uint64_t known) const
    {
        const auto is_answer = [&](const feed_state& state) {
            return is_poll ? !state.m_is_up || state.m_version != known : state.m_is_up;
        };
        feed_state current;
        for (const feed_state& state : m_states) {
            if (state.m_at > received + hold || (state.m_at > received && is_answer(current))) {
                break;
            }
            current = state;
        }
        current.m_at = is_answer(current) ? std::max(current.m_at, received) : received + hold;
        return current;
    }

    static std::string encode_changes(const feed_state& state, std::uint64_t known, bool is_poll)
    {
        source::relayed_changes changes;
        changes.m_cursor = {1, state.m_version};
        changes.m_revision = {1, state.m_version};
        changes.m_complete_revision = changes.m_revision;
        if (state.m_version > known) {
            changes.m_items.push_back(
                {key, changes.m_revision, source::pack(std::to_string(state.m_version))});
        }
        else if (!is_poll) {
            changes.m_unchanged.push_back({key, changes.m_revision, {}});
        }
        changes.m_relays = {"10.1.0.1"};
        return source::encode(changes);
    }

    const std::vector<feed_state>& m_states;
    milliseconds m_lost_at;
    manual_timer_service& m_timers;
};

// One node; records what it knows after each answer.
class played_node {
public:
    played_node(const feed_plan& plan, manual_timer_service& timers,
                std::unique_ptr<source::key_value_store> direct,
                std::unique_ptr<discovery::relay_client> relays, const std::string& self)
        : m_timers(timers), m_selector(self, discovery::relay_role::preferred),
          m_store(std::move(direct), std::move(relays),
                  {.m_address = self,
                   .m_timing = discovery::make_relay_timing(plan.m_bound),
                   .m_now = [&timers] { return timers.now(); }},
                  m_selector),
          m_follower(follower_options_of(plan), timers, make_hooks(), plan.m_seed)
    {
    }

    discovery::relay_selector& selector() { return m_selector; }

    std::vector<feed_state> run(milliseconds end)
    {
        constexpr milliseconds idle_step{5};
        m_follower.start();
        while (now_of(m_timers) < end) {
            if (m_call) {
                std::exchange(m_call, nullptr)();
                record();
            }
            else {
                m_timers.advance(idle_step);
            }
        }
        m_follower.stop();
        return std::move(m_states);
    }

private:
    static source::follower_options follower_options_of(const feed_plan& plan)
    {
        source::follower_options options;
        options.m_batch_delay = discovery::make_relay_timing(plan.m_bound).m_batch_delay;
        options.m_list_after_changes = true;
        return options;
    }

    source::follower_hooks make_hooks()
    {
        source::follower_hooks hooks;
        hooks.m_list = [this](const source::list_request& request,
                              const std::function<void(store_answer)>& done) {
            m_call = [this, request, done] { done(m_store.list(request)); };
        };
        hooks.m_watch = [this](const source::watch_request& request,
                               const std::function<void(store_answer)>& done) {
            m_call = [this, request, done] { done(m_store.watch(request)); };
        };
        hooks.m_on_put = [this](const source::key_change& change) {
            m_version = change.m_revision.m_number;
        };
        hooks.m_on_removed = [](const std::string&, const source::store_revision&) {};
        hooks.m_on_answer_applied = [] {};
        hooks.m_on_contact_lost = [](const reason&) {};
        hooks.m_on_contact_regained = [] {};
        return hooks;
    }

    void record()
    {
        const source::follower_status& status = m_follower.status();
        std::optional<milliseconds> as_of;
        if (status.m_as_of) {
            as_of = std::chrono::duration_cast<milliseconds>(status.m_as_of->time_since_epoch());
        }
        m_states.push_back({now_of(m_timers), m_version, as_of, status.m_up && status.m_listed});
    }

    manual_timer_service& m_timers;
    discovery::relay_selector m_selector;
    discovery::relayed_store m_store;
    source::store_follower m_follower;
    std::function<void()> m_call; ///< to be made next
    std::uint64_t m_version = 0;
    std::vector<feed_state> m_states;
};

bool is_in(const std::vector<silence>& silences, milliseconds sent, milliseconds answered)
{
    return std::ranges::any_of(silences,
                               [&](const silence& s) { return s.covers(sent, answered); });
}

} // namespace

void feed_play::run(milliseconds end)
{
    const std::string relay_address = "10.1.0.1";
    const std::string node_address = "10.1.0.2";
    const std::string successor_address = "10.1.0.3";
    m_end = end;
    if (m_plan.m_has_relay) {
        manual_timer_service timers;
        std::size_t calls = 0;
        const auto latency = [&] {
            return now_of(timers) >= m_plan.m_relay_slow_from ? m_plan.m_relay_latency
                                                              : m_plan.m_store_latency;
        };
        played_node relay(m_plan, timers,
                          std::make_unique<played_store>(
                              m_plan, timers, latency,
                              [&](milliseconds sent, milliseconds answered) {
                                  return is_in(m_plan.m_store_silent_for_relay, sent, answered);
                              },
                              calls),
                          std::make_unique<played_relay>(m_relay, 0ms, timers), relay_address);
        relay.selector().set_members({relay_address});
        m_relay = relay.run(end);
    }
    manual_timer_service timers;
    unsigned lost = 0;
    const auto is_lost = [&](milliseconds sent, milliseconds answered) {
        if (answered >= m_plan.m_node_loses_from && lost < m_plan.m_node_loses) {
            ++lost;
            return true;
        }
        return is_in(m_plan.m_store_silent_for_node, sent, answered);
    };
    played_node node(
        m_plan, timers,
        std::make_unique<played_store>(
            m_plan, timers, [&] { return m_plan.m_store_latency; }, is_lost, m_node_calls),
        std::make_unique<played_relay>(m_relay, m_plan.m_relay_lost_at, timers), node_address);
    std::vector<std::string> members;
    if (m_plan.m_has_relay) {
        members.push_back(relay_address);
    }
    if (m_plan.m_has_successor) {
        members.push_back(successor_address);
    }
    node.selector().set_members(members.empty() ? std::vector{node_address} : members);
    node.selector().add_relays(members);
    m_node = node.run(end);
}

milliseconds feed_play::in_force_at(std::size_t index) const
{
    const auto it = std::ranges::find_if(
        m_node, [&](const feed_state& state) { return state.m_version > index; });
    return it == m_node.end() ? m_end : it->m_at;
}

std::optional<milliseconds> feed_play::in_force_after(std::size_t index) const
{
    const milliseconds at = in_force_at(index);
    return at == m_end ? std::nullopt : std::optional(at - m_plan.m_acknowledged[index]);
}

} // namespace pomelohead::testing
