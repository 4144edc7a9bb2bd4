#ifndef BLUEBELLSPOKE_LOAD_INSTRUCTIONS_HPP
#define BLUEBELLSPOKE_LOAD_INSTRUCTIONS_HPP

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace bluebellspoke::load
{

struct instruction_options
{
    std::size_t m_callers = 64; ///< Each waits for its answer.
    std::size_t m_few = 1000;   ///< Statements of the first run.
    std::size_t m_many = 5000;  ///< Statements of the second run.
    std::string m_keep;         ///< Folder for callgrind's files, unless empty.
};

/// Runs a daemon under callgrind for few and for many reads, and gives the
/// slopes between the two, in which its start cancels: instructions and system
/// calls a statement, by task and by function. The kernel's own instructions
/// aren't in it. Throws support::spawn_error.
nlohmann::json count_instructions(const instruction_options& options);

}

#endif
