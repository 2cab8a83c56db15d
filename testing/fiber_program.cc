#include "testing/fiber_program.h"

#include "pomelohead/runtime/fiber.h"

#include <exception>
#include <thread>

namespace pomelohead::testing {

void run_in_fiber(const std::function<void(boost::asio::io_context&)>& body)
{
    // A thread has one scheduler for its life, so each body gets a thread of its own.
    std::exception_ptr failure;
    std::thread program([&] {
        boost::asio::io_context& io = install_fiber_scheduler();
        try {
            body(io);
        }
        catch (...) {
            failure = std::current_exception();
        }
    });
    program.join();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace pomelohead::testing
