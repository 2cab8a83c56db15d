#include "pomelohead/distribution/core.h"

namespace pomelohead::distribution {

core::core(core_options options, timer_service& timers, core_hooks hooks, std::uint64_t seed)
    : m_options(std::move(options)), m_timers(timers), m_hooks(std::move(hooks)),
      m_versions(
          m_options.m_replicator,
          {.m_send = [this](const std::string& address,
                            const message& item) { m_hooks.m_send(address, item); },
           .m_fetch_section = [this](const std::string& hash) { m_reader.fetch_section(hash); },
           .m_in_force =
               [this](config::snapshot_ptr config) { m_hooks.m_applied(std::move(config)); },
           .m_log = m_hooks.m_log},
          seed),
      m_reader(m_options.m_reader, timers,
               {.m_read = m_hooks.m_read,
                .m_manifest =
                    [this](const std::string& bytes) {
                        m_versions.on_source_manifest(bytes, m_timers.now());
                    },
                .m_hosts = [](std::uint64_t, const std::string&) {},
                .m_section =
                    [this](const std::string& hash, std::string bytes) {
                        m_versions.on_source_section(hash, std::move(bytes), m_timers.now());
                    },
                .m_section_failed =
                    [this](const std::string& hash, const reason& why) {
                        m_versions.on_source_section_failed(hash, why, m_timers.now());
                    },
                .m_confirmed = [] {}},
               seed + 1)
{
}

void core::start()
{
    m_versions.allow_first(true, m_timers.now());
    m_tick = m_timers.every(m_options.m_tick, [this] { tick(); });
    m_reader.watch(true);
}

void core::stop()
{
    m_tick.cancel();
    m_reader.stop();
}

void core::tick()
{
    m_versions.tick(m_timers.now());
}

} // namespace pomelohead::distribution
