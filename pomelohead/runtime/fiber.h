// Fibers over Asio: sequential code that waits without blocking the thread.
//
// A process has one thread. It installs the scheduler once, starts fibers, and
// runs until its main function returns. A fiber waits for an asynchronous
// operation by await(), which hands the operation a completion handler:
//
//     boost::asio::io_context& io = install_fiber_scheduler();
//     fiber_group fibers;
//     fibers.spawn([&] {
//         auto [error, size] = await<boost::system::error_code, std::size_t>(
//             [&](auto handler) { socket.async_read_some(buffer, std::move(handler)); });
//     });
//     fibers.wait();
//
// All fibers share the thread, so data needs no locks, but any call that waits
// may let another fiber run: check what was read before it again.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/mutex.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <tuple>
#include <utility>

namespace pomelohead {

/// Makes the calling thread's fibers wait in an io_context, which lives as long as
/// the thread. Call once in a thread, before any fiber starts.
boost::asio::io_context& install_fiber_scheduler();

/// Starts a fiber of the calling thread that nobody waits for. An exception that leaves `body` is
/// logged and ends the fiber, no other. Throws std::bad_alloc if there is no memory for its stack.
void spawn_detached(std::function<void()> body);

/// Whether there is memory for the stacks of `count` more fibers. Work that can be refused asks
/// first, and leaves some for work that cannot.
[[nodiscard]] bool can_start_fibers(std::size_t count);

/// Lets other fibers run for `delay`.
void sleep_for(duration delay);

/// Starts an asynchronous operation and suspends the calling fiber until it completes.
///
/// `start` is called with a move-only handler of signature void(Results...). The
/// operation must call it exactly once, in the same thread; cancel the operation
/// by its own object (socket, timer), which completes it with an error.
template <class... Results, class Start>
std::tuple<Results...> await(Start&& start)
{
    std::optional<std::tuple<Results...>> outcome;
    bool suspended = false;
    boost::fibers::context* waiter = boost::fibers::context::active();
    std::forward<Start>(start)([&outcome, &suspended, waiter](Results... results) {
        outcome.emplace(std::move(results)...);
        if (suspended) {
            boost::fibers::context::active()->schedule(waiter);
        }
    });
    if (!outcome) {
        suspended = true;
        waiter->suspend();
    }
    return std::move(*outcome);
}

/// A set of fibers whose end can be waited for.
class fiber_group {
public:
    fiber_group() = default;
    fiber_group(const fiber_group&) = delete;
    fiber_group& operator=(const fiber_group&) = delete;
    ~fiber_group() { wait(); }

    /// Starts a fiber that belongs to the group, as spawn_detached() does.
    void spawn(std::function<void()> body);

    /// Suspends the calling fiber until all fibers of the group have ended.
    void wait();

    /// The number of fibers that have not ended.
    [[nodiscard]] std::size_t size() const { return m_running; }

private:
    std::size_t m_running = 0;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_ended;
};

/// A state that several fibers of one thread may wait for, each for its own condition.
class fiber_condition {
public:
    /// Lets all waiting fibers look at their conditions again.
    void notify() { m_changed.notify_all(); }

    /// Suspends the calling fiber until `is_met()`.
    void wait(const std::function<bool()>& is_met);

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

/// A one-shot or repeatable signal to one fiber of the same thread. A reset() between
/// set() and the wake-up of another waiting fiber would be lost on that one.
class fiber_event {
public:
    /// Wakes all waiting fibers, and lets later waits pass until reset().
    void set();
    void reset() { m_set = false; }
    [[nodiscard]] bool is_set() const { return m_set; }

    /// Suspends the calling fiber until set().
    void wait();

    /// Like wait(), for at most `limit`. Returns whether the event was set.
    bool wait_for(duration limit);

private:
    bool m_set = false;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

} // namespace pomelohead
