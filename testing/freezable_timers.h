// The clock of a process that can be stopped, for tests.
//
//     freezable_timers timers(fleet_timers);
//     timers.freeze();   // as by SIGSTOP
//     timers.thaw();     // as by SIGCONT
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <deque>

namespace pomelohead::testing {

/// Passes on to another timer_service; callbacks wait while it is frozen.
class freezable_timers final : public timer_service {
public:
    explicit freezable_timers(timer_service& timers) : m_timers(timers) {}

    [[nodiscard]] time_point now() const override { return m_timers.now(); }

    [[nodiscard]] timer_subscription after(duration delay, std::function<void()> callback) override
    {
        auto entry = make_entry(std::move(callback));
        *entry->m_inner = m_timers.after(delay, [this, entry] { on_due(entry); });
        return subscription(entry);
    }

    [[nodiscard]] timer_subscription every(duration period, std::function<void()> callback) override
    {
        auto entry = make_entry(std::move(callback));
        *entry->m_inner = m_timers.every(period, [this, entry] { on_due(entry); });
        return subscription(entry);
    }

    /// Callbacks that fall due from now on wait.
    void freeze() { m_frozen = true; }

    /// Calls what waited, periodic callbacks once.
    void thaw()
    {
        m_frozen = false;
        const auto waiting = std::exchange(m_waiting, {});
        for (const auto& entry : waiting) {
            entry->m_is_due = false;
            run(entry);
        }
    }

private:
    struct entry_data {
        std::function<void()> m_callback;
        std::shared_ptr<timer_subscription> m_inner = std::make_shared<timer_subscription>();
        bool m_cancelled = false;
        bool m_is_due = false;
    };
    using entry_ptr = std::shared_ptr<entry_data>;

    static entry_ptr make_entry(std::function<void()> callback)
    {
        auto entry = std::make_shared<entry_data>();
        entry->m_callback = std::move(callback);
        return entry;
    }

    static timer_subscription subscription(const entry_ptr& entry)
    {
        return timer_subscription([entry] {
            entry->m_cancelled = true;
            entry->m_inner->cancel();
        });
    }

    static void run(const entry_ptr& entry)
    {
        if (!entry->m_cancelled) {
            entry->m_callback();
        }
    }

    void on_due(const entry_ptr& entry)
    {
        if (!m_frozen) {
            run(entry);
        }
        else if (!entry->m_is_due) {
            entry->m_is_due = true; // a periodic callback is called once for all it missed
            m_waiting.push_back(entry);
        }
    }

    timer_service& m_timers;
    bool m_frozen = false;
    std::deque<entry_ptr> m_waiting;
};

} // namespace pomelohead::testing
