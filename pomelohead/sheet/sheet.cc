// Parses in three passes: the rows are split into blocks; each row is converted to a
// value and its position in the sheet recorded; the result is checked with
// config::validate, whose faults are mapped back to those positions.
#include "pomelohead/sheet/sheet.h"

#include "pomelohead/config/bundle.h"
#include "pomelohead/config/validate.h"
#include "pomelohead/sheet/csv_table.h"
#include "pomelohead/sheet/fault_list.h"
#include "pomelohead/sheet/row_reader.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <span>

namespace pomelohead::sheet {
namespace {

using config::drain_rule;
using config::route;
using config::service;
using config::shed_rule;
using config::snapshot;
using config::target;
using config::urgency;
using config::work_class;
using detail::column_map;
using detail::fault_list;
using detail::no_limit;
using detail::row_reader;

constexpr std::string_view route_columns[] = {"route",      "account", "method",
                                              "path",       "service", "class",
                                              "idempotent", "urgency", "deadline_ms"};
constexpr std::string_view target_columns[] = {"target",         "service", "host",       "port",
                                               "failure_domain", "slots",   "connections"};
constexpr std::string_view drain_columns[] = {"target", "note"};
constexpr std::string_view shed_columns[] = {"account", "class", "from_urgency", "load_percent"};

constexpr std::string_view class_names[] = {"short", "long"};
constexpr std::string_view urgency_names[] = {"urgent", "normal", "deferrable"};
constexpr std::string_view yes_no[] = {"no", "yes"};

constexpr std::uint32_t max_port = std::numeric_limits<std::uint16_t>::max();

enum class block_kind { routes, targets, drains, sheds };

struct block_format {
    block_kind m_kind;
    std::string_view m_name;
    std::span<const std::string_view> m_columns;
};

constexpr block_format block_formats[] = {
    {block_kind::routes, "routes", route_columns},
    {block_kind::targets, "targets", target_columns},
    {block_kind::drains, "drains", drain_columns},
    {block_kind::sheds, "sheds", shed_columns},
};

bool is_blank(const csv_row& row)
{
    return std::ranges::all_of(row.m_cells, [](const std::string& cell) { return cell.empty(); });
}

bool has_control_character(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

// Returns the block whose title `row` is; null if it is no title.
const block_format* find_opened_block(const csv_row& row)
{
    if (row.m_cells.empty() || !std::all_of(row.m_cells.begin() + 1, row.m_cells.end(),
                                            [](const std::string& cell) { return cell.empty(); })) {
        return nullptr;
    }
    const auto* const it =
        std::ranges::find(block_formats, row.m_cells.front(), &block_format::m_name);
    return it == std::end(block_formats) ? nullptr : it;
}

// The position of a value in the sheet.
struct origin {
    std::size_t m_row = 0;
    const column_map* m_columns = nullptr;
};

class sheet_parser {
public:
    explicit sheet_parser(const std::string& file) : m_faults(file) {}

    parsed_sheet parse(csv_table table)
    {
        m_complete = table.m_complete;
        for (sheet_fault& fault : table.m_faults) {
            m_faults.add(std::move(fault));
        }
        read_blocks(table.m_rows);
        if (m_complete) {
            validate_config();
        }
        sort_config();
        if (m_faults.empty()) {
            check_sizes();
        }
        return {std::move(m_config), m_faults.take_sorted()};
    }

private:
    void read_blocks(const std::vector<csv_row>& rows)
    {
        bool in_unknown_block = false;
        for (std::size_t i = 0; i < rows.size(); ++i) {
            const csv_row& row = rows[i];
            if (is_blank(row)) {
                m_block = nullptr;
                in_unknown_block = false;
            }
            else if (const block_format* const opened = find_opened_block(row)) {
                in_unknown_block = false;
                open_block(*opened, row, i + 1 < rows.size() ? &rows[i + 1] : nullptr);
                ++i;
            }
            else if (m_block != nullptr) {
                read_row(row);
            }
            else if (!in_unknown_block) {
                in_unknown_block = true;
                m_complete = false;
                add_unknown_block_fault(row);
            }
        }
    }

    void add_unknown_block_fault(const csv_row& row)
    {
        std::string text = "a block must begin with routes, targets, drains or sheds, alone in its "
                           "row, not '" +
                           row.m_cells.front() + "'";
        if (row.m_cells.front().find(';') != std::string::npos) {
            text += "; cells must be separated by commas, not semicolons";
        }
        m_faults.add(row.m_number, 1, "", std::move(text));
    }

    void open_block(const block_format& format, const csv_row& title, const csv_row* header)
    {
        m_block = &format;
        m_columns = &m_headers.emplace_back();
        if (header == nullptr || is_blank(*header)) {
            m_faults.add(title.m_number, 0, "",
                         "the row after '" + std::string(format.m_name) + "' must be its header");
            m_block = nullptr;
            m_complete = false;
            return;
        }
        for (std::size_t i = 0; i < header->m_cells.size(); ++i) {
            read_header_cell(*header, i + 1, header->m_cells[i]);
        }
        for (const std::string_view name : format.m_columns) {
            if (!m_columns->contains(name)) {
                m_complete = false;
                m_faults.add(header->m_number, 0, "",
                             "column '" + std::string(name) + "' is missing");
            }
        }
    }

    void read_header_cell(const csv_row& header, std::size_t column, const std::string& name)
    {
        if (name.empty()) {
            return;
        }
        if (std::ranges::find(m_block->m_columns, name) == m_block->m_columns.end()) {
            m_faults.add(header.m_number, column, "",
                         "unknown column '" + name + "' in block " + std::string(m_block->m_name));
            return;
        }
        if (!m_columns->emplace(name, column).second) {
            m_faults.add(header.m_number, column, "", "column '" + name + "' appears twice");
        }
    }

    void read_row(const csv_row& row)
    {
        check_extra_cells(row);
        row_reader in(row, *m_columns, m_faults);
        switch (m_block->m_kind) {
        case block_kind::routes:
            return read_route(in);
        case block_kind::targets:
            return read_target(in);
        case block_kind::drains:
            return read_drain(in);
        case block_kind::sheds:
            return read_shed(in);
        }
    }

    // Rejects text outside the block's columns, which would otherwise be ignored silently.
    void check_extra_cells(const csv_row& row)
    {
        std::size_t last = 0;
        for (const auto& [name, column] : *m_columns) {
            last = std::max(last, column);
        }
        for (std::size_t column = last + 1; column <= row.m_cells.size(); ++column) {
            if (!row.m_cells[column - 1].empty()) {
                m_faults.add(row.m_number, column, "", "is outside the block's columns");
            }
        }
    }

    void read_route(row_reader& in)
    {
        route item{.m_name = in.required("route"),
                   .m_account = in.required("account"),
                   .m_method = in.required("method"),
                   .m_path_prefix = in.required("path"),
                   .m_service = in.required("service"),
                   .m_class = static_cast<work_class>(in.choice_index("class", class_names)),
                   .m_idempotent = in.choice_index("idempotent", yes_no) == 1,
                   .m_urgency = static_cast<urgency>(in.choice_index("urgency", urgency_names)),
                   .m_deadline = config::milliseconds(in.whole_number("deadline_ms", no_limit))};
        if (record_origin(in, "route", "route", item.m_name)) {
            m_config.m_routes.push_back(std::move(item));
        }
    }

    void read_target(row_reader& in)
    {
        target item{
            .m_name = in.required("target"),
            .m_service = in.required("service"),
            .m_host = in.required("host"),
            .m_port = static_cast<std::uint16_t>(in.whole_number("port", max_port)),
            .m_failure_domain = in.required("failure_domain"),
            .m_slots = in.whole_number("slots", no_limit),
            .m_connections = in.whole_number("connections", no_limit),
        };
        if (!record_origin(in, "target", "target", item.m_name)) {
            return;
        }
        check_host(in, item);
        service_for(item.m_service).m_targets.push_back(std::move(item));
    }

    void read_drain(row_reader& in)
    {
        drain_rule item{.m_target = in.required("target"), .m_note = in.text("note")};
        if (has_control_character(item.m_note)) {
            in.add_fault("note", "contains a line break or another control character");
        }
        if (record_origin(in, "drain", "target", item.m_target)) {
            m_config.m_drains.push_back(std::move(item));
        }
    }

    void read_shed(row_reader& in)
    {
        shed_rule item{.m_account = in.required("account"),
                       .m_class = static_cast<work_class>(in.choice_index("class", class_names)),
                       .m_from_urgency =
                           static_cast<urgency>(in.choice_index("from_urgency", urgency_names)),
                       .m_load_percent = in.whole_number("load_percent", no_limit)};
        const std::string key = item.m_account + '\n' + std::string(to_string(item.m_class)) +
                                '\n' + std::string(to_string(item.m_from_urgency));
        const auto [first, is_new] = m_row_by_shed_key.emplace(key, in.number());
        if (!is_new) {
            in.add_fault("account", "row " + std::to_string(first->second) +
                                        " already has a rule for this account, class and urgency");
            return;
        }
        m_config.m_sheds.push_back(std::move(item));
        m_origins["shed " + std::to_string(m_config.m_sheds.size())] = {in.number(), m_columns};
    }

    // Records the position of `kind name` and returns true. A duplicate is a fault and the
    // caller leaves it out, so that each subject of config::validate maps to one row.
    bool record_origin(row_reader& in, const std::string& kind, std::string_view field,
                       std::string& name)
    {
        if (name.empty()) {
            name = "(row " + std::to_string(in.number()) + ")";
        }
        const auto [it, is_new] =
            m_origins.try_emplace(kind + " " + name, origin{in.number(), m_columns});
        if (!is_new) {
            in.add_fault(field, "'" + name + "' is already defined in row " +
                                    std::to_string(it->second.m_row));
        }
        return is_new;
    }

    void check_host(row_reader& in, const target& item)
    {
        const auto [first, is_new] = m_domain_and_row_by_host.emplace(
            item.m_host, std::pair(item.m_failure_domain, in.number()));
        if (!is_new && first->second.first != item.m_failure_domain) {
            in.add_fault("failure_domain", "row " + std::to_string(first->second.second) +
                                               " puts host " + item.m_host +
                                               " in failure domain '" + first->second.first + "'");
        }
    }

    // Services are kept sorted, as snapshot::find_service expects.
    service& service_for(const std::string& name)
    {
        auto it = std::ranges::lower_bound(m_config.m_services, name, {}, &service::m_name);
        if (it == m_config.m_services.end() || it->m_name != name) {
            it = m_config.m_services.insert(it, service{.m_name = name, .m_targets = {}});
        }
        return *it;
    }

    void validate_config()
    {
        if (m_config.m_routes.empty()) {
            m_faults.add(0, 0, "", "the sheet has no routes");
        }
        for (const config::fault& fault : config::validate(m_config)) {
            add_fault_at_origin(fault);
        }
    }

    void add_fault_at_origin(const config::fault& fault)
    {
        const auto it = m_origins.find(fault.m_subject);
        if (it == m_origins.end()) {
            add_service_fault(fault);
            return;
        }
        const origin& from = it->second;
        const auto column = from.m_columns->find(fault.m_field);
        m_faults.add(from.m_row, column == from.m_columns->end() ? 0 : column->second,
                     fault.m_field, fault.m_text);
    }

    // Services have no rows of their own, so the fault is reported at the service cell of
    // the service's first target.
    void add_service_fault(const config::fault& fault)
    {
        for (const service& item : m_config.m_services) {
            if (fault.m_subject == "service " + item.m_name) {
                add_fault_at_origin({.m_subject = "target " + item.m_targets.front().m_name,
                                     .m_field = "service",
                                     .m_text = fault.m_text});
                return;
            }
        }
        m_faults.add(0, 0, "", fault.m_subject + ": " + fault.m_field + " " + fault.m_text);
    }

    void sort_config()
    {
        std::ranges::sort(m_config.m_routes, {}, &route::m_name);
        for (service& item : m_config.m_services) {
            std::ranges::sort(item.m_targets, {}, &target::m_name);
        }
        std::ranges::sort(m_config.m_drains, {}, &drain_rule::m_target);
    }

    // Must only be called if there are no faults: make_bundle requires valid text.
    void check_sizes()
    {
        for (const auto& [hash, bytes] : config::make_bundle(m_config).m_sections) {
            if (bytes.size() > config::max_value_bytes) {
                m_faults.add(0, 0, "",
                             "the section that begins " + bytes.substr(0, 80) + " would take " +
                                 std::to_string(bytes.size()) + " bytes; the limit is " +
                                 std::to_string(config::max_value_bytes));
            }
        }
    }

    fault_list m_faults;
    snapshot m_config;
    bool m_complete = true; // false if some rows could not be read
    const block_format* m_block = nullptr;
    std::deque<column_map> m_headers; // one for each block; origins point to them
    column_map* m_columns = nullptr;
    std::map<std::string, origin> m_origins; // by config::fault's subject
    std::map<std::string, std::size_t> m_row_by_shed_key;
    std::map<std::string, std::pair<std::string, std::size_t>> m_domain_and_row_by_host;
};

} // namespace

parsed_sheet parse_sheet(const std::string& file, std::string_view bytes)
{
    return sheet_parser(file).parse(read_csv(file, bytes));
}

} // namespace pomelohead::sheet
