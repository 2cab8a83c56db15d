// The nodes of one failure domain with one store, over loopback, for tests.
//
//     failure_domain_fixture d(io);
//     d.m_store.put("new", "10.9.0.1");
//     d.all_nodes_have("new");
#pragma once

#include "pomelohead/discovery/catalog.h"

#include "pomelohead/runtime/asio_timer_service.h"
#include "testing/fake_store.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace pomelohead::discovery {

inline constexpr std::uint16_t relay_port = 7402;
inline constexpr int node_count = 8;

inline std::string address_of(int node)
{
    return "127.95.0." + std::to_string(node + 1);
}

// One node's connection to the shared store; can be disconnected.
class store_connection final : public source::key_value_store {
public:
    store_connection(testing::fake_store& store, const bool& is_disconnected, int& lists,
                     milliseconds& longest_call)
        : m_store(store), m_is_disconnected(is_disconnected), m_lists(lists),
          m_longest_call(longest_call)
    {
    }

    source::store_answer list(const source::list_request& request) override
    {
        ++m_lists;
        m_longest_call = std::max(m_longest_call, request.m_limit);
        return call([&](const auto& done) { m_store.list(request, done); });
    }
    source::store_answer watch(const source::watch_request& request) override
    {
        m_longest_call = std::max(m_longest_call, request.m_wait + request.m_slack);
        return call([&](const auto& done) { m_store.watch(request, done); });
    }
    void cancel() override
    {
        m_cancelled = true;
        m_ended.set();
    }

private:
    source::store_answer call(const std::function<void(testing::fake_store::done_fn)>& begin)
    {
        auto answer = std::make_shared<source::store_answer>();
        answer->m_why = {reason_code::unreachable, "cut off"};
        if (m_is_disconnected || m_cancelled) {
            return *answer;
        }
        m_ended.reset();
        begin([this, answer](const source::store_answer& response) {
            if (!m_cancelled) {
                *answer = response;
                m_ended.set();
            }
        });
        m_ended.wait();
        return m_is_disconnected
                   ? source::store_answer{.m_why = {reason_code::timed_out, "cut off"}}
                   : *answer;
    }

    testing::fake_store& m_store;
    const bool& m_is_disconnected;
    int& m_lists;
    milliseconds& m_longest_call;
    bool m_cancelled = false;
    fiber_event m_ended;
};

inline std::optional<decoded_value> decode(const source::key_change& change, reason&)
{
    if (change.m_key == "configuration") {
        config::snapshot config;
        config.m_version = std::stoul(*change.m_value);
        config.m_services.push_back({.m_name = "rota"});
        return config;
    }
    if (change.m_key.starts_with("evacuate/")) {
        return evacuation{change.m_key.substr(change.m_key.find('/') + 1)};
    }
    instance item;
    item.m_id = change.m_key;
    item.m_service = "rota";
    item.m_host = *change.m_value;
    item.m_port = 7100;
    // Only the hosts of the nodes under test are in failure domain "bala".
    item.m_failure_domain = change.m_value->starts_with("127.") ? "bala" : "dolgellau";
    item.m_slots = 4;
    return item;
}

struct failure_domain_fixture {
    static constexpr milliseconds bound{4'000}; // relays watch the store once per second

    // `capable_node` is the only node that can relay the configuration; nullopt: all can. `seed` is
    // the node that all ask when they start.
    explicit failure_domain_fixture(boost::asio::io_context& io,
                                    std::optional<int> capable_node = std::nullopt,
                                    std::optional<int> seed = std::nullopt)
        : m_io(io), m_capable_node(capable_node), m_seed(seed), m_timers(io), m_store(m_timers),
          m_nodes(node_count)
    {
        m_store.put("configuration", "1");
        for (int node = 0; node < node_count; ++node) {
            m_store.put("target-" + std::to_string(node), address_of(node));
        }
        for (int node = 0; node < node_count; ++node) {
            start_node(node);
        }
        std::vector<std::string> members;
        members.reserve(node_count);
        for (int node = 0; node < node_count; ++node) {
            members.push_back(address_of(node));
        }
        relay_selector selector("other", relay_role::none);
        selector.set_members(members);
        while (address_of(m_relay) != *selector.choose(clock_type::now())) {
            ++m_relay;
        }
    }

    ~failure_domain_fixture()
    {
        for (const auto& node : m_nodes) {
            node->stop();
        }
    }

    void start_node(int node)
    {
        catalog_options options;
        options.m_address = address_of(node);
        options.m_relay_port = relay_port;
        options.m_failure_domain = "bala";
        options.m_is_preferred_relay = !m_capable_node || *m_capable_node == node;
        options.m_incarnation = 1'000U + static_cast<unsigned>(node);
        options.m_timing = make_relay_timing(bound);
        if (m_seed) {
            options.m_seeds = {"127.95.0.200", address_of(*m_seed)}; // the first one is down
        }
        const auto open = [this, node](source::store_part) {
            return std::make_unique<store_connection>(m_store, m_is_disconnected.at(node),
                                                      m_lists.at(node), m_longest_call);
        };
        m_nodes.at(node) = std::make_unique<catalog>(m_io, options, m_timers, open, decode);
        reason why;
        BOOST_REQUIRE_MESSAGE(m_nodes.at(node)->start(why), why.m_text);
    }

    // Stops a node and starts it again without what it knew.
    void replace_node(int node)
    {
        m_nodes.at(node)->stop();
        m_nodes.at(node).reset();
        start_node(node);
    }

    [[nodiscard]] bool has_target(int node, const std::string& name) const
    {
        const auto config = m_nodes.at(node)->current();
        return config && config->find_target(name) != nullptr;
    }

    // Waits until all nodes have target `name`; returns false after 20 s.
    [[nodiscard]] bool all_nodes_have(const std::string& name) const
    {
        return is_true_of_all([&](int node) { return has_target(node, name); });
    }

    // Waits until a failure domain is evacuated, or not, for all nodes; returns false after 20 s.
    [[nodiscard]] bool all_nodes_evacuate(const std::string& name, bool is_evacuated = true) const
    {
        return is_true_of_all([&](int node) {
            const auto config = m_nodes.at(node)->current();
            return config && config->is_evacuated(name) == is_evacuated;
        });
    }

    [[nodiscard]] static bool is_true_of_all(const std::function<bool(int)>& is_true_of)
    {
        for (int attempt = 0; attempt < 2'000; ++attempt) {
            int count = 0;
            for (int node = 0; node < node_count; ++node) {
                count += is_true_of(node) ? 1 : 0;
            }
            if (count == node_count) {
                return true;
            }
            sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    boost::asio::io_context& m_io;
    std::optional<int> m_capable_node;
    std::optional<int> m_seed;
    asio_timer_service m_timers;
    testing::fake_store m_store;
    std::array<bool, node_count> m_is_disconnected{};
    std::array<int, node_count> m_lists{};
    milliseconds m_longest_call{0}; ///< that a node waits for the answer of the store
    std::vector<std::unique_ptr<catalog>> m_nodes;
    int m_relay = 0;
};

} // namespace pomelohead::discovery
