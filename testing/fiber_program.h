// Runs a test's body in a fiber over an Asio io_context of its own.
//
//     run_in_fiber([&](boost::asio::io_context& io) { ... });
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>

namespace pomelohead::testing {

/// Returns when `body` has. The body must have ended all fibers that it started.
void run_in_fiber(const std::function<void(boost::asio::io_context&)>& body);

} // namespace pomelohead::testing
