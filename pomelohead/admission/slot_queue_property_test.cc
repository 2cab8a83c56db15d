// Invariants that hold after every step of seeded random arrivals on a manual clock.
#include "pomelohead/admission/slot_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;
using config::urgency;
using config::work_class;

constexpr std::uint32_t slots = 6;

// Simulates a target and its owner's queue with random requests.
class random_load {
public:
    // On average `offers` of four steps offer a request; the others finish one.
    random_load(const admission_options& options, std::uint64_t seed, std::uint64_t offers = 2)
        : m_options(options), m_queue(options, slots), m_random(seed), m_offers(offers)
    {
    }

    void step()
    {
        m_now += std::chrono::microseconds(m_random() % 4000);
        if (m_random() % 4 < m_offers) {
            offer();
        }
        else if (!m_running.empty()) {
            finish();
        }
        for (const std::uint64_t id : m_queue.expire(m_now)) {
            record_decision(id, "refused");
            m_queued.erase(id);
        }
        for (const std::uint64_t id : m_queue.due_starts(m_now)) {
            on_started(id);
        }
    }

    void check() const
    {
        const std::size_t running_long = count(m_running, work_class::long_work);
        const std::size_t queued_short = count(m_queued, work_class::short_work);
        const std::size_t queued_long = count(m_queued, work_class::long_work);
        BOOST_TEST(m_running.size() <= slots);
        BOOST_TEST(m_queue.running() == m_running.size());
        BOOST_TEST(m_queue.queued() == m_queued.size());
        // The reserve is kept and the queue is bounded.
        BOOST_TEST(running_long <= slots - m_options.m_min_reserve);
        BOOST_TEST(queued_short <= slots * m_options.m_queue_per_slot);
        BOOST_TEST(queued_long <= slots * m_options.m_long_queue_per_slot);
        // Work-conserving: no short request waits while a slot is free.
        BOOST_TEST((queued_short == 0 || m_running.size() == m_queue.limit()));
    }

    void check_all_decided_once() const
    {
        for (const auto& [id, decisions] : m_decisions) {
            BOOST_TEST(decisions.size() <= 1U);
            BOOST_TEST((decisions.size() == 1 || m_queued.contains(id)));
        }
    }

    [[nodiscard]] const std::map<std::string, int>& starts() const { return m_starts; }
    [[nodiscard]] const std::map<std::uint64_t, std::vector<std::string>>& decisions() const
    {
        return m_decisions;
    }

private:
    using requests = std::map<std::uint64_t, request_facts>;

    static std::size_t count(const requests& in, work_class work)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            in, [work](const auto& item) { return item.second.m_class == work; }));
    }

    void offer()
    {
        request_facts facts;
        facts.m_id = ++m_last_id;
        // The large account sends nine tenths of the requests, all urgent; the small
        // account sends deferrable ones.
        const bool is_small = m_random() % 10 == 0;
        facts.m_account = is_small ? "small" : "large";
        facts.m_urgency = is_small ? urgency::deferrable : urgency::urgent;
        facts.m_class = m_random() % 8 == 0 ? work_class::long_work : work_class::short_work;
        facts.m_depth = static_cast<std::uint32_t>(m_random() % 3);
        facts.m_deadline = m_now + milliseconds(20 + m_random() % 400);
        m_decisions[facts.m_id];
        m_queued[facts.m_id] = facts;
        const decision d = m_queue.offer(facts, m_now);
        if (d.m_verdict == verdict::start) {
            on_started(facts.m_id);
        }
        else if (d.m_verdict == verdict::refused) {
            record_decision(facts.m_id, "refused");
            m_queued.erase(facts.m_id);
        }
    }

    void finish()
    {
        auto done = m_running.begin();
        std::advance(done, m_random() % m_running.size());
        const std::uint64_t id = done->first;
        m_running.erase(done);
        for (const std::uint64_t next : m_queue.finish(id, m_now)) {
            on_started(next);
        }
    }

    void on_started(std::uint64_t id)
    {
        BOOST_REQUIRE(m_queued.contains(id));
        BOOST_TEST((m_queued[id].m_deadline >= m_now));
        record_decision(id, "started");
        ++m_starts[m_queued[id].m_account];
        m_running[id] = m_queued[id];
        m_queued.erase(id);
    }

    void record_decision(std::uint64_t id, const char* result)
    {
        m_decisions[id].emplace_back(result);
    }

    admission_options m_options;
    slot_queue m_queue;
    std::mt19937_64 m_random;
    std::uint64_t m_offers;
    time_point m_now{1h};
    std::uint64_t m_last_id = 0;
    requests m_running;
    requests m_queued;
    std::map<std::uint64_t, std::vector<std::string>> m_decisions;
    std::map<std::string, int> m_starts;
};

} // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_on_random_arrivals)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            admission_options options;
            options.m_slow_start = seed % 2 == 0;
            random_load load(options, seed);
            for (int i = 0; i < 2000; ++i) {
                load.step();
                load.check();
            }
            load.check_all_decided_once();
        }
    }
}

BOOST_AUTO_TEST_CASE(fair_share_prevents_starvation_of_a_deferrable_account)
{
    for (const bool is_fair : {true, false}) {
        admission_options options;
        options.m_fair_share = is_fair;
        random_load load(options, 7, 3);
        for (int i = 0; i < 20'000; ++i) {
            load.step();
        }
        const double small = load.starts().at("small");
        const double share = small / (small + load.starts().at("large"));
        BOOST_TEST((share >= options.m_account_floor / 2) == is_fair);
    }
}

BOOST_AUTO_TEST_CASE(decisions_are_deterministic)
{
    random_load first(admission_options{}, 3);
    random_load second(admission_options{}, 3);
    for (int i = 0; i < 2000; ++i) {
        first.step();
        second.step();
    }
    BOOST_TEST((first.decisions() == second.decisions()));
}

} // namespace pomelohead::admission
