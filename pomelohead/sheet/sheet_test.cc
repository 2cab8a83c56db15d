#include "pomelohead/sheet/sheet.h"

#include "pomelohead/config/bundle.h"
#include "pomelohead/config/validate.h"
#include "pomelohead/sheet/csv_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <random>
#include <set>

namespace pomelohead::sheet {
namespace {

// Row numbers in the tests below refer to this sheet.
const std::string good_sheet = "routes\r\n"                                                     // 1
                               "route,account,method,path,service,class,idempotent,urgency,"    // 2
                               "deadline_ms\r\n"                                                //
                               "rota,Gwynedd,GET,/rota,rota,short,yes,urgent,800\r\n"           // 3
                               "photo,Gwynedd,PUT,/photos,rota,long,yes,deferrable,3600000\r\n" // 4
                               "\r\n"                                                           // 5
                               "targets\r\n"                                                    // 6
                               "target,service,host,port,failure_domain,slots,connections\r\n"  // 7
                               "rota-1,rota,127.0.1.1,7100,bala,9,110\r\n"                      // 8
                               "rota-2,rota,127.0.1.2,7100,bala,9,110\r\n"                      // 9
                               "\r\n"                                        // 10
                               "drains\r\n"                                  // 11
                               "target,note\r\n"                             // 12
                               "rota-2,\"tŵr, \"\"mawr\"\"\"\r\n"            // 13
                               "\r\n"                                        // 14
                               "sheds\r\n"                                   // 15
                               "account,class,from_urgency,load_percent\r\n" // 16
                               "*,short,deferrable,150\r\n";                 // 17

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, "'" + from + "' is not in the sheet");
    return text.replace(at, from.size(), to);
}

std::string all_text(const std::vector<sheet_fault>& faults)
{
    std::string text;
    for (const sheet_fault& fault : faults) {
        text += to_sentence(fault) + '\n';
    }
    return text;
}

std::string read_example(const std::string& name)
{
    std::ifstream in("examples/" + name, std::ios::binary);
    BOOST_REQUIRE_MESSAGE(in, "run the tests from the root of the repository");
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

BOOST_AUTO_TEST_CASE(example_sheets_are_valid_and_make_valid_bundles)
{
    struct example {
        const char* m_name;
        std::size_t m_targets;
        std::size_t m_domains;
        const char* m_route; // quoted or accented
    };
    for (const example& c : {example{"gwynedd.csv", 10, 3, "Llun o'r tŵr (\"regulator check\")"},
                             example{"quebec.csv", 11, 3, "Départs, réseau \"Est\""}}) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            const std::string bytes = read_example(c.m_name);
            BOOST_TEST(bytes.starts_with("\xEF\xBB\xBF"));
            BOOST_TEST(bytes.find("\r\n") != std::string::npos);
            parsed_sheet parsed = parse_sheet(c.m_name, bytes);
            BOOST_REQUIRE_MESSAGE(parsed.m_faults.empty(), all_text(parsed.m_faults));
            BOOST_TEST(parsed.m_config.find_route_by_name(c.m_route) != nullptr);
            std::set<std::string> domains;
            std::set<std::string> hosts;
            for (const config::service& item : parsed.m_config.m_services) {
                for (const config::target& member : item.m_targets) {
                    domains.insert(member.m_failure_domain);
                    hosts.insert(member.m_host);
                }
            }
            BOOST_TEST(domains.size() == c.m_domains);
            BOOST_TEST(hosts.size() == c.m_targets);
            parsed.m_config.m_version = 1;
            const config::bundle bundle = config::make_bundle(parsed.m_config);
            reason why;
            BOOST_TEST(config::open_bundle(bundle.m_manifest, bundle.m_sections, why).has_value(),
                       why.m_text);
        }
    }
}

BOOST_AUTO_TEST_CASE(equivalent_csv_encodings_give_the_same_configuration)
{
    const parsed_sheet expected = parse_sheet("s", good_sheet);
    BOOST_REQUIRE_MESSAGE(expected.m_faults.empty(), all_text(expected.m_faults));
    BOOST_TEST(expected.m_config.m_drains.at(0).m_note == "tŵr, \"mawr\"");
    std::string line_feeds = good_sheet;
    std::erase(line_feeds, '\r');
    std::string padded;
    for (const char c : good_sheet) {
        padded += c == '\r' ? std::string(",, ,\r") : std::string(1, c);
    }
    const std::string no_last_line_end = good_sheet.substr(0, good_sheet.size() - 2);
    const std::string spellings[] = {
        line_feeds,
        padded,
        no_last_line_end,
        "\xEF\xBB\xBF" + good_sheet,
        "\r\n\r\n" + good_sheet,
        replaced(good_sheet, "rota,Gwynedd,GET", "\"rota\", Gwynedd ,\"GET\""),
        replaced(good_sheet, "target,note\r\nrota-2,\"tŵr, \"\"mawr\"\"\"",
                 "note,target\r\n\"tŵr, \"\"mawr\"\"\",rota-2"),
        replaced(good_sheet, "\r\n\r\ntargets", "\r\ntargets"),
    };
    for (const std::string& spelling : spellings) {
        const parsed_sheet parsed = parse_sheet("s", spelling);
        BOOST_TEST(parsed.m_faults.empty(), all_text(parsed.m_faults));
        BOOST_TEST((parsed.m_config == expected.m_config), spelling);
    }
}

