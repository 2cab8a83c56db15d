// Breadth-first search over the states, each identified by a text key, so that the
// trace of a violation is a shortest one.
#include "testing/request_model.h"

#include "testing/request_model_state.h"

#include <algorithm>
#include <unordered_set>

namespace pomelohead::testing {
namespace {

using detail::model;
using detail::verdict;

struct visited_state {
    std::size_t m_parent = 0;
    std::string m_label;
};

std::vector<std::string> build_trace(const std::vector<visited_state>& all, std::size_t last)
{
    std::vector<std::string> labels;
    for (std::size_t at = last; at != 0; at = all[at].m_parent) {
        labels.push_back(all[at].m_label);
    }
    std::ranges::reverse(labels);
    return labels;
}

} // namespace

model_report check_model(const model_options& options)
{
    model_report report;
    std::unordered_set<std::string> seen;
    std::vector<visited_state> all{{0, ""}};
    std::vector<std::pair<std::size_t, model>> layer{{0, model(options)}};
    while (!layer.empty() && report.m_violation.empty()) {
        std::vector<std::pair<std::size_t, model>> following;
        for (const auto& [index, state] : layer) {
            state.emit_successors([&, parent = index](std::string label, model next) {
                if (!report.m_violation.empty() || !seen.insert(next.key()).second) {
                    return;
                }
                all.push_back({parent, std::move(label)});
                report.m_complete += next.has_reported(verdict::complete) ? 1 : 0;
                report.m_not_run += next.has_reported(verdict::not_run) ? 1 : 0;
                report.m_unknown += next.has_reported(verdict::unknown) ? 1 : 0;
                if (!next.violation().empty()) {
                    report.m_violation = next.violation();
                    report.m_trace = build_trace(all, all.size() - 1);
                }
                following.emplace_back(all.size() - 1, std::move(next));
            });
        }
        layer = std::move(following);
    }
    report.m_states = all.size();
    return report;
}

std::string_view to_string(mechanism value)
{
    constexpr std::array<std::string_view, 15> names = {
        "none",
        "recheck_at_hand_over",
        "loss_is_unknown",
        "no_byte_no_doubt",
        "note_before_write",
        "idempotent_only",
        "discard_for_good",
        "one_answer",
        "cut_when_begun",
        "close_abandoned",
        "ticket_ledger",
        "ticket_incarnation",
        "ticket_owner",
        "ticket_burnt",
        "ticket_entry_silent",
    };
    return names.at(static_cast<std::size_t>(value));
}

} // namespace pomelohead::testing
