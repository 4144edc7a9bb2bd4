#include <load/process_usage.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace bluebellspoke::load
{

namespace
{

std::string process_folder(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

std::string read_text(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return std::move(text).str();
}

double number_after(const std::string& text, const std::string& label)
{
    const std::size_t at = text.find(label);
    return at == std::string::npos ? 0
                                   : std::stod(text.substr(at + label.size()));
}

// proc(5): user and system time are the 14th and 15th field, and the 3rd is
// the first after the name's bracket.
double stat_seconds(const std::string& stat)
{
    constexpr int fields_before_times = 11;
    std::istringstream rest(stat.substr(stat.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}

double processor_seconds(pid_t process, std::string_view thread)
{
    if (thread.empty())
        return stat_seconds(read_text(process_folder(process) + "/stat"));
    double sum = 0;
    const std::string name = "(" + std::string(thread) + ")";
    for (const auto& task :
         std::filesystem::directory_iterator(process_folder(process) + "/task"))
    {
        const std::string stat = read_text(task.path().string() + "/stat");
        if (stat.find(name) != std::string::npos)
            sum += stat_seconds(stat);
    }
    return sum;
}

double resident_bytes(pid_t process)
{
    constexpr double kibibyte = 1024;
    return kibibyte *
           number_after(read_text(process_folder(process) + "/status"),
                        "VmRSS:");
}

double transferred_bytes(pid_t process)
{
    const std::string io = read_text(process_folder(process) + "/io");
    return number_after(io, "rchar:") + number_after(io, "wchar:");
}

}
