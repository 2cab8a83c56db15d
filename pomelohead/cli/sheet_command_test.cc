#include "pomelohead/cli/sheet_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/config/bundle.h"

#include <CLI/CLI.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>

namespace pomelohead::cli {
namespace {

// A temporary directory, removed by the destructor.
class scratch_directory {
public:
    scratch_directory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "sheet_XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;
    ~scratch_directory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    [[nodiscard]] std::string path(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

struct command_result {
    int m_exit_code = 0;
    std::string m_out;
};

command_result run(const std::vector<std::string>& arguments)
{
    CLI::App app;
    command_result result;
    add_sheet_command(app, result.m_exit_code);
    std::ostringstream out;
    std::streambuf* const terminal = std::cout.rdbuf(out.rdbuf());
    try {
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    }
    catch (const CLI::ParseError&) {
        result.m_exit_code = -1;
    }
    std::cout.rdbuf(terminal);
    result.m_out = out.str();
    return result;
}

const std::string example = "examples/gwynedd.csv";

std::string example_with(const std::string& from, const std::string& to)
{
    reason why;
    std::string text = read_file(example, 1'000'000, why).value_or("");
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(sheet_commands_print_and_exit_as_documented)
{
    const scratch_directory files;
    reason why;
    const std::string bad = files.path("bad.csv");
    const std::string later = files.path("later.csv");
    BOOST_REQUIRE(write_file(bad, example_with(",urgent,800", ",soon,800"), why));
    BOOST_REQUIRE(write_file(later, example_with("/rota,rota,short", "/rota,rota,long"), why));
    const std::string output = files.path("out");
    struct command_case {
        std::vector<std::string> m_arguments;
        int m_exit_code; // -1: refused by the parser
        std::string m_text;
    };
    const command_case cases[] = {
        {{"check", example}, 0, "good: 6 routes, 2 services, 10 targets"},
        {{"check", "--json", example}, 0, "\"good\": true"},
        {{"check", bad}, 1, bad + ": row 3, column H (urgency): must be urgent"},
        {{"check", "--json", bad}, 1, "\"column\": \"H\""},
        {{"check", files.path("none.csv")}, 2, ""},
        {{"check", files.path("")}, 2, ""},
        {{"check"}, -1, ""},
        {{"build", bad, "--version", "7", "-o", output}, 1, "nothing is written"},
        {{"build", example, "--version", "0", "-o", output}, -1, ""},
        {{"build", example, "--version", "7"}, -1, ""},
        {{"build", example, "--version", "7", "-o", bad}, 2, ""},
        {{"diff", example, example}, 0, "no change"},
        {{"diff", example, later}, 1, "route 'Rota heno' changes class: 'short' -> 'long'"},
        {{"diff", "--json", example, later}, 1, "\"kind\": \"route_class_changed\""},
        {{"diff", example, bad}, 2, "row 3, column H"},
        {{"diff", example, files.path("none.csv")}, 2, ""},
    };
    for (const command_case& c : cases) {
        std::vector<std::string> arguments = {"sheet"};
        arguments.insert(arguments.end(), c.m_arguments.begin(), c.m_arguments.end());
        const command_result result = run(arguments);
        BOOST_TEST_CONTEXT(c.m_arguments.front() << " -> " << c.m_text)
        {
            BOOST_TEST(result.m_exit_code == c.m_exit_code);
            BOOST_TEST(result.m_out.find(c.m_text) != std::string::npos, result.m_out);
        }
    }
    BOOST_TEST(!std::filesystem::exists(output));
}

BOOST_AUTO_TEST_CASE(a_built_directory_opens_as_the_version)
{
    const scratch_directory files;
    const std::string output = files.path("out");
    BOOST_TEST(run({"sheet", "build", example, "--version", "7", "-o", output}).m_exit_code == 0);
    reason why;
    std::map<std::string, std::string> sections;
    for (const auto& entry : std::filesystem::directory_iterator(output + "/sections")) {
        sections[entry.path().stem()] =
            read_file(entry.path(), config::max_value_bytes, why).value_or("");
    }
    const auto manifest = read_file(output + "/manifest.json", config::max_value_bytes, why);
    BOOST_REQUIRE(manifest);
    const auto opened = config::open_bundle(*manifest, sections, why);
    BOOST_REQUIRE_MESSAGE(opened, why.m_text);
    BOOST_TEST(opened->m_version == 7U);
    BOOST_TEST(opened->m_services.size() == 2U);
}

BOOST_AUTO_TEST_CASE(files_are_read_up_to_their_limit)
{
    const scratch_directory files;
    reason why;
    BOOST_REQUIRE(write_file(files.path("f"), "12345", why));
    BOOST_TEST(read_file(files.path("f"), 5, why).value_or("") == "12345");
    BOOST_TEST(!read_file(files.path("f"), 4, why));
    BOOST_TEST((why.m_code == reason_code::too_large));
}

} // namespace pomelohead::cli
