// Owners that restart, join or lose their target for a while, and what they know of the requests
// that have crashed targets meanwhile.
#include "pomelohead/forwarding/crash_mark_replicator.h"

#include "pomelohead/runtime/asio_timer_service.h"
#include "testing/fiber_program.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::forwarding {
namespace {

using namespace std::chrono_literals;
using outcome::quarantine_verdict;

constexpr std::uint16_t port = 7403;
constexpr std::size_t all_hosts = 6;

std::string address_of(std::size_t host)
{
    return "127.96.0." + std::to_string(host + 1);
}

// One node: its marks, its replicator and the server that receives those of others.
struct mark_node {
    mark_node(boost::asio::io_context& io, timer_service& timers, std::size_t host,
              const config::snapshot_ptr& config, duration period)
        : m_quarantine({}),
          m_replicator(
              io, timers,
              {.m_self = {address_of(host), port}, .m_anti_entropy_period = period, .m_seed = host},
              [this] { return m_config; }, m_quarantine),
          m_server(io, {address_of(host), port}, {},
                   [this](server_exchange& exchange) { m_replicator.handle_push(exchange); })
    {
        reason why;
        BOOST_REQUIRE_MESSAGE(m_server.start(why), why.m_text);
        m_replicator.start();
        apply(config);
    }
    ~mark_node()
    {
        m_server.close_listener();
        m_server.abort();
        m_server.wait();
    }

    void apply(const config::snapshot_ptr& config)
    {
        m_config = config;
        m_replicator.apply(*config);
    }

    config::snapshot_ptr m_config;
    outcome::quarantine m_quarantine;
    crash_mark_replicator m_replicator;
    http_server m_server;
};

struct mark_fleet {
    // Hosts from `owners` on have targets of another service.
    explicit mark_fleet(boost::asio::io_context& io, std::size_t owners, duration period = 1h)
        : m_io(io), m_timers(io), m_period(period)
    {
        for (std::size_t host = 0; host < all_hosts; ++host) {
            m_hosts[host] = host < owners ? "rota" : "cofrestr";
        }
        for (std::size_t host = 0; host < all_hosts; ++host) {
            start(host);
        }
        for (std::size_t host = 0; host < all_hosts; ++host) {
            m_nodes[host]->m_replicator.wait_until_learned("rota");
        }
    }

    [[nodiscard]] config::snapshot_ptr make_config() const
    {
        auto config = std::make_shared<config::snapshot>();
        for (const char* name : {"cofrestr", "rota"}) {
            config::service& service = config->m_services.emplace_back();
            service.m_name = name;
            for (const auto& [host, of] : m_hosts) {
                if (of == name) {
                    config::target& target = service.m_targets.emplace_back();
                    target.m_name = "i-" + std::to_string(host);
                    target.m_host = address_of(host);
                }
            }
        }
        return config;
    }

    void start(std::size_t host)
    {
        m_nodes[host] = std::make_unique<mark_node>(m_io, m_timers, host, make_config(), m_period);
    }
    void stop(std::size_t host) { m_nodes[host].reset(); }
    void restart(std::size_t host)
    {
        stop(host);
        start(host);
    }

    // A request crashes the target beside a host, which then tells the others.
    void crash(std::size_t host, const std::string& crash)
    {
        m_nodes[host]->m_quarantine.record_crash(crash, {"poison"}, m_timers.now());
        m_nodes[host]->m_replicator.mark_changed("rota");
        m_nodes[host]->m_replicator.push_changes("rota");
    }

    // How the request would run at a host when it arrives there now.
    [[nodiscard]] quarantine_verdict verdict(std::size_t host)
    {
        m_nodes[host]->m_replicator.wait_until_learned("rota");
        return m_nodes[host]->m_quarantine.check("poison", m_timers.now());
    }

    [[nodiscard]] mark_knowledge knowledge(std::size_t host) const
    {
        return m_nodes.at(host)->m_replicator.knowledge("rota");
    }

    boost::asio::io_context& m_io;
    asio_timer_service m_timers;
    duration m_period;
    std::map<std::size_t, std::string> m_hosts; // the service of each host's target
    std::map<std::size_t, std::unique_ptr<mark_node>> m_nodes;
};

} // namespace

// Guards against a request that crashes targets and is handed over by each owner that restarts,
// since what a node knows of crashes ends with its process and others told it by chance.
BOOST_AUTO_TEST_CASE(restarted_owners_know_the_marks_before_they_hand_over_a_request)
{
    struct restart_case {
        const char* m_name;
        std::size_t m_owners;
        std::vector<std::vector<std::size_t>> m_restarts; ///< hosts that are down together
    };
    const restart_case cases[] = {
        {"one after the other, all of them, twice",
         5,
         {{0}, {1}, {2}, {3}, {4}, {0}, {1}, {2}, {3}, {4}}},
        {"two at a time", 5, {{0, 1}, {2, 3}, {4, 0}, {1, 2}}},
        {"all but one", 5, {{0, 1, 2, 3}, {4}}},
        {"both owners of a small service at once", 2, {{0, 1}, {0}, {1}}},
        {"the only owner of a service", 1, {{0}, {0}}},
    };
    for (const restart_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            testing::run_in_fiber([&c](boost::asio::io_context& io) {
                mark_fleet fleet(io, c.m_owners);
                fleet.crash(0, "first");
                fleet.crash(c.m_owners > 1 ? 1 : 0, "second");
                for (const std::vector<std::size_t>& hosts : c.m_restarts) {
                    for (const std::size_t host : hosts) {
                        fleet.stop(host);
                    }
                    for (const std::size_t host : hosts) {
                        fleet.start(host);
                    }
                    for (const std::size_t host : hosts) {
                        BOOST_TEST((fleet.verdict(host) == quarantine_verdict::refuse));
                        BOOST_TEST((fleet.knowledge(host) == mark_knowledge::complete));
                    }
                }
            });
        }
    }
}

