// The routes, targets and drains of a snapshot are sorted, so each kind is compared in
// one pass over two sorted lists (as in std::set_symmetric_difference).
#include "pomelohead/sheet/diff.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace pomelohead::sheet {
namespace {

using config::drain_rule;
using config::route;
using config::service;
using config::shed_rule;
using config::snapshot;
using config::target;

struct kind_text {
    std::string_view m_name;
    std::string_view m_noun;
    std::string_view m_verb;
};

// In the order of change_kind.
constexpr std::array kinds = {
    kind_text{"route_added", "route", "is added"},
    kind_text{"route_removed", "route", "is removed"},
    kind_text{"route_moved", "route", "is moved"},
    kind_text{"route_class_changed", "route", "changes class"},
    kind_text{"route_changed", "route", "changes"},
    kind_text{"target_added", "target", "is added"},
    kind_text{"target_removed", "target", "is removed"},
    kind_text{"target_changed", "target", "changes"},
    kind_text{"drain_begun", "target", "is drained"},
    kind_text{"drain_ended", "target", "is no longer drained"},
    kind_text{"drain_changed", "drain of target", "changes"},
    kind_text{"shed_added", "shed rule for", "is added"},
    kind_text{"shed_removed", "shed rule for", "is removed"},
    kind_text{"shed_changed", "shed rule for", "changes"},
};

const kind_text& text_of(change_kind kind)
{
    return kinds.at(static_cast<std::size_t>(kind));
}

// Calls one of the callbacks for each key in two lists sorted by `key`.
template <class T, class Key, class OnRemoved, class OnAdded, class OnBoth>
void merge_sorted(const std::vector<T>& before, const std::vector<T>& after, Key key,
                  OnRemoved on_removed, OnAdded on_added, OnBoth on_both)
{
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        if (right == after.end() || (left != before.end() && key(*left) < key(*right))) {
            on_removed(*left++);
        }
        else if (left == before.end() || key(*right) < key(*left)) {
            on_added(*right++);
        }
        else {
            on_both(*left++, *right++);
        }
    }
}

std::string targets_phrase(const service& item)
{
    const std::size_t count = item.m_targets.size();
    return count == 1 ? "its only target is" : "all " + std::to_string(count) + " targets are";
}

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

auto shed_key(const shed_rule& item)
{
    return std::tuple(item.m_account, item.m_class, item.m_from_urgency);
}

std::string shed_subject(const shed_rule& item)
{
    const std::string account = item.m_account == "*" ? "all accounts" : item.m_account;
    return account + ", " + std::string(to_string(item.m_class)) + " requests, from " +
           std::string(to_string(item.m_from_urgency));
}

std::vector<shed_rule> sorted(std::vector<shed_rule> rules)
{
    std::ranges::sort(rules, {}, shed_key);
    return rules;
}

std::vector<target> all_targets(const snapshot& config)
{
    std::vector<target> all;
    for (const service& item : config.m_services) {
        all.insert(all.end(), item.m_targets.begin(), item.m_targets.end());
    }
    std::ranges::sort(all, {}, &target::m_name);
    return all;
}

class comparer {
public:
    snapshot_diff run(const snapshot& before, const snapshot& after)
    {
        compare_routes(before, after);
        compare_targets(before, after);
        compare_drains(before, after);
        compare_sheds(before, after);
        m_diff.m_warnings = warnings_for(after);
        warn_of_removed_services(before, after);
        return std::move(m_diff);
    }

private:
    void add(change_kind kind, std::string subject, std::string field = {}, std::string before = {},
             std::string after = {})
    {
        m_diff.m_changes.push_back({.m_kind = kind,
                                    .m_subject = std::move(subject),
                                    .m_field = std::move(field),
                                    .m_before = std::move(before),
                                    .m_after = std::move(after)});
    }

    void add_if_changed(change_kind kind, const std::string& subject, const char* field,
                        std::string_view before, std::string_view after)
    {
        if (before != after) {
            add(kind, subject, field, std::string(before), std::string(after));
        }
    }

    void compare_routes(const snapshot& before, const snapshot& after)
    {
        merge_sorted(
            before.m_routes, after.m_routes, [](const route& item) { return item.m_name; },
            [&](const route& item) { add(change_kind::route_removed, item.m_name); },
            [&](const route& item) { add(change_kind::route_added, item.m_name); },
            [&](const route& left, const route& right) { compare_route(left, right); });
    }

