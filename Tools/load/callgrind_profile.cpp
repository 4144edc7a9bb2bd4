#include <load/callgrind_profile.hpp>

#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

namespace bluebellspoke::load
{

namespace
{

// A name comes whole once, as "(7) name", and as "(7)" from then on.
std::string resolve_name(std::map<std::string, std::string>& names,
                         const std::string& written)
{
    const std::size_t end = written.find(')') + 1;
    const std::string id = written.substr(0, end);
    if (end < written.size())
        names[id] = written.substr(end + 1);
    return names[id];
}

// A function without a name has its address, which says little without the
// library.
std::string in_object(const std::string& object, const std::string& function)
{
    if (!function.starts_with("0x"))
        return function;
    return std::filesystem::path(object).filename().native() + " " + function;
}

bool is_cost(std::string_view line)
{
    constexpr std::string_view starts = "0123456789+-*";
    return !line.empty() && starts.find(line.front()) != std::string_view::npos;
}

// "position instructions system-calls time"; zeroes at the end are left out.
function_cost parse_cost(const std::string& line)
{
    std::istringstream words(line);
    std::string position;
    function_cost cost;
    words >> position >> cost.m_instructions >> cost.m_system_calls;
    return cost;
}

}

thread_profile read_callgrind_file(const std::filesystem::path& file)
{
    constexpr std::string_view object_key = "ob=";
    constexpr std::string_view callee_object_key = "cob=";
    constexpr std::string_view function_key = "fn=";
    constexpr std::string_view callee_key = "cfn=";
    thread_profile profile;
    std::map<std::string, std::string> objects;
    std::map<std::string, std::string> names;
    std::string object;
    std::string function;
    bool of_callee = false; // The line after "calls=" is the callee's cost.
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with(object_key))
            object = resolve_name(objects, line.substr(object_key.size()));
        else if (line.starts_with(callee_object_key))
            resolve_name(objects, line.substr(callee_object_key.size()));
        else if (line.starts_with(function_key))
            function = in_object(
                object, resolve_name(names, line.substr(function_key.size())));
        else if (line.starts_with(callee_key))
            resolve_name(names, line.substr(callee_key.size()));
        else if (line.starts_with("calls="))
            of_callee = true;
        else if (is_cost(line) && !std::exchange(of_callee, false))
        {
            const function_cost cost = parse_cost(line);
            profile[function].m_instructions += cost.m_instructions;
            profile[function].m_system_calls += cost.m_system_calls;
        }
    }
    return profile;
}

}
