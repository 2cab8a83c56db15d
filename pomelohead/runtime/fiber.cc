// The scheduler keeps ready fibers in a queue and runs them in turn. When none is
// ready, Boost.Fiber calls suspend_until() on the dispatcher's own stack, and only
// there the io_context runs: a completion handler may therefore make any fiber
// ready, but never interrupts the switch from one fiber to another. The pattern is
// the "embedded main loop" of Boost.Fiber's documentation on Asio integration.
#include "pomelohead/runtime/fiber.h"

#include "pomelohead/runtime/fiber_stack.h"
#include "pomelohead/runtime/guarded_call.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include <memory>

namespace pomelohead {
namespace {

// Handlers run at one go before ready fibers get their turn.
constexpr int max_handlers_per_turn = 64;

class asio_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit asio_scheduler(std::shared_ptr<boost::asio::io_context> io)
        : m_owned(std::move(io)), m_io(*m_owned), m_guard(m_io.get_executor())
    {
    }

    void awakened(boost::fibers::context* fiber) noexcept override { fiber->ready_link(m_ready); }

    boost::fibers::context* pick_next() noexcept override
    {
        if (m_ready.empty()) {
            return nullptr;
        }
        boost::fibers::context* fiber = &m_ready.front();
        m_ready.pop_front();
        return fiber;
    }

    [[nodiscard]] bool has_ready_fibers() const noexcept override { return !m_ready.empty(); }

    void suspend_until(const time_point& until) noexcept override
    {
        guarded_call("handler_failed", [&] { run_handlers(until); });
    }

    void notify() noexcept override
    {
        boost::asio::post(m_io, [] {});
    }

private:
    void run_handlers(const time_point& until)
    {
        const std::size_t handled =
            until == time_point::max() ? m_io.run_one() : m_io.run_one_until(until);
        if (handled == 0) {
            return;
        }
        for (int i = 1; i < max_handlers_per_turn && m_io.poll_one() > 0; ++i) {
        }
    }

    // The thread's last fibers end after its main function has returned.
    std::shared_ptr<boost::asio::io_context> m_owned;
    boost::asio::io_context& m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    boost::fibers::scheduler::ready_queue_type m_ready;
};

fiber_stack_pool& stacks()
{
    static fiber_stack_pool pool(default_max_fiber_stacks());
    return pool;
}

} // namespace

boost::asio::io_context& install_fiber_scheduler()
{
    constexpr int one_thread = 1;
    auto io = std::make_shared<boost::asio::io_context>(one_thread);
    boost::fibers::use_scheduling_algorithm<asio_scheduler>(io);
    return *io;
}

void spawn_detached(std::function<void()> body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         fiber_stack_allocator(stacks()),
                         [body = std::move(body)] { guarded_call("fiber_failed", body); })
        .detach();
}

bool can_start_fibers(std::size_t count)
{
    return stacks().reserve(count);
}

void sleep_for(duration delay)
{
    boost::this_fiber::sleep_for(delay);
}

void fiber_group::spawn(std::function<void()> body)
{
    spawn_detached([this, body = std::move(body)] {
        guarded_call("fiber_failed", body);
        --m_running;
        if (m_running == 0) {
            m_ended.notify_all();
        }
    });
    ++m_running; // the fiber starts later, and not at all if spawn_detached() throws
}

void fiber_group::wait()
{
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_ended.wait(lock, [this] { return m_running == 0; });
}

void fiber_condition::wait(const std::function<bool()>& is_met)
{
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_changed.wait(lock, is_met);
}

void fiber_event::set()
{
    m_set = true;
    m_changed.notify_all();
}

void fiber_event::wait()
{
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_set; });
}

bool fiber_event::wait_for(duration limit)
{
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_set; });
}

} // namespace pomelohead
