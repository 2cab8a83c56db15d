#include "pomelohead/source/source_reader.h"

#include <algorithm>

namespace pomelohead::source {

source_reader::source_reader(reader_options options, timer_service& timers, reader_hooks hooks,
                             std::uint64_t seed)
    : m_options(options), m_timers(timers), m_hooks(std::move(hooks)), m_random(seed),
      m_bucket(options.m_burst, options.m_reads_per_s, timers.now()), m_retry(options.m_retry)
{
}

void source_reader::watch(bool on)
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
    if (m_stopped || m_status.m_watching || m_manifest_under_way) {
        return;
    }
    m_single_read = true;
    m_manifest_index.reset();
    schedule_manifest(duration::zero());
}

void source_reader::schedule_manifest(duration delay)
{
    m_manifest_timer = m_timers.after(std::max(delay, m_bucket.wait(m_timers.now())),
                                      [this] { start_manifest_read(); });
}

void source_reader::start_manifest_read()
{
    if (m_stopped || m_manifest_under_way || (!m_status.m_watching && !m_single_read)) {
        return;
    }
    if (!m_bucket.take(m_timers.now())) {
        schedule_manifest(duration::zero());
        return;
    }
    m_single_read = false;
    m_manifest_under_way = true;
    read_request request{.m_key = "manifest", .m_index = m_manifest_index, .m_wait = {}};
    if (m_manifest_index && !is_polling()) {
        request.m_wait = m_options.m_poll_wait;
    }
    send(request, [this](const read_answer& answer) { on_manifest_answer(answer); });
}

void source_reader::on_manifest_answer(const read_answer& answer)
{
    m_manifest_under_way = false;
    if (answer.m_status == read_status::failed) {
        m_manifest_index.reset();
        if (m_status.m_watching) {
            schedule_manifest(m_retry.next(m_random));
        }
        return;
    }
    m_retry.reset();
    if (m_status.m_watching && !m_hosts_index && !m_hosts_under_way) {
        schedule_hosts(duration::zero());
    }
    if (answer.m_status == read_status::unchanged) {
        m_hooks.m_confirmed();
    }
    else {
        m_manifest_index = answer.m_index;
        m_status.m_index = answer.m_index;
    }
    if (answer.m_status == read_status::value) {
        m_hooks.m_manifest(answer.m_bytes);
    }
    if (m_status.m_watching) {
        schedule_manifest(m_options.m_poll_period);
    }
}

void source_reader::schedule_hosts(duration delay)
{
    m_hosts_timer = m_timers.after(std::max(delay, m_bucket.wait(m_timers.now())),
                                   [this] { start_hosts_read(); });
}

void source_reader::start_hosts_read()
{
    if (m_stopped || m_hosts_under_way || !m_status.m_watching) {
        return;
    }
    if (!m_bucket.take(m_timers.now())) {
        schedule_hosts(duration::zero());
        return;
    }
    m_hosts_under_way = true;
    read_request request{.m_key = "hosts", .m_index = m_hosts_index, .m_wait = {}};
    if (m_hosts_index && !is_polling()) {
        request.m_wait = m_options.m_poll_wait;
    }
    send(request, [this](const read_answer& answer) { on_hosts_answer(answer); });
}

void source_reader::on_hosts_answer(const read_answer& answer)
{
    m_hosts_under_way = false;
    if (answer.m_status == read_status::failed) {
        // The manifest's reads find out when the source is back.
        m_hosts_index.reset();
        schedule_hosts(m_options.m_poll_wait);
        return;
    }
    if (answer.m_status != read_status::unchanged) {
        m_hosts_index = answer.m_index;
    }
    if (answer.m_status == read_status::value) {
        m_hooks.m_hosts(answer.m_index, answer.m_bytes);
    }
    schedule_hosts(m_options.m_poll_period);
}

void source_reader::fetch_section(const std::string& hash)
{
    if (m_stopped || m_sections_under_way.contains(hash) ||
        std::ranges::find(m_section_queue, hash) != m_section_queue.end()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> place(0, m_section_queue.size());
    m_section_queue.insert(m_section_queue.begin() + static_cast<std::ptrdiff_t>(place(m_random)),
                           hash);
    // A timer of no delay lets the whole list come in before the first one goes out.
    m_section_timer = m_timers.after(duration::zero(), [this] { pump_sections(); });
}

void source_reader::pump_sections()
{
    while (!m_stopped && !m_section_queue.empty() &&
           m_sections_under_way.size() < m_options.m_parallel_sections) {
        if (!m_bucket.take(m_timers.now())) {
            m_section_timer =
                m_timers.after(m_bucket.wait(m_timers.now()), [this] { pump_sections(); });
            return;
        }
        const std::string hash = m_section_queue.front();
        m_section_queue.pop_front();
        m_sections_under_way.insert(hash);
        send({.m_key = "sections/" + hash, .m_index = std::nullopt, .m_wait = {}},
             [this, hash](read_answer answer) { on_section_answer(hash, std::move(answer)); });
    }
}

void source_reader::on_section_answer(const std::string& hash, read_answer answer)
{
    m_sections_under_way.erase(hash);
    if (answer.m_status == read_status::value) {
        m_hooks.m_section(hash, std::move(answer.m_bytes));
    }
    else if (answer.m_status == read_status::absent) {
        m_hooks.m_section_failed(
            hash, {reason_code::not_found, "the source does not have section " + hash});
    }
    else {
        m_hooks.m_section_failed(hash, answer.m_why);
    }
    pump_sections();
}

void source_reader::send(const read_request& request, std::function<void(read_answer)> done)
{
    ++m_status.m_reads;
    m_hooks.m_read(request,
                   [this, generation = m_generation, done = std::move(done)](read_answer answer) {
                       if (generation == m_generation && !m_stopped) {
                           note(answer);
                           done(std::move(answer));
                       }
                   });
}

void source_reader::note(const read_answer& answer)
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
    m_manifest_under_way = false;
    m_manifest_index.reset();
    m_hosts_under_way = false;
    m_hosts_index.reset();
    m_section_queue.clear();
    m_sections_under_way.clear();
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
