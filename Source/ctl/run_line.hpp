#ifndef BLUEBELLSPOKE_CTL_RUN_LINE_HPP
#define BLUEBELLSPOKE_CTL_RUN_LINE_HPP

#include <string>

#include <ctl/commands.hpp>

namespace bluebellspoke
{

/// What a run of the client prints, and its exit code.
struct printed
{
    std::string m_output;
    std::string m_errors;
    exit_code m_code = exit_code::ok;
};

/// Runs one command; every failure becomes text and an exit code.
printed run_line(operator_session& s, words line, bool as_json);

}

#endif