BOOST_AUTO_TEST_CASE(each_fault_names_its_row_column_and_reason)
{
    struct fault_case {
        const char* m_from;
        const char* m_to;
        std::size_t m_row;
        std::size_t m_column;
        const char* m_text; // part of the fault's text
    };
    const fault_case cases[] = {
        {"short,yes,urgent", "brief,yes,urgent", 3, 6, "must be short or long, not 'brief'"},
        {"short,yes,urgent", "short,maybe,urgent", 3, 7, "must be no or yes"},
        {"short,yes,urgent", "short,yes,now", 3, 8, "must be urgent, normal or deferrable"},
        {"urgent,800", "urgent,8e2", 3, 9, "must be a whole number"},
        {"urgent,800", "urgent,-1", 3, 9, "must be a whole number"},
        {"urgent,800", "urgent,0", 3, 9, "must be from 1"},
        {"urgent,800", "urgent", 3, 9, "is empty"},
        {"urgent,800", "urgent,800,late", 3, 10, "outside the block's columns"},
        {"rota,Gwynedd,GET", ",Gwynedd,GET", 3, 1, "is empty"},
        {"rota,Gwynedd,GET", "rota,Gwynedd,get", 3, 3, "upper-case HTTP method"},
        {"GET,/rota,rota", "GET,rota,rota", 3, 4, "must begin with /"},
        {"GET,/rota,rota", "GET,/rota,nowhere", 3, 5, "has no targets"},
        {"photo,Gwynedd,PUT,/photos", "rota,Gwynedd,PUT,/photos", 4, 1, "already defined in row 3"},
        {"PUT,/photos", "GET,/rota", 4, 4, "another route already matches GET /rota"},
        {"deadline_ms\r\n", "deadline\r\n", 2, 9, "unknown column 'deadline'"},
        {"deadline_ms\r\n", "path\r\n", 2, 9, "column 'path' appears twice"},
        {"service,host,port", "service,host,host", 7, 4, "appears twice"},
        {"127.0.1.1,7100", "127.0.1.1,71000", 8, 4, "must be a whole number up to 65535"},
        {"127.0.1.1,7100", "127.0.1.1,0", 8, 4, "must be from 1 to 65535"},
        {"127.0.1.1,7100", "clock.example,7100", 8, 3, "must be an IP address"},
        {"bala,9,110", "bala,0,110", 8, 6, "must be from 1 to 10000"},
        {"bala,9,110", "bala,9,8", 8, 7, "from the number of slots"},
        {"rota-2,rota,127.0.1.2", "rota-2,rota,127.0.1.1", 9, 3, "already has this host and port"},
        {"127.0.1.2,7100,bala", "127.0.1.1,7101,porthmadog", 9, 5,
         "row 8 puts host 127.0.1.1 in failure domain 'bala'"},
        {"rota-2,\"t", "rota-3,\"t", 13, 1, "does not exist"},
        {"mawr", "ma\r\nwr", 13, 2, "line break"},
        {"*,short,deferrable,150", "*,short,deferrable,0", 17, 4, "must be from 1 to 1000"},
        {"*,short,deferrable,150", "Bala,short,deferrable,150", 17, 1, "has no route"},
        {"deferrable,150\r\n", "deferrable,150\r\n*,short,deferrable,90\r\n", 18, 1,
         "row 17 already has a rule"},
        {"targets\r\n", "target sets\r\n", 6, 1,
         "must begin with routes, targets, drains or sheds"},
        {"routes\r\n", "routes;;;;\r\n", 1, 1, "commas, not semicolons"},
        {"sheds\r\naccount,class,from_urgency,load_percent\r\n*,short,deferrable,150\r\n",
         "sheds\r\n", 15, 0, "must be its header"},
        {"t\xC5\xB5r", "t\xFBr", 13, 2, "is not UTF-8"},
        {"rota-2,\"t", "rota-2,x\"t", 13, 2, "unescaped quote mark"},
        {"mawr\"\"\"", "mawr\"\"", 13, 2, "is not closed"},
    };
    for (const fault_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_from << " -> " << c.m_to)
        {
            const parsed_sheet parsed =
                parse_sheet("sheet.csv", replaced(good_sheet, c.m_from, c.m_to));
            const bool found = std::ranges::any_of(parsed.m_faults, [&](const sheet_fault& fault) {
                return fault.m_file == "sheet.csv" && fault.m_row == c.m_row &&
                       fault.m_column == c.m_column &&
                       fault.m_text.find(c.m_text) != std::string::npos;
            });
            BOOST_TEST(found, all_text(parsed.m_faults));
        }
    }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_in_order_and_once_for_each_cell)
{
    std::string bad = replaced(good_sheet, "short,yes,urgent,800", "brief,yes,now,0");
    bad = replaced(bad, "bala,9,110", "bala,none,110");
    bad = replaced(bad, "rota-2,\"t", "rota-9,\"t");
    const parsed_sheet parsed = parse_sheet("s", bad);
    BOOST_TEST(all_text(parsed.m_faults) ==
               "s: row 3, column F (class): must be short or long, not 'brief'\n"
               "s: row 3, column H (urgency): must be urgent, normal or deferrable, not 'now'\n"
               "s: row 3, column I (deadline_ms): must be from 1 to 86400000\n"
               "s: row 8, column F (slots): must be a whole number, not 'none'\n"
               "s: row 13, column A (target): names a target that does not exist\n");
}

