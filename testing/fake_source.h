// A configuration service without sockets, for tests on a manual clock.
#pragma once

#include "pomelohead/config/bundle.h"
#include "pomelohead/source/source_client.h"

#include <functional>
#include <list>
#include <map>

namespace pomelohead::testing {

/// What the service does with reads.
enum class source_mode { up, down, hanging, cut_short };

/// Holds values and answers reads and long polls.
class fake_source {
public:
    explicit fake_source(timer_service& timers) : m_timers(timers) {}

    /// Publishes sections first and the manifest last, as operators do.
    void publish(const config::bundle& bundle);
    void put(const std::string& key, std::string bytes);
    void erase(const std::string& key) { m_values.erase(key); }

    void set_mode(source_mode mode) { m_mode = mode; }
    void set_delay(duration delay) { m_delay = delay; }

    void read(const source::read_request& request, std::function<void(source::read_result)> done);

    /// Calls so far, a long poll as one.
    [[nodiscard]] std::size_t calls() const { return m_calls; }

private:
    struct value {
        std::uint64_t m_index = 0;
        std::string m_bytes;
    };
    struct waiting {
        std::string m_key;
        std::uint64_t m_index = 0;
        std::function<void(source::read_result)> m_done;
        timer_subscription m_limit;
    };

    [[nodiscard]] source::read_result answer_for(const std::string& key) const;
    void run_after(duration delay, std::function<void()> work);

    timer_service& m_timers;
    std::map<std::string, value> m_values;
    std::uint64_t m_index = 0;
    source_mode m_mode = source_mode::up;
    duration m_delay = milliseconds(2);
    std::size_t m_calls = 0;
    std::list<waiting> m_waiting;
    std::map<std::uint64_t, timer_subscription> m_pending_timers;
    std::uint64_t m_next_timer_id = 0;
};

} // namespace pomelohead::testing
