// Two kinds of events, arrivals and ends of runs, are taken in the order of their times.
#include "testing/overload_play.h"

namespace pomelohead::testing {
namespace {

class overload {
public:
    overload(const admission::admission_options& options, std::uint32_t slots,
             const std::vector<offered_route>& routes)
        : m_queue(options, slots), m_routes(routes)
    {
        for (std::size_t i = 0; i < routes.size(); ++i) {
            m_arrivals.emplace(m_now + routes[i].m_gap, i);
        }
    }

    std::map<std::string, route_result> play(duration length)
    {
        const time_point last = m_now + length;
        while (m_now < last) {
            const bool is_end =
                !m_ends.empty() && m_ends.begin()->first <= m_arrivals.begin()->first;
            m_now = is_end ? m_ends.begin()->first : m_arrivals.begin()->first;
            is_end ? end_one() : offer_one();
            for (const std::uint64_t id : m_queue.expire(m_now)) {
                refused(id);
            }
            start(m_queue.due_starts(m_now));
        }
        return m_results;
    }

private:
    struct request {
        std::size_t m_route = 0;
        time_point m_arrived;
    };

    const offered_route& route_of(std::uint64_t id) { return m_routes[m_requests[id].m_route]; }

    void start(const std::vector<std::uint64_t>& ids)
    {
        for (const std::uint64_t id : ids) {
            m_ends.emplace(m_now + route_of(id).m_run_time, id);
        }
    }

    void refused(std::uint64_t id)
    {
        route_result& result = m_results[route_of(id).m_name];
        const duration hold = m_now - m_requests[id].m_arrived;
        ++result.m_refused;
        result.m_total_hold += hold;
        result.m_longest_hold = std::max(result.m_longest_hold, hold);
    }

    void offer_one()
    {
        const std::size_t index = m_arrivals.begin()->second;
        m_arrivals.erase(m_arrivals.begin());
        const offered_route& route = m_routes[index];
        m_arrivals.emplace(m_now + route.m_gap, index);
        const std::uint64_t id = ++m_last_id;
        m_requests[id] = {index, m_now};
        ++m_results[route.m_name].m_offered;
        admission::request_facts facts;
        facts.m_id = id;
        facts.m_route = route.m_name;
        facts.m_urgency = route.m_urgency;
        facts.m_depth = route.m_depth;
        facts.m_deadline = m_now + route.m_deadline;
        facts.m_objective = m_now + route.m_objective;
        const admission::verdict said = m_queue.offer(facts, m_now).m_verdict;
        if (said == admission::verdict::start) {
            start({id});
        }
        else if (said == admission::verdict::refused) {
            refused(id);
        }
    }

    void end_one()
    {
        const std::uint64_t id = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        const duration took = m_now - m_requests[id].m_arrived;
        route_result& result = m_results[route_of(id).m_name];
        if (took <= route_of(id).m_objective) {
            ++result.m_on_time;
        }
        else if (took <= route_of(id).m_deadline) {
            ++result.m_late;
        }
        start(m_queue.finish(id, m_now));
    }

    admission::slot_queue m_queue;
    const std::vector<offered_route>& m_routes;
    time_point m_now{std::chrono::seconds(1)};
    std::multimap<time_point, std::size_t> m_arrivals; // by route
    std::multimap<time_point, std::uint64_t> m_ends;   // by request
    std::map<std::uint64_t, request> m_requests;
    std::map<std::string, route_result> m_results;
    std::uint64_t m_last_id = 0;
};

} // namespace

std::map<std::string, route_result> play_overload(const admission::admission_options& options,
                                                  std::uint32_t slots,
                                                  const std::vector<offered_route>& routes,
                                                  duration length)
{
    return overload(options, slots, routes).play(length);
}

} // namespace pomelohead::testing