BOOST_AUTO_TEST_CASE(parsing_continues_after_a_quoting_fault)
{
    std::string bad = replaced(good_sheet, "photo,Gwynedd", "\"photo\"x,Gwynedd");
    bad = replaced(bad, "*,short", "*,small");
    const parsed_sheet parsed = parse_sheet("s", bad);
    BOOST_REQUIRE(parsed.m_faults.size() == 2U);
    BOOST_TEST(parsed.m_faults[0].m_row == 4U);
    BOOST_TEST(parsed.m_faults[1].m_row == 17U);
}

BOOST_AUTO_TEST_CASE(limits_are_enforced)
{
    struct limit_case {
        const char* m_name;
        std::string m_bytes;
        const char* m_text;
    };
    std::string many_faults = "routes\nroute\n";
    for (std::size_t i = 0; i < 2 * max_faults; ++i) {
        many_faults += ",x\n";
    }
    std::string rows;
    for (int i = 0; i < 8'000; ++i) {
        const std::string number = std::to_string(i);
        rows.append("r").append(number).append(",Gwynedd,GET,/r/").append(number);
        rows.append(",rota,short,yes,normal,800\r\n");
    }
    const limit_case cases[] = {
        {"empty", "", "no routes"},
        {"bytes", std::string(max_sheet_bytes + 1, ','), "8000001 bytes; the limit is 8000000"},
        {"rows", std::string(max_rows + 1, '\n'), "more than 50000 rows"},
        {"columns", std::string(max_columns, ',') + '\n', "65 cells; the limit is 64"},
        {"cell", replaced(good_sheet, "mawr", std::string(max_cell_bytes, 'm')),
         "bytes; the limit is 1000"},
        {"UTF-16", "\xFF\xFEr", "UTF-16"},
        {"faults", many_faults, "more faults"},
        {"published value", replaced(good_sheet, "photo,", rows + "photo,"),
         "the limit is 1000000"},
    };
    for (const limit_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            const parsed_sheet parsed = parse_sheet("s", c.m_bytes);
            BOOST_TEST(all_text(parsed.m_faults).find(c.m_text) != std::string::npos);
            BOOST_TEST(parsed.m_faults.size() <= max_faults + 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(invalid_utf8_is_rejected)
{
    struct text_case {
        const char* m_bytes;
        bool m_good;
    };
    const text_case cases[] = {
        {"\xC5\xB5", true},          {"\xE2\x82\xAC", true},  {"\xF0\x9F\x95\xB0", true},
        {"\xC0\xAF", false},         {"\xE0\x80\xAF", false}, {"\xED\xA0\x80", false},
        {"\xF4\x90\x80\x80", false}, {"\xE2\x82", false},     {"\xFF", false},
    };
    for (const text_case& c : cases) {
        BOOST_TEST(read_csv("s", c.m_bytes).m_faults.empty() == c.m_good);
    }
}

// Any input gives either faults or a configuration that nodes accept.
BOOST_AUTO_TEST_CASE(mutated_sheets_are_rejected_or_valid)
{
    constexpr int rounds = 4'000;
    std::mt19937_64 random(20'240'601);
    const std::string pieces[] = {"\"",   ",",        "\r\n", "\n",    "\xFF",
                                  "\xC5", "routes\n", "0",    "-1",    "rota",
                                  "*",    " ",        "\"\"", "sheds", std::string(1, '\0')};
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        std::string bytes = good_sheet;
        for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
            const std::size_t at = random() % bytes.size();
            const std::string& piece = pieces[random() % std::size(pieces)];
            switch (random() % 3) {
            case 0:
                bytes.insert(at, piece);
                break;
            case 1:
                bytes.erase(at, 1 + random() % 20);
                break;
            default:
                bytes.replace(at, 1, piece);
            }
        }
        parsed_sheet parsed = parse_sheet("s", bytes);
        if (!parsed.m_faults.empty()) {
            continue;
        }
        ++accepted;
        parsed.m_config.m_version = 1;
        const config::bundle bundle = config::make_bundle(parsed.m_config);
        reason why;
        const auto opened = config::open_bundle(bundle.m_manifest, bundle.m_sections, why);
        BOOST_REQUIRE_MESSAGE(opened, "round " << i << ": " << why.m_text);
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < rounds);
}

} // namespace pomelohead::sheet
