#include <ctl/commands.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace bluebellspoke
{

namespace
{

std::array<std::span<const command>, 4> all_commands()
{
    return {settings_commands(), access_commands(), fleet_commands(),
            explain_commands()};
}

std::string usage()
{
    constexpr std::size_t column = 38;
    std::string text = "commands:\n";
    for (const auto commands : all_commands())
        for (const command& c : commands)
        {
            std::string line = "  " + std::string(c.m_usage);
            line.resize(std::max(column, line.size() + 1), ' ');
            text.append(line).append(c.m_meaning).append("\n");
        }
    return text;
}

std::string join(std::span<const std::string> names)
{
    std::string text;
    for (const std::string& name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

}

usage_error::usage_error(std::string usage) : m_usage(std::move(usage)) {}

const char* usage_error::what() const noexcept
{
    return m_usage.c_str();
}

std::string to_path(const std::string& word)
{
    if (word.starts_with('/'))
        return word.substr(1);
    return word;
}

std::uint64_t read_version(const std::string& word)
{
    std::uint64_t version = 0;
    const char* end = word.data() + word.size();
    const auto read = std::from_chars(word.data(), end, version);
    if (read.ec != std::errc() || read.ptr != end)
        throw usage_error("'" + word + "' is no version: a whole number\n");
    return version;
}

command_result report_edit(const edit_outcome& outcome)
{
    command_result result;
    result.m_json["version"] = outcome.m_version;
    result.m_json["in_force"] = outcome.m_in_force;
    result.m_json["waiting_for"] = outcome.m_waiting;
    result.m_json["refused_by"] = outcome.m_refused;
    result.m_text = "version " + std::to_string(outcome.m_version);
    if (outcome.m_in_force)
    {
        result.m_text.append(" is in force\n");
        if (!outcome.m_waiting.empty())
            result.m_text.append("without the right to serve: ")
                .append(join(outcome.m_waiting))
                .append("\n");
        return result;
    }
    result.m_code = exit_code::not_in_force;
    result.m_text.append(" is in the platform, not yet in force\n");
    if (!outcome.m_waiting.empty())
        result.m_text.append("waiting for: ")
            .append(join(outcome.m_waiting))
            .append("\n");
    if (!outcome.m_refused.empty())
        result.m_text.append("refused by: ")
            .append(join(outcome.m_refused))
            .append("; 'status' names the nodes to mend\n");
    result.m_text.append("next: 'in-force ")
        .append(std::to_string(outcome.m_version))
        .append("' waits for it again\n");
    return result;
}

bool needs_platform(words line) noexcept
{
    for (const auto commands : all_commands())
        for (const command& c : commands)
            if (!line.empty() && c.m_name == line.front())
                return c.m_needs_platform;
    return true;
}

command_result run_command(operator_session& s, words line)
{
    if (line.empty())
        throw usage_error(usage());
    const std::size_t given = line.size() - 1;
    for (const auto commands : all_commands())
        for (const command& c : commands)
            if (c.m_name == line.front() && given >= c.m_least &&
                given <= c.m_most)
                return c.m_run(s, line.subspan(1));
    throw usage_error(usage());
}

}
