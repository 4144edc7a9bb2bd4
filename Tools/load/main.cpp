#include <array>
#include <cstdio>
#include <exception>
#include <fstream>
#include <span>

#include <load/direct_comparison.hpp>
#include <load/instructions.hpp>
#include <load/load_player.hpp>
#include <load/measures.hpp>
#include <load/slopes.hpp>
#include <options/options.hpp>

namespace
{

using namespace bluebellspoke;
using namespace bluebellspoke::load;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr std::array options{
    option_spec{"callers", option_type::count, "64",
                "callers that wait for their answers", "", 1, 4096},
    option_spec{"seconds", option_type::count, "4", "length of each round", "s",
                1, 600},
    option_spec{"service-us", option_type::count, "0",
                "one statement's time at the endpoint", "us", 0, 1'000'000},
    option_spec{"profiles", option_type::text, "none",
                "folder for the profiles that instructions takes", "", 0, 0},
    option_spec{"plot", option_type::text, "none", "file for an SVG plot", "",
                0, 0},
};

void print(const nlohmann::json& json)
{
    std::printf("%s\n", json.dump(2).c_str());
}

int run_play(const std::string& file, const std::string& plot)
{
    const load_result result = play(read_experiment_file(file));
    print(to_json(result));
    std::fputs(to_table(result).c_str(), stderr);
    if (plot != "none")
        std::ofstream(plot) << to_svg(result);
    return 0;
}

int run_command(const option_values& values)
{
    const std::vector<std::string>& words = values.words();
    if (words.size() == 2 && words[0] == "play")
        return run_play(words[1], values.text("plot"));
    if (words.size() == 1 && words[0] == "direct")
    {
        comparison_options o;
        o.m_callers = values.count("callers");
        o.m_each = std::chrono::seconds(values.count("seconds"));
        o.m_service_us = static_cast<unsigned>(values.count("service-us"));
        print(compare_with_direct(o));
        return 0;
    }
    if (words.size() == 1 && words[0] == "instructions")
    {
        instruction_options o;
        o.m_callers = values.count("callers");
        if (values.text("profiles") != "none")
            o.m_keep = values.text("profiles");
        print(count_instructions(o));
        return 0;
    }
    if (!words.empty() && words.size() <= 2 && words[0] == "measures")
    {
        const nlohmann::json measures =
            run_measures(words.size() == 2 ? words[1] : std::string());
        print(measures);
        std::fputs(measures_table(measures).c_str(), stderr);
        return 0;
    }
    if (!words.empty() && words.size() <= 2 && words[0] == "slopes")
    {
        print(run_slopes(words.size() == 2 ? words[1] : std::string()));
        return 0;
    }
    std::fputs("commands: play FILE, direct, instructions, measures [NAME], "
               "slopes [NAME]\n",
               stderr);
    return exit_usage;
}

}

int main(int argc, char** argv)
{
    try
    {
        const std::span<const char* const> arguments(
            argv, static_cast<std::size_t>(argc));
        return run_command(
            parse_options({"bluebellspoke_load", "Plays load against stand-ins",
                           "0", "command"},
                          options, arguments, process_environment()));
    }
    catch (const options_exit&)
    {
        return 0;
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return exit_failed;
    }
}
