#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <options/options.hpp>

using namespace bluebellspoke;

namespace
{

constexpr std::array specs{
    option_spec{"listen", option_type::address, "", "address", "", 0, 0},
    option_spec{"limit-ms", option_type::count, "50", "limit", "ms", 10, 100},
    option_spec{"charts", option_type::folder, "/", "folder", "", 0, 0},
    option_spec{"key", option_type::file, "", "key", "", 0, 0},
    option_spec{"certificate", option_type::file, "", "chain", "", 0, 0},
    option_spec{"check", option_type::flag, "", "check", "", 0, 0}};

constexpr std::array<std::string_view, 2> together{"certificate", "key"};

option_values parse(std::vector<const char*> arguments,
                    const std::map<std::string, std::string>& variables = {})
{
    arguments.insert(arguments.begin(), "program");
    return parse_options({"program", "A program", "1", ""}, specs, arguments,
                         [&](std::string_view name)
                         {
                             const auto found =
                                 variables.find(std::string(name));
                             return found == variables.end()
                                        ? std::optional<std::string>()
                                        : found->second;
                         });
}

}

TEST_CASE("Settings come from flags and environment variables")
{
    SECTION("a flag goes before a variable, and that before the default")
    {
        const std::map<std::string, std::string> variables{
            {"BLUEBELLSPOKE_LISTEN", "127.0.0.1:1"},
            {"BLUEBELLSPOKE_LIMIT_MS", "60"}};
        REQUIRE(parse({}, variables).text("listen") == "127.0.0.1:1");
        REQUIRE(parse({}, variables).count("limit-ms") == 60);
        REQUIRE(parse({"--limit-ms", "70"}, variables).count("limit-ms") == 70);
        REQUIRE(parse({"--listen", "[::1]:2"}).count("limit-ms") == 50);
        REQUIRE(parse({"--listen", "[::1]:2", "--check"}).given("check"));
    }
    SECTION("all faults are named at once")
    {
        try
        {
            parse({"--listen", "localhost:80", "--limit-ms", "9", "--charts",
                   "/no/such/folder"});
            FAIL("faulty settings were taken");
        }
        catch (const options_error& e)
        {
            REQUIRE(e.m_faults.size() == 3);
            REQUIRE(e.m_faults[0].m_kind == option_fault_kind::not_an_address);
            REQUIRE(e.m_faults[1].m_kind == option_fault_kind::out_of_range);
            REQUIRE(e.m_faults[1].m_value == "9");
            REQUIRE(e.m_faults[1].m_allowed == "10 to 100 ms");
            REQUIRE(e.m_faults[2].m_kind == option_fault_kind::no_such_folder);
            const std::string text = e.what();
            for (const char* name : {"listen", "limit-ms", "charts"})
                REQUIRE(text.find(name) != std::string::npos);
        }
    }
    SECTION("some of those that belong together are not enough")
    {
        const option_values none = parse({"--listen", "[::1]:2"});
        REQUIRE_NOTHROW(check_together(none, specs, together));
        const option_values both =
            parse({"--listen", "[::1]:2", "--key", "/proc/self/exe",
                   "--certificate", "/proc/self/exe"});
        REQUIRE_NOTHROW(check_together(both, specs, together));
        const option_values half =
            parse({"--listen", "[::1]:2", "--key", "/proc/self/exe"});
        try
        {
            check_together(half, specs, together);
            FAIL("half a set was taken");
        }
        catch (const options_error& e)
        {
            REQUIRE(e.m_faults.size() == 1);
            REQUIRE(e.m_faults[0].m_name == "certificate");
            REQUIRE(e.m_faults[0].m_kind == option_fault_kind::missing);
        }
    }
    SECTION("a missing one, a word for a number and an unknown flag")
    {
        REQUIRE_THROWS_AS(parse({}), options_error);
        REQUIRE_THROWS_AS(parse({"--listen", "[::1]:2", "--limit-ms", "ten"}),
                          options_error);
        REQUIRE_THROWS_AS(parse({"--listen", "[::1]:2", "--surprise", "1"}),
                          options_error);
    }
}
