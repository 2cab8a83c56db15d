// Decides when to read the platform's configuration service.
//
// A watcher follows `manifest` by long polls and reads `hosts` now and then; any
// other node reads only what it is told to. All reads pass one token bucket; after
// failures the next one waits by full-jitter backoff. Sections are read a few at a
// time, in random order, so that nodes that start together do not ask for the same
// ones at once.
//
// The reader does no I/O: reads go out by a hook and their answers come back by
// the callback that it hands over.
#pragma once

#include "pomelohead/source/backoff.h"
#include "pomelohead/source/source_client.h"
#include "pomelohead/source/token_bucket.h"

#include <deque>
#include <functional>
#include <set>

namespace pomelohead::source {

/// Limits of a reader.
struct reader_options {
    milliseconds m_poll_wait{30'000}; ///< of a long poll
    milliseconds m_poll_period{0};    ///< between reads of the manifest; 0: long polls
    double m_burst = 48;              ///< reads that may follow each other at once
    double m_reads_per_s = 2;         ///< in the long run
    std::size_t m_parallel_sections = 8;
    backoff_options m_retry{};

    bool operator==(const reader_options&) const = default;
};

/// What a reader asks of its owner.
struct reader_hooks {
    std::function<void(const read_request&, std::function<void(read_answer)>)> m_read;
    std::function<void(const std::string& bytes)> m_manifest;
    std::function<void(std::uint64_t index, const std::string& bytes)> m_hosts;
    std::function<void(const std::string& hash, std::string bytes)> m_section;
    std::function<void(const std::string& hash, const reason&)> m_section_failed;
    std::function<void()> m_confirmed; ///< the source has nothing newer than what it gave last
};

/// What is known of the source.
struct source_status {
    std::string m_state = "not asked"; ///< "not asked", "up" or "down"
    bool m_watching = false;
    std::optional<time_point> m_last_contact;
    std::uint64_t m_index = 0; ///< of the manifest last seen
    std::uint64_t m_reads = 0;
    reason m_last_failure;

    bool operator==(const source_status&) const = default;
};

/// One node's reading of the source.
class source_reader {
public:
    source_reader(reader_options options, timer_service& timers, reader_hooks hooks,
                  std::uint64_t seed);

    /// Starts or stops following the source. A long poll under way is let run out.
    void watch(bool on);

    /// Reads the manifest once, unless a read of it is under way.
    void read_manifest();

    /// Reads a section by its hash; the outcome comes by m_section or m_section_failed.
    void fetch_section(const std::string& hash);

    /// Forgets all reads under way and begins anew, as after a freeze.
    void restart();

    /// Makes no more reads.
    void stop();

    [[nodiscard]] const source_status& status() const { return m_status; }

private:
    [[nodiscard]] bool is_polling() const { return m_options.m_poll_period > milliseconds(0); }
    void schedule_manifest(duration delay);
    void start_manifest_read();
    void on_manifest_answer(const read_answer& answer);
    void schedule_hosts(duration delay);
    void start_hosts_read();
    void on_hosts_answer(const read_answer& answer);
    void pump_sections();
    void on_section_answer(const std::string& hash, read_answer answer);
    void send(const read_request& request, std::function<void(read_answer)> done);
    void note(const read_answer& answer);

    reader_options m_options;
    timer_service& m_timers;
    reader_hooks m_hooks;
    std::mt19937_64 m_random;
    token_bucket m_bucket;
    backoff m_retry;
    source_status m_status;
    std::uint64_t m_generation = 0; // answers to reads of an earlier one are ignored
    bool m_stopped = false;
    bool m_manifest_under_way = false;
    bool m_single_read = false; // one read although not watching
    std::optional<std::uint64_t> m_manifest_index;
    bool m_hosts_under_way = false;
    std::optional<std::uint64_t> m_hosts_index;
    std::deque<std::string> m_section_queue;
    std::set<std::string> m_sections_under_way;
    timer_subscription m_manifest_timer;
    timer_subscription m_section_timer;
    timer_subscription m_hosts_timer;
};

} // namespace pomelohead::source
