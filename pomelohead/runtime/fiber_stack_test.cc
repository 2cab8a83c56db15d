#include "pomelohead/runtime/fiber_stack.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>
#include <cerrno>
#include <new>

namespace pomelohead {
namespace {

// Whether the system can read the byte.
bool is_mapped(const void* byte)
{
    std::array<int, 2> pipe{};
    BOOST_REQUIRE(::pipe(pipe.data()) == 0);
    const bool succeeded = ::write(pipe[1], byte, 1) == 1;
    BOOST_TEST((succeeded || errno == EFAULT));
    ::close(pipe[0]);
    ::close(pipe[1]);
    return succeeded;
}

} // namespace

// Guards against a stack that overflows into the one below it.
BOOST_AUTO_TEST_CASE(byte_below_a_stack_is_not_accessible)
{
    fiber_stack_pool pool(2);
    for (int i = 0; i < 2; ++i) {
        const auto stack = pool.allocate();
        char* const lowest = static_cast<char*>(stack.sp) - stack.size;
        BOOST_TEST(stack.size == fiber_stack_bytes);
        BOOST_TEST(is_mapped(lowest));
        BOOST_TEST(!is_mapped(lowest - 1));
    }
}

BOOST_AUTO_TEST_CASE(stacks_are_bounded_and_used_again)
{
    fiber_stack_pool pool(4);
    BOOST_TEST(pool.reserve(2));
    BOOST_TEST(pool.mapped() == 2U);
    BOOST_TEST(pool.reserve(100)); // half of them are enough
    std::vector<boost::context::stack_context> stacks;
    for (const bool is_half_left : {true, true, false, false}) {
        stacks.push_back(pool.allocate());
        BOOST_TEST(pool.reserve(100) == is_half_left);
    }
    BOOST_CHECK_THROW(pool.allocate(), std::bad_alloc);
    pool.deallocate(stacks.back());
    BOOST_TEST(pool.reserve(1));
    BOOST_TEST(pool.allocate().sp == stacks.back().sp);
    BOOST_TEST(pool.mapped() == 4U);
}

} // namespace pomelohead