    void compare_route(const route& left, const route& right)
    {
        const std::string& name = left.m_name;
        const change_kind other = change_kind::route_changed;
        add_if_changed(change_kind::route_moved, name, "service", left.m_service, right.m_service);
        add_if_changed(change_kind::route_class_changed, name, "class", to_string(left.m_class),
                       to_string(right.m_class));
        add_if_changed(other, name, "account", left.m_account, right.m_account);
        add_if_changed(other, name, "method", left.m_method, right.m_method);
        add_if_changed(other, name, "path", left.m_path_prefix, right.m_path_prefix);
        add_if_changed(other, name, "idempotent", yes_or_no(left.m_idempotent),
                       yes_or_no(right.m_idempotent));
        add_if_changed(other, name, "urgency", to_string(left.m_urgency),
                       to_string(right.m_urgency));
        add_if_changed(other, name, "deadline_ms", std::to_string(left.m_deadline.count()),
                       std::to_string(right.m_deadline.count()));
    }

    void compare_targets(const snapshot& before, const snapshot& after)
    {
        merge_sorted(
            all_targets(before), all_targets(after), [](const target& item) { return item.m_name; },
            [&](const target& item) { add(change_kind::target_removed, item.m_name); },
            [&](const target& item) { add(change_kind::target_added, item.m_name); },
            [&](const target& left, const target& right) { compare_target(left, right); });
    }

    void compare_target(const target& left, const target& right)
    {
        const std::string& name = left.m_name;
        const change_kind kind = change_kind::target_changed;
        add_if_changed(kind, name, "service", left.m_service, right.m_service);
        add_if_changed(kind, name, "host", left.m_host, right.m_host);
        add_if_changed(kind, name, "port", std::to_string(left.m_port),
                       std::to_string(right.m_port));
        add_if_changed(kind, name, "failure_domain", left.m_failure_domain, right.m_failure_domain);
        add_if_changed(kind, name, "slots", std::to_string(left.m_slots),
                       std::to_string(right.m_slots));
        add_if_changed(kind, name, "connections", std::to_string(left.m_connections),
                       std::to_string(right.m_connections));
    }

    void compare_drains(const snapshot& before, const snapshot& after)
    {
        merge_sorted(
            before.m_drains, after.m_drains, [](const drain_rule& item) { return item.m_target; },
            [&](const drain_rule& item) {
                // The removal of the target already implies that its drain ends.
                if (after.find_target(item.m_target) != nullptr) {
                    add(change_kind::drain_ended, item.m_target);
                }
            },
            [&](const drain_rule& item) { add(change_kind::drain_begun, item.m_target); },
            [&](const drain_rule& left, const drain_rule& right) {
                add_if_changed(change_kind::drain_changed, left.m_target, "note", left.m_note,
                               right.m_note);
            });
    }

    void compare_sheds(const snapshot& before, const snapshot& after)
    {
        merge_sorted(
            sorted(before.m_sheds), sorted(after.m_sheds), shed_key,
            [&](const shed_rule& item) { add(change_kind::shed_removed, shed_subject(item)); },
            [&](const shed_rule& item) { add(change_kind::shed_added, shed_subject(item)); },
            [&](const shed_rule& left, const shed_rule& right) {
                add_if_changed(change_kind::shed_changed, shed_subject(left), "load_percent",
                               std::to_string(left.m_load_percent),
                               std::to_string(right.m_load_percent));
            });
    }

    void warn_of_removed_services(const snapshot& before, const snapshot& after)
    {
        for (const service& item : before.m_services) {
            if (after.find_service(item.m_name) == nullptr) {
                m_diff.m_warnings.push_back(
                    {.m_service = item.m_name,
                     .m_text = "service " + item.m_name +
                               " would have no target: " + targets_phrase(item) + " removed"});
            }
        }
    }

    snapshot_diff m_diff;
};

} // namespace

std::string_view to_string(change_kind kind)
{
    return text_of(kind).m_name;
}

std::string to_sentence(const change& item)
{
    const kind_text& text = text_of(item.m_kind);
    std::string sentence = std::string(text.m_noun) + " '" + item.m_subject + "' ";
    sentence += text.m_verb;
    if (item.m_field.empty()) {
        return sentence;
    }
    if (item.m_kind == change_kind::route_moved) {
        sentence += " to another service";
    }
    else if (item.m_kind != change_kind::route_class_changed) {
        sentence += " " + item.m_field;
    }
    return sentence + ": '" + item.m_before + "' -> '" + item.m_after + "'";
}

snapshot_diff compare(const snapshot& before, const snapshot& after)
{
    return comparer().run(before, after);
}

std::vector<warning> warnings_for(const snapshot& config)
{
    std::vector<warning> warnings;
    for (const service& item : config.m_services) {
        const bool all_drain = std::ranges::all_of(item.m_targets, [&](const target& member) {
            return config.is_draining(member.m_name);
        });
        if (all_drain) {
            warnings.push_back({.m_service = item.m_name,
                                .m_text = "service " + item.m_name +
                                          " would have no usable target: " + targets_phrase(item) +
                                          " drained"});
        }
    }
    return warnings;
}

} // namespace pomelohead::sheet
