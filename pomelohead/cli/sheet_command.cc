#include "pomelohead/cli/sheet_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/config/bundle.h"
#include "pomelohead/sheet/csv_table.h"
#include "pomelohead/sheet/diff.h"
#include "pomelohead/sheet/sheet.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

using json = nlohmann::ordered_json;
using sheet::parsed_sheet;
using sheet::sheet_fault;

struct sheet_options {
    std::string m_sheet;
    std::string m_other_sheet; // diff only: the later one
    std::string m_directory;   // build only
    config::version_number m_version = 0;
    bool m_json = false;
};

std::optional<parsed_sheet> load(const std::string& path)
{
    reason why;
    const std::optional<std::string> bytes = read_file(path, sheet::max_sheet_bytes, why);
    if (bytes) {
        return sheet::parse_sheet(path, *bytes);
    }
    if (why.m_code == reason_code::too_large) {
        return parsed_sheet{.m_config = {},
                            .m_faults = {{.m_file = path, .m_field = {}, .m_text = why.m_text}}};
    }
    std::cerr << "pomelohead: " << why.m_text << '\n';
    return std::nullopt;
}

std::size_t target_count(const config::snapshot& config)
{
    std::size_t count = 0;
    for (const config::service& item : config.m_services) {
        count += item.m_targets.size();
    }
    return count;
}

json faults_to_json(const std::vector<sheet_fault>& faults)
{
    json list = json::array();
    for (const sheet_fault& fault : faults) {
        list.push_back({{"file", fault.m_file},
                        {"row", fault.m_row},
                        {"column", sheet::column_letters(fault.m_column)},
                        {"field", fault.m_field},
                        {"text", fault.m_text}});
    }
    return list;
}

json warnings_to_json(const std::vector<sheet::warning>& warnings)
{
    json list = json::array();
    for (const sheet::warning& item : warnings) {
        list.push_back({{"service", item.m_service}, {"text", item.m_text}});
    }
    return list;
}

json counts_to_json(const config::snapshot& config)
{
    return {{"routes", config.m_routes.size()},
            {"services", config.m_services.size()},
            {"targets", target_count(config)},
            {"drains", config.m_drains.size()},
            {"sheds", config.m_sheds.size()}};
}

std::string counts_text(const config::snapshot& config)
{
    return count_of(config.m_routes.size(), "route") + ", " +
           count_of(config.m_services.size(), "service") + ", " +
           count_of(target_count(config), "target") + ", " +
           count_of(config.m_drains.size(), "drain") + ", " +
           count_of(config.m_sheds.size(), "shed rule");
}

