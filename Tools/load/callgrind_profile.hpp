#ifndef BLUEBELLSPOKE_LOAD_CALLGRIND_PROFILE_HPP
#define BLUEBELLSPOKE_LOAD_CALLGRIND_PROFILE_HPP

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

namespace bluebellspoke::load
{

/// What ran in a function itself, without what it called.
struct function_cost
{
    std::int64_t m_instructions = 0;
    std::int64_t m_system_calls = 0;
};

/// One thread's functions by name.
using thread_profile = std::map<std::string, function_cost>;

/// Reads a file that callgrind wrote with --collect-systime.
thread_profile read_callgrind_file(const std::filesystem::path& file);

}

#endif
