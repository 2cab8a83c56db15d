#include "pomelohead/source/source_reader.h"

#include <algorithm>

namespace pomelohead::source {

source_reader::source_reader(reader_options options, timer_service& timers, reader_hooks hooks,
                             std::uint64_t seed)
    : m_options(options), m_timers(timers), m_hooks(std::move(hooks)), m_random(seed),
      m_read_limiter(options.m_burst, options.m_reads_per_s, timers.now()),
      m_backoff(options.m_backoff)
{
}

void source_reader::set_watching(bool on)
{
    if (m_stopped || on == m_status.m_watching) {
        return;
    }
    m_status.m_watching = on;
    if (!on) {
        m_hosts_timer.cancel();
        return;
    }
    m_manifest_index.reset();
    m_hosts_index.reset();
    schedule_hosts(duration::zero());
    schedule_manifest(duration::zero());
}

void source_reader::read_manifest()
{
    if (m_stopped || m_status.m_watching || m_manifest_read_in_flight) {
        return;
    }
    m_single_read_pending = true;
    m_manifest_index.reset();
    schedule_manifest(duration::zero());
}

void source_reader::schedule_manifest(duration delay)
{
    m_manifest_timer =
        m_timers.after(std::max(delay, m_read_limiter.time_until_token(m_timers.now())),
                       [this] { start_manifest_read(); });
}

void source_reader::start_manifest_read()
{
    if (m_stopped || m_manifest_read_in_flight ||
        (!m_status.m_watching && !m_single_read_pending)) {
        return;
    }
    if (!m_read_limiter.try_take(m_timers.now())) {
        schedule_manifest(duration::zero());
        return;
    }
    m_single_read_pending = false;
    m_manifest_read_in_flight = true;
    read_request request{.m_key = "manifest", .m_index = m_manifest_index, .m_wait = {}};
    if (m_manifest_index && !is_polling()) {
        request.m_wait = m_options.m_long_poll_wait;
    }
    send(request, [this](const read_result& answer) { on_manifest_answer(answer); });
}

void source_reader::on_manifest_answer(const read_result& answer)
{
    m_manifest_read_in_flight = false;
    if (answer.m_status == read_status::failed) {
        m_manifest_index.reset();
        if (m_status.m_watching) {
            schedule_manifest(m_backoff.next(m_random));
        }
        return;
    }
    m_backoff.reset();
    if (m_status.m_watching && !m_hosts_index && !m_hosts_read_in_flight) {
        schedule_hosts(duration::zero());
    }
    if (answer.m_status == read_status::unchanged) {
        m_hooks.m_on_unchanged();
    }
    else {
        m_manifest_index = answer.m_index;
        m_status.m_index = answer.m_index;
    }
    if (answer.m_status == read_status::value) {
        m_hooks.m_on_manifest(answer.m_bytes);
    }
    if (m_status.m_watching) {
        schedule_manifest(m_options.m_poll_period);
    }
}

void source_reader::schedule_hosts(duration delay)
{
    m_hosts_timer = m_timers.after(std::max(delay, m_read_limiter.time_until_token(m_timers.now())),
                                   [this] { start_hosts_read(); });
}

void source_reader::start_hosts_read()
{
    if (m_stopped || m_hosts_read_in_flight || !m_status.m_watching) {
        return;
    }
    if (!m_read_limiter.try_take(m_timers.now())) {
        schedule_hosts(duration::zero());
        return;
    }
    m_hosts_read_in_flight = true;
    read_request request{.m_key = "hosts", .m_index = m_hosts_index, .m_wait = {}};
    if (m_hosts_index && !is_polling()) {
        request.m_wait = m_options.m_long_poll_wait;
    }
    send(request, [this](const read_result& answer) { on_hosts_answer(answer); });
}

void source_reader::on_hosts_answer(const read_result& answer)
{
    m_hosts_read_in_flight = false;
    if (answer.m_status == read_status::failed) {
        // Reads of the manifest detect the source's recovery and then trigger this one.
        m_hosts_index.reset();
        schedule_hosts(m_options.m_long_poll_wait);
        return;
    }
    if (answer.m_status != read_status::unchanged) {
        m_hosts_index = answer.m_index;
    }
    if (answer.m_status == read_status::value) {
        m_hooks.m_on_hosts(answer.m_index, answer.m_bytes);
    }
    schedule_hosts(m_options.m_poll_period);
}

void source_reader::fetch_section(const std::string& hash)
{
    if (m_stopped || m_sections_in_flight.contains(hash) ||
        std::ranges::find(m_section_queue, hash) != m_section_queue.end()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> position(0, m_section_queue.size());
    m_section_queue.insert(
        m_section_queue.begin() + static_cast<std::ptrdiff_t>(position(m_random)), hash);
    // The zero delay lets the caller queue all sections before the first read is sent, so that
    // their order is random.
    m_section_timer = m_timers.after(duration::zero(), [this] { send_section_reads(); });
}

void source_reader::send_section_reads()
{
    while (!m_stopped && !m_section_queue.empty() &&
           m_sections_in_flight.size() < m_options.m_max_sections_in_flight) {
        if (!m_read_limiter.try_take(m_timers.now())) {
            m_section_timer = m_timers.after(m_read_limiter.time_until_token(m_timers.now()),
                                             [this] { send_section_reads(); });
            return;
        }
        const std::string hash = m_section_queue.front();
        m_section_queue.pop_front();
        m_sections_in_flight.insert(hash);
        send({.m_key = "sections/" + hash, .m_index = std::nullopt, .m_wait = {}},
             [this, hash](read_result answer) { on_section_answer(hash, std::move(answer)); });
    }
}

void source_reader::on_section_answer(const std::string& hash, read_result answer)
{
    m_sections_in_flight.erase(hash);
    if (answer.m_status == read_status::value) {
        m_hooks.m_on_section(hash, std::move(answer.m_bytes));
    }
    else if (answer.m_status == read_status::absent) {
        m_hooks.m_on_section_failed(hash,
                                    {reason_code::not_found, "the source has no section " + hash});
    }
    else {
        m_hooks.m_on_section_failed(hash, answer.m_why);
    }
    send_section_reads();
}

void source_reader::send(const read_request& request, std::function<void(read_result)> done)
{
    ++m_status.m_reads;
    m_hooks.m_read(request,
                   [this, generation = m_generation, done = std::move(done)](read_result answer) {
                       if (generation == m_generation && !m_stopped) {
                           record_contact(answer);
                           done(std::move(answer));
                       }
                   });
}

void source_reader::record_contact(const read_result& answer)
{
    if (answer.m_status == read_status::failed) {
        m_status.m_state = "down";
        m_status.m_last_failure = answer.m_why;
        return;
    }
    m_status.m_state = "up";
    m_status.m_last_contact = m_timers.now();
}

void source_reader::restart()
{
    ++m_generation;
    m_manifest_read_in_flight = false;
    m_manifest_index.reset();
    m_hosts_read_in_flight = false;
    m_hosts_index.reset();
    m_section_queue.clear();
    m_sections_in_flight.clear();
    if (m_status.m_watching) {
        schedule_hosts(duration::zero());
        schedule_manifest(duration::zero());
    }
}

void source_reader::stop()
{
    m_stopped = true;
    m_manifest_timer.cancel();
    m_section_timer.cancel();
    m_hosts_timer.cancel();
}

} // namespace pomelohead::source
