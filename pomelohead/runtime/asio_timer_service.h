// The timer_service of a running node, over one Asio io_context.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <boost/asio/io_context.hpp>

namespace pomelohead {

/// Runs callbacks in the io_context's thread.
class asio_timer_service final : public timer_service {
public:
    /// `io` must outlive the service and its subscriptions.
    explicit asio_timer_service(boost::asio::io_context& io) : m_io(io) {}

    [[nodiscard]] time_point now() const override { return clock_type::now(); }
    [[nodiscard]] timer_subscription after(duration delay, std::function<void()> callback) override;
    [[nodiscard]] timer_subscription every(duration period,
                                           std::function<void()> callback) override;

private:
    boost::asio::io_context& m_io;
};

} // namespace pomelohead
