// Parser for the operators' sheet, a CSV file from which a configuration is built.
//
// A file contains any number of blocks of four kinds, in any order. A row whose only
// non-empty cell is the first one, with `routes`, `targets`, `drains` or `sheds`, begins
// a block; the next row is its header, with columns in any order; the block's rows
// follow up to a blank row. Cells to the right of the header must be empty.
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

/// The most faults reported for one sheet; if there are more, one further entry gives
/// the number of those omitted.
inline constexpr std::size_t max_faults = 1'000;

/// A sheet's configuration, or its faults.
struct parsed_sheet {
    config::snapshot m_config;         ///< version 0; valid only if m_faults is empty
    std::vector<sheet_fault> m_faults; ///< sorted by row and column

    bool operator==(const parsed_sheet&) const = default;
};

/// Parses and validates a sheet. `file` is its name in the faults. Checks the format of
/// each cell, the rules of config::validate, contradictions between rows, and that no
/// value to be published exceeds config::max_value_bytes.
[[nodiscard]] parsed_sheet parse_sheet(const std::string& file, std::string_view bytes);

} // namespace pomelohead::sheet
