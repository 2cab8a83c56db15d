#include "pomelohead/node/node.h"

#include "pomelohead/node/admin_pages.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::node {
namespace {

constexpr duration refresh_period = std::chrono::milliseconds(200);

// A gap between refreshes above this is a freeze of the process.
constexpr duration freeze_limit = std::chrono::milliseconds(1000);

// How long a node that woke from a freeze waits for others to confirm what it
// believes before it goes on alone.
constexpr duration max_hold = std::chrono::seconds(2);

// Orders the starts of one host's node. Hosts keep nothing, so the wall clock is
// all that outlives a process; safety does not rest on it (outcome/ticket.h).
std::uint64_t make_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

double seconds_or(const std::optional<milliseconds>& d, double otherwise)
{
    return d ? std::chrono::duration<double>(*d).count() : otherwise;
}

} // namespace

node::node(settings::node_settings settings, boost::asio::io_context& io, const adapter& parts)
    : m_io(io), m_settings(std::move(settings)), m_open_store(parts.m_open_store), m_timers(io),
      m_delay(m_timers), m_incarnation(make_incarnation()), m_started(m_timers.now()),
      m_freeze(freeze_limit, m_started),
      m_catalog(m_settings.m_store ? std::make_unique<discovery::catalog>(
                                         io, catalog_options_of(m_settings, m_incarnation),
                                         m_timers, opener_of(*m_settings.m_store), parts.m_decode)
                                   : nullptr),
      m_distributor(distribution_options_of(m_settings), m_timers, io), m_members([this] {
          return m_catalog ? std::vector<membership::member>{} : m_distributor.members();
      }),
      m_shutdown(
          m_timers, shutdown_options_of(m_settings),
          [this](lifecycle::shutdown_phase phase) { on_phase(phase); },
          [this] { cut_connections(); }),
      m_owner(io, m_timers, m_stats, owner_options_of(m_settings, parts.m_dialect, m_incarnation),
              {.m_config = [this] { return current(); },
               .m_is_draining = [this](const std::string& target) { return is_draining(target); },
               .m_on_request_started = [this] { m_shutdown.request_began(); },
               .m_on_request_ended = [this] { m_shutdown.request_ended(); },
               .m_delay = [this] { return m_delay.value(); }}),
      m_entry(
          io, m_timers, m_stats, entry_options_of(m_settings, parts.m_dialect, m_incarnation),
          {.m_config = [this] { return current(); },
           .m_is_alive = [this](const std::string& address) { return m_members.is_alive(address); },
           .m_is_host = [this](const std::string& address) { return is_host(address); },
           .m_on_request_started = [this] { m_shutdown.request_began(); },
           .m_on_request_ended = [this] { m_shutdown.request_ended(); },
           .m_is_config_current = [this] { return is_configuration_current(); },
           .m_config_age = [this] { return configuration_age(); },
           .m_finish_by = [this] { return m_shutdown.finish_by(); }}),
      m_admin(io, {m_settings.m_listen.m_address, m_settings.m_listen.m_admin_port}, {},
              [this](forwarding::server_exchange& e) { serve_admin(*this, e); }),
      m_ready_path(parts.m_dialect.m_ready_path),
      m_ready(io, {m_settings.m_listen.m_address, m_settings.m_listen.m_ready_port}, {},
              [this](forwarding::server_exchange& e) { serve_ready(e); })
{
    add_gauges();
}

node::~node() = default;

discovery::open_part_fn node::opener_of(const settings::source_settings& where)
{
    return [this, where](source::store_part part) { return m_open_store(m_io, where, part); };
}

