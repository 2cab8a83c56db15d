// Marks merge as sets (outcome/quarantine.h), so messages may be lost, duplicated or delayed. Every
// message carries the complete digest, which is usually empty.
#include "pomelohead/forwarding/crash_mark_replicator.h"

#include "pomelohead/forwarding/connection_pool.h"
#include "pomelohead/outcome/mark_codec.h"

namespace pomelohead::forwarding {
namespace {

constexpr std::size_t max_message_bytes = 512UL * 1024UL;
constexpr duration receive_timeout = std::chrono::seconds(2);

} // namespace

crash_mark_replicator::crash_mark_replicator(boost::asio::io_context& io, timer_service& timers,
                                             crash_mark_replicator_options options,
                                             std::function<config::snapshot_ptr()> config,
                                             outcome::quarantine& quarantine)
    : m_io(io), m_timers(timers), m_options(std::move(options)), m_config(std::move(config)),
      m_quarantine(quarantine), m_random(m_options.m_seed)
{
}

void crash_mark_replicator::start()
{
    m_anti_entropy_timer =
        m_timers.every(m_options.m_anti_entropy_period, [this] { run_anti_entropy(); });
}

std::set<std::string> crash_mark_replicator::other_owners(const std::string& service) const
{
    std::set<std::string> addresses;
    const config::snapshot_ptr config = m_config();
    const config::service* found = config ? config->find_service(service) : nullptr;
    if (found == nullptr) {
        return addresses;
    }
    for (const config::target& target : found->m_targets) {
        addresses.insert(target.m_host);
    }
    addresses.erase(m_options.m_self.m_address);
    return addresses;
}

void crash_mark_replicator::push_changes(const std::string& service)
{
    while (m_services[service].m_pushed_changes != m_services[service].m_changes) {
        // One push at a time; requests that failed together share it.
        if (const auto under_way = m_services[service].m_push_done) {
            under_way->wait();
        }
        else {
            push(service);
        }
    }
}

void crash_mark_replicator::push_changes_async(const std::string& service)
{
    mark_changed(service);
    m_fibers.spawn([this, service] { push_changes(service); });
}

void crash_mark_replicator::push(const std::string& service)
{
    const auto done = std::make_shared<fiber_event>();
    const std::uint64_t changes = m_services[service].m_changes;
    m_services[service].m_push_done = done;
    {
        fiber_group sends;
        for (const std::string& address : other_owners(service)) {
            sends.spawn([this, address] { send(address); });
        }
    }
    m_services[service].m_pushed_changes = changes;
    m_services[service].m_push_done.reset();
    done->set();
}

void crash_mark_replicator::send(const std::string& address)
{
    const time_point deadline = clock_type::now() + m_options.m_push_timeout;
    reason why;
    const auto connection = connect(m_io, {address, m_options.m_self.m_port}, deadline, why);
    if (!connection) {
        return;
    }
    const std::string body = outcome::encode_marks(m_quarantine.digest(m_timers.now()));
    http::header<true> head;
    head.method(http::verb::post);
    head.target(crash_marks_path);
    head.set(http::field::connection, "close");
    message_writer writer(connection->m_stream);
    response_reader reader(connection->m_stream, connection->m_buffer);
    if (writer.write_head(head, message_framing::of_length(body.size()), body, deadline, why)) {
        reader.read_head({.m_first_byte = deadline}, why);
    }
}

void crash_mark_replicator::handle_push(server_exchange& exchange)
{
    const time_point deadline = clock_type::now() + receive_timeout;
    request_reader& request = exchange.request();
    std::string bytes;
    std::string piece;
    reason why;
    body_state state = request.done() ? body_state::end : body_state::more;
    while (state == body_state::more && bytes.size() <= max_message_bytes) {
        state = request.read_body(piece, max_piece_bytes, deadline, why);
        bytes += piece;
    }
    http::header<false> head;
    head.result(400);
    if (state == body_state::end) {
        if (const auto marks = outcome::decode_marks(bytes, why)) {
            m_quarantine.merge(*marks, m_timers.now());
            head.result(200);
        }
    }
    else {
        exchange.close_after();
    }
    exchange.respond(head, {}, deadline, why);
}

void crash_mark_replicator::run_anti_entropy()
{
    m_quarantine.expire(m_timers.now());
    const config::snapshot_ptr config = m_config();
    if (!config || m_quarantine.digest(m_timers.now(), 1).empty()) {
        return;
    }
    std::set<std::string> peers;
    for (const config::service& service : config->m_services) {
        if (std::ranges::find(service.m_targets, m_options.m_self.m_address,
                              &config::target::m_host) != service.m_targets.end()) {
            peers.merge(other_owners(service.m_name));
        }
    }
    if (peers.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    const std::string address =
        *std::next(peers.begin(), static_cast<std::ptrdiff_t>(pick(m_random)));
    m_fibers.spawn([this, address] { send(address); });
}

} // namespace pomelohead::forwarding
