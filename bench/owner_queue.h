// What the simulation asks of an owner: the policy, or a plain queue as a baseline.
#pragma once

#include "pomelohead/admission/slot_queue.h"

#include <deque>
#include <memory>
#include <unordered_set>

namespace pomelohead::bench {

using request_ids = std::vector<std::uint64_t>;

/// The part of admission::slot_queue that the simulation uses.
class owner_queue {
public:
    owner_queue() = default;
    owner_queue(const owner_queue&) = delete;
    owner_queue& operator=(const owner_queue&) = delete;
    virtual ~owner_queue() = default;

    [[nodiscard]] virtual admission::decision offer(const admission::request_facts& facts,
                                                    time_point now) = 0;
    [[nodiscard]] virtual request_ids finish(std::uint64_t id, time_point now,
                                             admission::request_end how) = 0;
    [[nodiscard]] virtual request_ids expire(time_point now) = 0;
    [[nodiscard]] virtual request_ids due_starts(time_point now) = 0;
    [[nodiscard]] virtual bool withdraw(std::uint64_t id) = 0;
    [[nodiscard]] virtual std::optional<time_point> next_deadline() const = 0;
    [[nodiscard]] virtual admission::load_report word() const = 0;
    [[nodiscard]] virtual std::uint32_t load() const = 0; ///< running and queued
};

/// admission::slot_queue itself.
class policy_queue final : public owner_queue {
public:
    policy_queue(const admission::admission_options& options, std::uint32_t slots)
        : m_queue(options, slots)
    {
    }
    admission::decision offer(const admission::request_facts& facts, time_point now) override
    {
        return m_queue.offer(facts, now);
    }
    request_ids finish(std::uint64_t id, time_point now, admission::request_end how) override
    {
        return m_queue.finish(id, now, how);
    }
    request_ids expire(time_point now) override { return m_queue.expire(now); }
    request_ids due_starts(time_point now) override { return m_queue.due_starts(now); }
    bool withdraw(std::uint64_t id) override { return m_queue.withdraw(id); }
    std::optional<time_point> next_deadline() const override { return m_queue.next_deadline(); }
    admission::load_report word() const override { return m_queue.current_load(); }
    std::uint32_t load() const override { return m_queue.running() + m_queue.queued(); }

private:
    admission::slot_queue m_queue;
};

/// First in, first out, without a bound and without deadlines.
class fifo_queue final : public owner_queue {
public:
    explicit fifo_queue(std::uint32_t slots) : m_slots(slots) {}

    admission::decision offer(const admission::request_facts& facts, time_point /*now*/) override
    {
        if (m_running.size() < m_slots) {
            m_running.insert(facts.m_id);
            return {admission::verdict::start, {}, {}};
        }
        m_waiting.push_back(facts.m_id);
        return {admission::verdict::queued, {}, {}};
    }
    request_ids finish(std::uint64_t id, time_point /*now*/,
                       admission::request_end /*how*/) override
    {
        if (m_running.erase(id) == 0 || m_waiting.empty()) {
            return {};
        }
        const std::uint64_t next = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(next);
        return {next};
    }
    request_ids expire(time_point /*now*/) override { return {}; }
    request_ids due_starts(time_point /*now*/) override { return {}; }
    bool withdraw(std::uint64_t id) override { return std::erase(m_waiting, id) > 0; }
    std::optional<time_point> next_deadline() const override { return std::nullopt; }
    admission::load_report word() const override
    {
        const auto running = static_cast<std::uint32_t>(m_running.size());
        const auto waiting = static_cast<std::uint32_t>(m_waiting.size());
        return {m_slots - running, waiting, waiting, m_slots - running, waiting};
    }
    std::uint32_t load() const override
    {
        return static_cast<std::uint32_t>(m_running.size() + m_waiting.size());
    }

private:
    std::uint32_t m_slots;
    std::unordered_set<std::uint64_t> m_running;
    std::deque<std::uint64_t> m_waiting;
};

} // namespace pomelohead::bench