// File names and other text from outside may not be UTF-8.
void print(const json& value)
{
    std::cout << value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

void print_faults(const std::vector<sheet_fault>& faults)
{
    for (const sheet_fault& fault : faults) {
        std::cout << to_sentence(fault) << '\n';
    }
    std::cout << count_of(faults.size(), "fault") << '\n';
}

void print_warnings(const std::vector<sheet::warning>& warnings)
{
    for (const sheet::warning& item : warnings) {
        std::cout << "warning: " << item.m_text << '\n';
    }
}

int run_check(const sheet_options& options)
{
    const std::optional<parsed_sheet> parsed = load(options.m_sheet);
    if (!parsed) {
        return exit_unusable;
    }
    const bool good = parsed->m_faults.empty();
    const std::vector<sheet::warning> warnings =
        good ? sheet::warnings_for(parsed->m_config) : std::vector<sheet::warning>{};
    if (options.m_json) {
        json result = {{"file", options.m_sheet},
                       {"good", good},
                       {"faults", faults_to_json(parsed->m_faults)},
                       {"warnings", warnings_to_json(warnings)}};
        if (good) {
            result["counts"] = counts_to_json(parsed->m_config);
        }
        print(result);
    }
    else if (good) {
        print_warnings(warnings);
        std::cout << options.m_sheet << ": good: " << counts_text(parsed->m_config) << '\n';
    }
    else {
        print_faults(parsed->m_faults);
    }
    return good ? exit_good : exit_found;
}

// Writes the sections before the manifest, so that a manifest in the directory
// never names a section that is not there.
bool write_bundle(const config::bundle& bundle, const std::string& directory, reason& why)
{
    std::error_code error;
    std::filesystem::create_directories(directory + "/sections", error);
    if (error) {
        why = {reason_code::refused, directory + " cannot be created: " + error.message()};
        return false;
    }
    for (const auto& [hash, bytes] : bundle.m_sections) {
        std::string path = directory;
        path += "/sections/" + hash + ".json";
        if (!write_file(path, bytes, why)) {
            return false;
        }
    }
    return write_file(directory + "/manifest.json", bundle.m_manifest, why);
}

void print_built(const sheet_options& options, const config::bundle& bundle,
                 const config::snapshot& config)
{
    if (!options.m_json) {
        std::cout << "version " << options.m_version << " in " << options.m_directory << ": "
                  << counts_text(config) << "; " << count_of(bundle.m_sections.size(), "section")
                  << '\n'
                  << "publish the sections first, manifest.json last\n";
        return;
    }
    json hashes = json::array();
    for (const auto& [hash, bytes] : bundle.m_sections) {
        hashes.push_back(hash);
    }
    print({{"good", true},
           {"version", options.m_version},
           {"directory", options.m_directory},
           {"manifest_hash", config::content_hash(bundle.m_manifest)},
           {"sections", hashes},
           {"counts", counts_to_json(config)}});
}

int run_build(const sheet_options& options)
{
    std::optional<parsed_sheet> parsed = load(options.m_sheet);
    if (!parsed) {
        return exit_unusable;
    }
    if (!parsed->m_faults.empty()) {
        if (options.m_json) {
            print({{"good", false}, {"faults", faults_to_json(parsed->m_faults)}});
        }
        else {
            print_faults(parsed->m_faults);
            std::cout << "nothing is written\n";
        }
        return exit_found;
    }
    parsed->m_config.m_version = options.m_version;
    const config::bundle bundle = config::make_bundle(parsed->m_config);
    reason why;
    if (!config::open_bundle(bundle.m_manifest, bundle.m_sections, why)) {
        std::cerr << "pomelohead: nodes would refuse this version: " << why.m_text << '\n';
        return exit_found;
    }
    if (!write_bundle(bundle, options.m_directory, why)) {
        std::cerr << "pomelohead: " << why.m_text << '\n';
        return exit_unusable;
    }
    print_built(options, bundle, parsed->m_config);
    return exit_good;
}

json diff_to_json(const sheet::snapshot_diff& diff)
{
    json changes = json::array();
    for (const sheet::change& item : diff.m_changes) {
        changes.push_back({{"kind", to_string(item.m_kind)},
                           {"subject", item.m_subject},
                           {"field", item.m_field},
                           {"before", item.m_before},
                           {"after", item.m_after},
                           {"text", to_sentence(item)}});
    }
    return {{"same", diff.m_changes.empty()},
            {"changes", changes},
            {"warnings", warnings_to_json(diff.m_warnings)}};
}

int run_diff(const sheet_options& options)
{
    const std::optional<parsed_sheet> before = load(options.m_sheet);
    const std::optional<parsed_sheet> after = load(options.m_other_sheet);
    if (!before || !after) {
        return exit_unusable;
    }
    std::vector<sheet_fault> faults = before->m_faults;
    faults.insert(faults.end(), after->m_faults.begin(), after->m_faults.end());
    if (!faults.empty()) {
        if (options.m_json) {
            print({{"good", false}, {"faults", faults_to_json(faults)}});
        }
        else {
            print_faults(faults);
        }
        return exit_unusable;
    }
    const sheet::snapshot_diff diff = sheet::compare(before->m_config, after->m_config);
    if (options.m_json) {
        print(diff_to_json(diff));
    }
    else {
        for (const sheet::change& item : diff.m_changes) {
            std::cout << to_sentence(item) << '\n';
        }
        print_warnings(diff.m_warnings);
        std::cout << (diff.m_changes.empty() ? "no change"
                                             : count_of(diff.m_changes.size(), "change"))
                  << '\n';
    }
    return diff.m_changes.empty() ? exit_good : exit_found;
}

void add_check(CLI::App& parent, int& exit_code)
{
    auto options = std::make_shared<sheet_options>();
    CLI::App* command = parent.add_subcommand("check", "Print every fault of a sheet");
    command->add_option("SHEET", options->m_sheet, "CSV export of the sheet")->required();
    command->add_flag("--json", options->m_json, "Print one JSON object");
    command->footer("Exit codes: 0 no fault, 1 faults, 2 wrong usage or unreadable file.\n\n"
                    "Examples:\n"
                    "  pomelohead sheet check examples/gwynedd.csv\n"
                    "  pomelohead sheet check --json examples/quebec.csv");
    command->callback([options, &exit_code] { exit_code = run_check(*options); });
}

void add_build(CLI::App& parent, int& exit_code)
{
    auto options = std::make_shared<sheet_options>();
    CLI::App* command = parent.add_subcommand("build", "Write the bundle that operators publish");
    command->add_option("SHEET", options->m_sheet, "CSV export of the sheet")->required();
    command
        ->add_option("--version", options->m_version,
                     "The version's number; above all published ones")
        ->required()
        ->check(CLI::PositiveNumber);
    command->add_option("-o,--output", options->m_directory, "Directory to write to")->required();
    command->add_flag("--json", options->m_json, "Print one JSON object");
    command->footer("Writes DIR/sections/HASH.json, then DIR/manifest.json; publish them in this\n"
                    "order. A sheet with a fault writes nothing.\n\n"
                    "Exit codes: 0 written, 1 faults, 2 wrong usage, unreadable sheet or\n"
                    "unwritable directory.\n\n"
                    "Examples:\n"
                    "  pomelohead sheet build examples/gwynedd.csv --version 7 -o out/7");
    command->callback([options, &exit_code] { exit_code = run_build(*options); });
}

void add_diff(CLI::App& parent, int& exit_code)
{
    auto options = std::make_shared<sheet_options>();
    CLI::App* command = parent.add_subcommand("diff", "Say what would change between two sheets");
    command->add_option("A", options->m_sheet, "The sheet now in force")->required();
    command->add_option("B", options->m_other_sheet, "The sheet to publish")->required();
    command->add_flag("--json", options->m_json, "Print one JSON object");
    command->footer("Warns of services that B leaves without a usable target.\n\n"
                    "Exit codes: 0 no change, 1 changes, 2 wrong usage, unreadable file or a\n"
                    "sheet with faults.\n\n"
                    "Examples:\n"
                    "  pomelohead sheet diff yesterday.csv today.csv\n"
                    "  pomelohead sheet diff --json yesterday.csv today.csv");
    command->callback([options, &exit_code] { exit_code = run_diff(*options); });
}

} // namespace

void add_sheet_command(CLI::App& app, int& exit_code)
{
    CLI::App* command = app.add_subcommand("sheet", "Check, build and compare operators' sheets");
    command->require_subcommand(1);
    command->footer("Examples:\n"
                    "  pomelohead sheet check examples/gwynedd.csv\n"
                    "  pomelohead sheet build examples/gwynedd.csv --version 7 -o out/7\n"
                    "  pomelohead sheet diff yesterday.csv today.csv");
    add_check(*command, exit_code);
    add_build(*command, exit_code);
    add_diff(*command, exit_code);
}

} // namespace pomelohead::cli
