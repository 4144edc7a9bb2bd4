#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>
#include <ctl/run_line.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// Words stand apart by spaces; single quotes hold some together.
std::vector<std::string> split(const std::string& line)
{
    std::vector<std::string> found;
    bool quoted = false;
    bool open = false;
    for (const char c : line)
    {
        if (c == '\'')
        {
            quoted = !quoted;
            continue;
        }
        const bool between = c == ' ' && !quoted;
        if (!between && !open)
            found.emplace_back();
        open = !between;
        if (!between)
            found.back().push_back(c);
    }
    return found;
}

std::string blank_what_varies(const std::string& text)
{
    const std::regex time("[0-9-]{10}T[0-9:]{8}Z");
    const std::regex key("bbs_[0-9a-f]{64}");
    const std::regex digest("[0-9a-f]{64}");
    const std::string timeless = std::regex_replace(text, time, "TIME");
    const std::string keyless = std::regex_replace(timeless, key, "KEY");
    return std::regex_replace(keyless, digest, "DIGEST");
}

std::string play(operator_session& s, const std::string& line)
{
    std::vector<std::string> line_words = split(line);
    const bool as_json = line_words.front() == "--json";
    if (as_json)
        line_words.erase(line_words.begin());
    const printed run = run_line(s, line_words, as_json);
    return "> " + line + "\n" + blank_what_varies(run.m_output + run.m_errors) +
           "exit " + std::to_string(static_cast<int>(run.m_code)) + "\n\n";
}

std::string read_file(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

TEST_CASE("What operators type and what they are told")
{
    const std::string transcript =
        GENERATE(as<std::string>(), "settings", "keys", "mistakes");
    CAPTURE(transcript);
    const fleet f({.m_daemons = 0, .m_endpoints = 0});
    operator_session s({f.m_platform_address, {}, {}, std::chrono::seconds(1)});
    const std::string expected =
        read_file(TEST_FOLDER "/" + transcript + ".txt");
    std::string seen;
    std::istringstream lines(expected);
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with("> "))
            seen += play(s, line.substr(2));
    if (const char* folder = std::getenv("BLUEBELLSPOKE_TEST_LOGS"))
        std::ofstream(std::string(folder) + "/" + transcript + ".txt") << seen;
    REQUIRE(seen == expected);
}
