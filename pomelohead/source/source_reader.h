// Schedules reads of the platform's configuration service.
//
// While watching, the reader follows `manifest` and `hosts` by long polls, or by periodic
// reads; otherwise it reads only on request. One token bucket limits the rate of all reads;
// after a failed read of the manifest the next one is delayed by full-jitter backoff.
// Sections are read a few at a time, in random order, so that nodes that start together do
// not read the same sections at the same time.
//
// The reader does no I/O: it sends reads through a hook and passes a callback for the
// result.
#pragma once

#include "pomelohead/source/backoff.h"
#include "pomelohead/source/source_client.h"
#include "pomelohead/source/token_bucket.h"

#include <deque>
#include <functional>
#include <set>

namespace pomelohead::source {

/// Options of a reader.
struct reader_options {
    milliseconds m_long_poll_wait{30'000}; ///< maximum wait of a long poll
    milliseconds m_poll_period{0};         ///< between reads while watching; 0: use long polls
    double m_burst = 48;                   ///< reads that may be sent without delay
    double m_reads_per_s = 2;              ///< long-term limit
    std::size_t m_max_sections_in_flight = 8;
    backoff_options m_backoff{};

    bool operator==(const reader_options&) const = default;
};

/// Callbacks of a reader to its owner.
struct reader_hooks {
    std::function<void(const read_request&, std::function<void(read_result)>)> m_read;
    std::function<void(const std::string& bytes)> m_on_manifest;
    std::function<void(std::uint64_t index, const std::string& bytes)> m_on_hosts;
    std::function<void(const std::string& hash, std::string bytes)> m_on_section;
    std::function<void(const std::string& hash, const reason&)> m_on_section_failed;
    std::function<void()> m_on_unchanged; ///< a long poll ended without a newer manifest
};

/// State of the contact with the source.
struct source_status {
    std::string m_state = "not asked"; ///< "not asked", "up" or "down"
    bool m_watching = false;
    std::optional<time_point> m_last_contact;
    std::uint64_t m_index = 0; ///< modification index of the newest manifest read
    std::uint64_t m_reads = 0;
    reason m_last_failure;

    bool operator==(const source_status&) const = default;
};

/// Schedules one node's reads of the source.
class source_reader {
public:
    source_reader(reader_options options, timer_service& timers, reader_hooks hooks,
                  std::uint64_t seed);

    /// Starts or stops following the source. A long poll in flight is not cancelled.
    void set_watching(bool on);

    /// Reads the manifest once, unless the reader is watching or a read is in flight.
    void read_manifest();

    /// Reads a section by its hash; calls m_on_section or m_on_section_failed with the result.
    void fetch_section(const std::string& hash);

    /// Discards reads in flight and starts over, for use after the process was frozen.
    void restart();

    /// Sends no more reads and ignores results of those in flight.
    void stop();

    [[nodiscard]] const source_status& status() const { return m_status; }

private:
    [[nodiscard]] bool is_polling() const { return m_options.m_poll_period > milliseconds(0); }
    void schedule_manifest(duration delay);
    void start_manifest_read();
    void on_manifest_answer(const read_result& answer);
    void schedule_hosts(duration delay);
    void start_hosts_read();
    void on_hosts_answer(const read_result& answer);
    void send_section_reads();
    void on_section_answer(const std::string& hash, read_result answer);
    void send(const read_request& request, std::function<void(read_result)> done);
    void record_contact(const read_result& answer);

    reader_options m_options;
    timer_service& m_timers;
    reader_hooks m_hooks;
    std::mt19937_64 m_random;
    token_bucket m_read_limiter;
    backoff m_backoff;
    source_status m_status;
    std::uint64_t m_generation = 0; // results of reads of an earlier generation are ignored
    bool m_stopped = false;
    bool m_manifest_read_in_flight = false;
    bool m_single_read_pending = false; // read once although not watching
    std::optional<std::uint64_t> m_manifest_index;
    bool m_hosts_read_in_flight = false;
    std::optional<std::uint64_t> m_hosts_index;
    std::deque<std::string> m_section_queue;
    std::set<std::string> m_sections_in_flight;
    timer_subscription m_manifest_timer;
    timer_subscription m_section_timer;
    timer_subscription m_hosts_timer;
};

} // namespace pomelohead::source