void node::add_gauges()
{
    m_stats.gauge("config_version", [this] {
        const config::snapshot_ptr now = current();
        return now ? static_cast<double>(now->m_version) : 0.0;
    });
    m_stats.gauge("config_age_seconds",
                  [this] { return seconds_or(m_distributor.status().m_config_age, -1); });
    m_stats.gauge("config_known_age_seconds", [this] {
        const std::optional<duration> age = configuration_age();
        return age ? std::chrono::duration<double>(*age).count() : -1;
    });
    m_stats.gauge("source_up",
                  [this] { return m_distributor.status().m_source.m_state == "up" ? 1.0 : 0.0; });
    m_stats.gauge("control_bytes_sent",
                  [this] { return static_cast<double>(m_distributor.status().m_bytes_sent); });
    m_stats.gauge("control_bytes_received",
                  [this] { return static_cast<double>(m_distributor.status().m_bytes_received); });
    m_stats.gauge("log_lines_dropped", [] { return static_cast<double>(dropped_log_lines()); });
    m_stats.gauge("targets_warming_up",
                  [this] { return static_cast<double>(m_owner.count_warming_up()); });
    m_stats.gauge("evacuated_domains", [this] {
        const config::snapshot_ptr now = current();
        return now ? static_cast<double>(now->m_evacuated_domains.size()) : 0.0;
    });
    m_stats.gauge("processing_delay_seconds",
                  [this] { return std::chrono::duration<double>(m_delay.value()).count(); });
    m_stats.gauge("in_flight",
                  [this] { return static_cast<double>(m_shutdown.state().m_in_flight); });
}

bool node::start(reason& why)
{
    const auto on_applied = [this](const config::snapshot_ptr& now) { on_configuration(now); };
    if (!m_admin.start(why) || !m_owner.start(why) || !m_entry.start(why)) {
        return false;
    }
    if (m_settings.m_listen.m_ready_port != 0 && !m_ready.start(why)) {
        return false;
    }
    if (m_catalog) {
        m_catalog->on_snapshot(on_applied);
        if (!m_catalog->start(why)) {
            return false;
        }
    }
    else {
        m_distributor.on_applied(on_applied);
        if (!m_distributor.start(why)) {
            return false;
        }
    }
    m_refresh = m_timers.every(refresh_period, [this] { refresh(); });
    log_event(log_level::info, "started",
              {{"address", m_settings.m_listen.m_address}, {"incarnation", m_incarnation}});
    return true;
}

void node::on_configuration(const config::snapshot_ptr& config)
{
    m_owner.apply(*config);
    m_entry.apply(*config);
    m_members.refresh();
    m_stats.add("versions_applied_total");
}

void node::reload(const settings::node_settings& changed)
{
    if (changed == m_settings) {
        return;
    }
    const bool is_store_changed =
        m_catalog && changed.m_store && changed.m_store != m_settings.m_store;
    // A file that names no service may have been read while it was written.
    const bool is_service_changed =
        !changed.m_service.empty() && changed.m_service != m_settings.m_service;
    settings::node_settings taken = m_settings;
    if (is_store_changed) {
        taken.m_store = changed.m_store;
        m_catalog->use_store(opener_of(*changed.m_store));
    }
    if (is_service_changed) {
        taken.m_service = changed.m_service;
        m_entry.set_service(changed.m_service);
    }
    m_settings = std::move(taken);
    log_event(log_level::info, "settings_reloaded",
              {{"store_changed", is_store_changed},
               {"service_changed", is_service_changed},
               {"others_wait_for_restart", changed != m_settings}});
}

config::snapshot_ptr node::current() const
{
    return m_catalog ? m_catalog->current() : m_distributor.current();
}

bool node::is_confirmed() const
{
    return m_catalog ? m_catalog->is_confirmed() : m_distributor.status().m_confirmed;
}

// Where a store is followed. Elsewhere the distributor reports the age of the configuration.
std::optional<duration> node::configuration_age() const
{
    return m_catalog ? m_catalog->configuration_age() : std::nullopt;
}

// Whether every version that has to be in force by now would be known. False before the first.
bool node::is_configuration_current() const
{
    if (!m_catalog) {
        return true;
    }
    const std::optional<duration> age = configuration_age();
    return age && *age <= in_force_within_of(m_settings);
}

bool node::is_ready() const
{
    return current() != nullptr && lifecycle::accepts_work(m_shutdown.phase());
}

void node::serve_ready(forwarding::server_exchange& exchange)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_not_found = 404;
    constexpr unsigned status_unavailable = 503;
    constexpr duration answer_limit = std::chrono::seconds(1);
    forwarding::http::header<false> head;
    const bool is_known = exchange.request().head().target() == m_ready_path;
    head.result(!is_known ? status_not_found : is_ready() ? status_ok : status_unavailable);
    reason why;
    exchange.respond(std::move(head), {}, clock_type::now() + answer_limit, why);
}

