// The operators' sheet: the CSV export from which a configuration is built.
//
// One file holds four kinds of block, in any order and number. A row whose first
// cell is `routes`, `targets`, `drains` or `sheds`, alone, opens a block; the next
// row is its header, whose columns may stand in any order; rows follow until a
// blank row. Cells to the right of the header are empty.
//
//     routes
//     route,account,method,path,service,class,idempotent,urgency,deadline_ms
//     Tonight's rota,Gwynedd,GET,/rota,rota,short,yes,urgent,800
//
//     targets
//     target,service,host,port,failure_domain,slots,connections
//     rota-bala-1,rota,127.0.1.2,7100,Bala,9,110
//
// Parsing reports every fault, each with its row and column:
//
//     parsed_sheet sheet = parse_sheet("gwynedd.csv", bytes);
//     if (!sheet.m_faults.empty()) { ... }
//     publish(make_bundle(sheet.m_config));
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/sheet/sheet_fault.h"

#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::sheet {

/// Faults kept of one sheet; one more says that there are others.
inline constexpr std::size_t max_faults = 1'000;

/// A sheet's configuration, or its faults.
struct parsed_sheet {
    config::snapshot m_config;         ///< version 0; only to be used where m_faults is empty
    std::vector<sheet_fault> m_faults; ///< sorted by row and column

    bool operator==(const parsed_sheet&) const = default;
};

/// Reads a sheet. `file` names it in the faults. Checked are the form of each cell,
/// the rules of config::validate, contradictions between rows, and that every value
/// to be published is below config::max_value_bytes.
[[nodiscard]] parsed_sheet parse_sheet(const std::string& file, std::string_view bytes);

} // namespace pomelohead::sheet
