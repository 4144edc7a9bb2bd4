#include <array>
#include <cstdio>
#include <exception>
#include <span>
#include <string>

#include <options/options.hpp>
#include <scenario/decision_verbs.hpp>
#include <scenario/lua_host.hpp>
#include <scenario/process_verbs.hpp>

namespace
{

using namespace bluebellspoke;

constexpr std::array options{
    option_spec{"seed", option_type::count, "0",
                "the only seed to run; 0 runs all of the story's", "", 0,
                1'000'000},
    option_spec{"section", option_type::text, "all",
                "the only section to run, as a failure names it", "", 0, 0}};

// Returns the number of sections that failed.
int run_story(const option_values& values, const std::string& story)
{
    scenario::lua_host host;
    scenario::process_world world;
    scenario::add_process_verbs(host, world);
    scenario::add_decision_verbs(host);
    host.set("scenario", {{"story", story},
                          {"seed", values.count("seed")},
                          {"section", values.text("section")}});
    for (const char* file : {"sections", "processes", "failover", "decisions"})
        host.run(std::string(TEST_FOLDER "/language/") + file + ".lua");
    return host.run(TEST_FOLDER "/language/run.lua").get<int>();
}

}

/// Runs one story: test_scenario [--seed N] [--section PATH] STORY.lua
int main(int argc, char** argv)
{
    try
    {
        const std::span<const char* const> arguments(
            argv, static_cast<std::size_t>(argc));
        const option_values values =
            parse_options({"test_scenario", "Runs a story", "0", "story"},
                          options, arguments, process_environment());
        return run_story(values, values.words().at(0)) == 0 ? 0 : 1;
    }
    catch (const options_exit&)
    {
        return 0;
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return 2;
    }
}
