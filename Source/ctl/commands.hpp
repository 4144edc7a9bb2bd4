#ifndef BLUEBELLSPOKE_CTL_COMMANDS_HPP
#define BLUEBELLSPOKE_CTL_COMMANDS_HPP

#include <exception>
#include <span>
#include <string>

#include <ctl/operator_session.hpp>

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

/// Runs one command and returns what it prints.
/// Throws usage_error, platform_error, settings_error.
std::string run_command(operator_session& s,
                        std::span<const std::string> words);

}

#endif
