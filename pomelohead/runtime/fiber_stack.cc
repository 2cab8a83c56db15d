// Each stack is a mapping of its own: pages that were never touched take no memory, and neighbours
// do not merge into huge pages.
#include "pomelohead/runtime/fiber_stack.h"

#include <sys/mman.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <new>

namespace pomelohead {
namespace {

// Above what a node can serve at once: one for each connection and more.
constexpr std::size_t max_stacks = 32'768;

std::size_t page_bytes()
{
    static const auto bytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return bytes;
}

} // namespace

std::size_t default_max_fiber_stacks()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_AS, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return max_stacks;
    }
    return std::min<std::size_t>(max_stacks,
                                 limit.rlim_cur / 2 / (fiber_stack_bytes + page_bytes()));
}

bool fiber_stack_pool::reserve(std::size_t spare) noexcept
{
    while (m_unused.size() < spare) {
        if (!map_one()) {
            // What the heap needs is taken from the same address space: this is all there is.
            m_max_stacks = m_mapped;
            break;
        }
    }
    return m_unused.size() >= std::min(spare, std::max<std::size_t>(m_max_stacks / 2, 1));
}

boost::context::stack_context fiber_stack_pool::allocate()
{
    if (!reserve(1)) {
        throw std::bad_alloc();
    }
    boost::context::stack_context stack;
    stack.size = fiber_stack_bytes;
    stack.sp = m_unused.back();
    m_unused.pop_back();
    return stack;
}

void fiber_stack_pool::deallocate(boost::context::stack_context& stack) noexcept
{
    m_unused.push_back(stack.sp); // map_one() has made room
}

bool fiber_stack_pool::map_one() noexcept
{
    if (m_mapped >= m_max_stacks) {
        return false;
    }
    try {
        m_unused.reserve(m_mapped + 1);
    }
    catch (const std::bad_alloc&) {
        return false;
    }
    const std::size_t bytes = fiber_stack_bytes + page_bytes();
    void* const base = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE,
                              MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
    if (base == MAP_FAILED) {
        return false;
    }
    if (::mprotect(base, page_bytes(), PROT_NONE) != 0) {
        ::munmap(base, bytes);
        return false;
    }
    m_unused.push_back(static_cast<char*>(base) + bytes);
    ++m_mapped;
    return true;
}

} // namespace pomelohead