// Guards against an owner that misses crashes while its target is away: pushes go to those hosts
// only that have a target of the service, which is the case again for a new host's target too.
BOOST_AUTO_TEST_CASE(an_owner_whose_target_was_away_or_is_new_learns_the_marks)
{
    testing::run_in_fiber([](boost::asio::io_context& io) {
        mark_fleet fleet(io, 5);
        const auto apply = [&] {
            for (const auto& [host, node] : fleet.m_nodes) {
                node->apply(fleet.make_config());
            }
        };
        fleet.m_hosts[4] = "";
        fleet.m_hosts[5] = "";
        apply();
        fleet.crash(0, "first");
        fleet.crash(1, "second");
        BOOST_TEST((fleet.verdict(4) == quarantine_verdict::run));
        fleet.m_hosts[4] = "rota"; // back
        fleet.m_hosts[5] = "rota"; // has served another service
        apply();
        BOOST_TEST((fleet.knowledge(4) == mark_knowledge::learning));
        BOOST_TEST((fleet.verdict(4) == quarantine_verdict::refuse));
        BOOST_TEST((fleet.verdict(5) == quarantine_verdict::refuse));
    });
}

// A push that reaches an owner with more marks brings them back, as the sender may have missed
// them.
BOOST_AUTO_TEST_CASE(a_push_is_answered_with_the_marks_that_the_sender_lacks)
{
    testing::run_in_fiber([](boost::asio::io_context& io) {
        mark_fleet fleet(io, 5);
        const time_point now = fleet.m_timers.now();
        fleet.m_nodes[1]->m_quarantine.record_crash("first", {"poison"}, now);
        fleet.m_nodes[2]->m_quarantine.record_crash("cleared", {"sound"}, now);
        fleet.m_nodes[2]->m_quarantine.record_success("sound", now);
        fleet.m_nodes[0]->m_quarantine.record_crash("cleared", {"sound"}, now);
        fleet.crash(0, "second");
        BOOST_TEST((fleet.verdict(0) == quarantine_verdict::refuse));
        BOOST_TEST((fleet.m_nodes[0]->m_quarantine.check("sound", now) == quarantine_verdict::run));
    });
}

// Guards against a node that serves nobody because it can learn nothing: others have just started,
// refuse its connections, or are silent. The wait is bounded, and the node goes on asking.
BOOST_AUTO_TEST_CASE(requests_wait_for_the_marks_for_a_bounded_time)
{
    testing::run_in_fiber([](boost::asio::io_context& io) {
        mark_fleet fleet(io, 5, 200ms);
        fleet.crash(0, "first");
        fleet.crash(1, "second");
        for (std::size_t host = 1; host < all_hosts; ++host) {
            fleet.stop(host);
        }
        fiber_event stopped;
        std::vector<std::unique_ptr<http_server>> silent;
        reason why;
        for (std::size_t host = 1; host < all_hosts; ++host) {
            silent.push_back(std::make_unique<http_server>(io, endpoint{address_of(host), port},
                                                           server_options{},
                                                           [&](server_exchange& exchange) {
                                                               stopped.wait();
                                                               exchange.close_after();
                                                           }));
            BOOST_REQUIRE(silent.back()->start(why));
        }
        const time_point begun = clock_type::now();
        fleet.restart(0);
        BOOST_TEST((fleet.knowledge(0) == mark_knowledge::learning));
        BOOST_TEST((fleet.verdict(0) == quarantine_verdict::run));
        const duration waited = clock_type::now() - begun;
        BOOST_TEST((fleet.knowledge(0) == mark_knowledge::assumed));
        BOOST_TEST((waited >= 100ms));
        BOOST_TEST((waited < 5s)); // the limit is 500 ms; the rest is for a busy machine
        stopped.set();
        for (const auto& server : silent) {
            server->close_listener();
            server->abort();
            server->wait();
        }
        silent.clear();
        fleet.start(1); // knows nothing either
        fleet.m_nodes[1]->m_quarantine.record_crash("first", {"poison"}, fleet.m_timers.now());
        fleet.m_nodes[1]->m_quarantine.record_crash("second", {"poison"}, fleet.m_timers.now());
        for (int i = 0; i < 1'000 && fleet.knowledge(0) != mark_knowledge::complete; ++i) {
            sleep_for(10ms);
        }
        BOOST_TEST((fleet.knowledge(0) == mark_knowledge::complete));
        BOOST_TEST((fleet.verdict(0) == quarantine_verdict::refuse));
    });
}

} // namespace pomelohead::forwarding
