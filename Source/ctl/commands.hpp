#ifndef BLUEBELLSPOKE_CTL_COMMANDS_HPP
#define BLUEBELLSPOKE_CTL_COMMANDS_HPP

#include <exception>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include <ctl/operator_session.hpp>
#include <ctl/settings_edit.hpp>

namespace bluebellspoke
{

/// The words after the settings name no command; says how to use it.
class usage_error : public std::exception
{
public:
    explicit usage_error(std::string usage);
    const char* what() const noexcept override;

private:
    std::string m_usage;
};

/// What a command prints, for people and for scripts, and how it ends.
struct command_result
{
    std::string m_text;
    nlohmann::ordered_json m_json;
    exit_code m_code = exit_code::ok;
};

using words = std::span<const std::string>;

/// One command. Its last arguments may be left out down to `m_least`.
struct command
{
    std::string_view m_name;
    std::size_t m_least;
    std::size_t m_most;
    std::string_view m_usage;
    std::string_view m_meaning;
    command_result (*m_run)(operator_session&, words);
    bool m_needs_platform = true;
};

std::span<const command> settings_commands() noexcept;
std::span<const command> access_commands() noexcept;
std::span<const command> fleet_commands() noexcept;
std::span<const command> explain_commands() noexcept;

/// A node's path; people may write it as it is shown, with a slash before it.
std::string to_path(const std::string& word);
/// Reads a version from a command's word. Throws usage_error.
std::uint64_t read_version(const std::string& word);
/// Says what became of an edit.
command_result report_edit(const edit_outcome& outcome);

/// True unless the line names a command that doesn't call the platform.
bool needs_platform(words line) noexcept;

/// Runs one command. Throws usage_error, ctl_error, settings_error.
command_result run_command(operator_session& s, words line);

}

#endif
