// Stacks of fibers, each with a guard page below it, so that an overflow ends the process where it
// happens instead of overwriting the stack below.
//
//     fiber_stack_pool stacks(default_max_fiber_stacks());
//     if (stacks.reserve(spare)) ...              // room for `spare` more fibers
//     boost::fibers::fiber(std::allocator_arg, fiber_stack_allocator(stacks), body).detach();
//
// A stack that is given back is used again and stays mapped. Not for use by several threads.
#pragma once

#include <boost/context/stack_context.hpp>

#include <cstddef>
#include <vector>

namespace pomelohead {

inline constexpr std::size_t fiber_stack_bytes = 128UL * 1024UL;

/// The most stacks that a process maps. Where the system limits the address space
/// (RLIMIT_AS), they take at most half of it, so that the heap can grow.
[[nodiscard]] std::size_t default_max_fiber_stacks();

/// A set of stacks that is filled as needed.
class fiber_stack_pool {
public:
    explicit fiber_stack_pool(std::size_t max_stacks) : m_max_stacks(max_stacks) {}
    fiber_stack_pool(const fiber_stack_pool&) = delete;
    fiber_stack_pool& operator=(const fiber_stack_pool&) = delete;

    /// Whether at least `spare` stacks are unused, or half of all that can be mapped if that is
    /// less. Maps what is missing.
    bool reserve(std::size_t spare) noexcept;

    /// Returns an unused stack. Throws std::bad_alloc if there is none.
    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context& stack) noexcept;

    [[nodiscard]] std::size_t mapped() const { return m_mapped; }

private:
    bool map_one() noexcept;

    std::size_t m_max_stacks;
    std::size_t m_mapped = 0;
    std::vector<void*> m_unused; ///< upper ends
};

/// What Boost.Fiber copies into a fiber to return its stack; refers to a pool.
class fiber_stack_allocator {
public:
    /// `pool` must outlive all fibers.
    explicit fiber_stack_allocator(fiber_stack_pool& pool) : m_pool(&pool) {}

    boost::context::stack_context allocate() { return m_pool->allocate(); }
    void deallocate(boost::context::stack_context& stack) noexcept { m_pool->deallocate(stack); }

private:
    fiber_stack_pool* m_pool;
};

} // namespace pomelohead
