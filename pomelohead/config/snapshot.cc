#include "pomelohead/config/snapshot.h"

#include <algorithm>

namespace pomelohead::config {
namespace {

// A prefix matches whole path segments: "/rota" matches "/rota" and "/rota/x", not "/rotas".
bool matches_path(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

bool is_more_specific(const route& candidate, const route& best)
{
    if (candidate.m_host.empty() != best.m_host.empty()) {
        return best.m_host.empty();
    }
    if (candidate.m_path_prefix.size() != best.m_path_prefix.size()) {
        return candidate.m_path_prefix.size() > best.m_path_prefix.size();
    }
    return candidate.m_method != "*" && best.m_method == "*";
}

// Host names are case-insensitive, and routes do not depend on the port.
std::string normalize_host(std::string_view host)
{
    std::string out(host.substr(0, host.rfind(':')));
    std::ranges::transform(out, out.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return out;
}

} // namespace

std::string_view to_string(work_class value)
{
    return value == work_class::short_work ? "short" : "long";
}

std::string_view to_string(urgency value)
{
    switch (value) {
    case urgency::urgent:
        return "urgent";
    case urgency::normal:
        return "normal";
    case urgency::deferrable:
        return "deferrable";
    }
    return "normal";
}

bool route::leads_to(std::string_view service) const
{
    return m_shares.empty() ? m_service == service
                            : std::ranges::any_of(m_shares, [service](const service_share& share) {
                                  return share.m_service == service;
                              });
}

const route* snapshot::find_route(std::string_view method, std::string_view path,
                                  std::string_view host) const
{
    path = path.substr(0, path.find('?'));
    const std::string request_host = normalize_host(host);
    const route* best = nullptr;
    for (const route& candidate : m_routes) {
        if ((candidate.m_method != "*" && candidate.m_method != method) ||
            (!candidate.m_host.empty() && candidate.m_host != request_host)) {
            continue;
        }
        if (matches_path(candidate.m_path_prefix, path) &&
            (best == nullptr || is_more_specific(candidate, *best))) {
            best = &candidate;
        }
    }
    return best;
}

const route* snapshot::find_route_by_name(std::string_view name) const
{
    const auto it = std::ranges::find(m_routes, name, &route::m_name);
    return it == m_routes.end() ? nullptr : &*it;
}

const service* snapshot::find_service(std::string_view name) const
{
    const auto it = std::ranges::lower_bound(m_services, name, {}, &service::m_name);
    return it == m_services.end() || it->m_name != name ? nullptr : &*it;
}

const target* snapshot::find_target(std::string_view name) const
{
    for (const service& candidate : m_services) {
        const auto it = std::ranges::find(candidate.m_targets, name, &target::m_name);
        if (it != candidate.m_targets.end()) {
            return &*it;
        }
    }
    return nullptr;
}

bool snapshot::has_host(std::string_view address) const
{
    return std::ranges::any_of(m_services, [&](const service& item) {
        return std::ranges::find(item.m_targets, address, &target::m_host) != item.m_targets.end();
    });
}

bool snapshot::is_evacuated(std::string_view failure_domain) const
{
    return std::ranges::binary_search(m_evacuated_domains, failure_domain);
}

bool snapshot::is_draining(std::string_view target_name) const
{
    return std::ranges::binary_search(m_drains, target_name, {}, &drain_rule::m_target);
}

} // namespace pomelohead::config