bool node::is_host(const std::string& address) const
{
    const config::snapshot_ptr config = current();
    return m_members.is_known(address) || (config && config->has_host(address));
}

void node::refresh()
{
    notice_freeze();
    notice_configuration_age();
    m_members.refresh();
    if (m_hold_until && (m_timers.now() >= *m_hold_until || is_confirmed())) {
        m_hold_until.reset();
    }
}

void node::notice_configuration_age()
{
    const bool is_current = is_configuration_current();
    const std::optional<duration> age = configuration_age();
    if (!age || is_current == std::exchange(m_was_configuration_current, is_current)) {
        return;
    }
    log_event(log_level::info, is_current ? "configuration_current" : "configuration_outdated",
              {{"version", current() ? current()->m_version : 0},
               {"age_ms", std::chrono::duration_cast<milliseconds>(*age).count()}});
}

// Called before every decision that rests on what may be old, not only by the
// timer: after a freeze, requests may be looked at before timers are.
void node::notice_freeze()
{
    const std::optional<duration> frozen = m_freeze.observe(m_timers.now());
    if (!frozen) {
        return;
    }
    m_hold_until = m_timers.now() + max_hold;
    m_stats.add("freezes_total");
    log_event(log_level::warning, "woke_from_freeze",
              {{"seconds", std::chrono::duration<double>(*frozen).count()}});
    if (m_catalog) {
        m_catalog->restart();
    }
    m_owner.reevaluate_pending_requests();
}

lifecycle::drain_view node::drain_view_of(const std::string& target) const
{
    const config::snapshot_ptr config = current();
    lifecycle::drain_view view;
    view.m_in_configuration = config && config->is_draining(target);
    const auto owned = m_owner.targets().find(target);
    view.m_is_evacuated = view.m_in_configuration && owned != m_owner.targets().end() &&
                          config->is_evacuated(owned->second->target().m_failure_domain);
    view.m_in_host_list = m_members.is_leaving(m_settings.m_listen.m_address);
    if (m_drained_by_operator || m_hold_until || !lifecycle::accepts_work(m_shutdown.phase())) {
        view.m_owner_left = m_incarnation;
    }
    return view;
}

bool node::is_draining(const std::string& target)
{
    notice_freeze();
    return lifecycle::is_draining(drain_view_of(target), m_incarnation);
}

std::string node::drain_sources(const std::string& target) const
{
    return lifecycle::describe(drain_view_of(target), m_incarnation);
}

void node::on_phase(lifecycle::shutdown_phase phase)
{
    log_event(log_level::info, "stopping",
              {{"phase", lifecycle::to_string(phase)},
               {"in_flight", m_shutdown.state().m_in_flight},
               {"entry_connections", m_entry.server().connections()},
               {"owner_connections", m_owner.server().connections()}});
    switch (phase) {
    case lifecycle::shutdown_phase::serving:
        return;
    case lifecycle::shutdown_phase::announcing:
        if (m_catalog) {
            m_catalog->leave();
        }
        else {
            m_distributor.announce_leaving();
        }
        m_entry.server().announce_close();
        return;
    case lifecycle::shutdown_phase::finishing:
        m_entry.server().close_listener();
        m_owner.server().close_listener();
        return;
    case lifecycle::shutdown_phase::stopped:
        m_stopped.set();
        return;
    }
}

void node::cut_connections()
{
    log_event(log_level::warning, "stop_cut",
              {{"in_flight", m_shutdown.state().m_in_flight},
               {"entry_connections", m_entry.server().connections()},
               {"owner_connections", m_owner.server().connections()}});
    m_entry.server().abort();
    m_owner.server().abort();
}

void node::wait()
{
    m_stopped.wait();
    m_entry.server().wait();
    m_owner.server().wait();
    m_refresh.cancel();
    if (m_catalog) {
        m_catalog->stop();
    }
    else {
        m_distributor.stop();
    }
    for (forwarding::http_server* server : {&m_admin, &m_ready}) {
        server->close_listener();
        server->abort();
        server->wait();
    }
    log_event(log_level::info, "stopped");
}

} // namespace pomelohead::node
