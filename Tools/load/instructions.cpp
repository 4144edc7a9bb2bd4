#include <load/instructions.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <string_view>
#include <utility>

#include <load/callgrind_profile.hpp>
#include <load/plain_read.hpp>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;

/// The profiles of one run, by task.
using task_profiles = std::map<std::string, thread_profile>;

constexpr std::string_view main_task = "admin";

struct counted_round
{
    loop m_loop;
    std::size_t m_to_send = 0;
    std::size_t m_to_come = 0;
};

struct counted_caller
{
    counted_round& m_round;
    http2_client m_client;
    const http2_request& m_request;
};

void ask(counted_caller& c)
{
    constexpr std::chrono::seconds limit{20};
    if (c.m_round.m_to_send == 0)
        return;
    --c.m_round.m_to_send;
    c.m_client.send(c.m_request, limit,
                    [&c](http2_result& result)
                    {
                        const auto* r = std::get_if<http2_response>(&result);
                        if (r == nullptr || r->m_status != 200)
                            ++c.m_round.m_to_send;
                        else if (--c.m_round.m_to_come == 0)
                            stop(c.m_round.m_loop);
                        ask(c);
                    });
}

void run_statements(const support::fleet& f, std::size_t callers,
                    std::size_t statements)
{
    const http2_request request = make_proxied_read(f);
    counted_round round{make_loop(), statements, statements};
    std::vector<std::unique_ptr<counted_caller>> all;
    for (std::size_t i = 0; i < callers; ++i)
        all.push_back(std::unique_ptr<counted_caller>(new counted_caller{
            round, http2_client(round.m_loop, f.m_daemons.front().m_callers),
            request}));
    for (const auto& c : all)
        ask(*c);
    run(round.m_loop);
}

// Each task's thread runs its own function; the main thread is the admin's.
std::string task_of(const thread_profile& profile)
{
    constexpr std::array<std::string_view, 3> tasks{"front", "pool", "control"};
    for (const std::string_view task : tasks)
    {
        const std::string body = "run_" + std::string(task) + "_task";
        for (const auto& [function, cost] : profile)
            if (function.find(body) != std::string::npos)
                return std::string(task);
    }
    return std::string(main_task);
}

task_profiles profile_statements(const instruction_options& options,
                                 std::size_t statements)
{
    constexpr unsigned spare = 16;
    const support::scratch_folder folder;
    support::fleet_options o;
    o.m_daemons = 1;
    o.m_endpoints = 1;
    o.m_slots = static_cast<unsigned>(options.m_callers);
    o.m_connections = 2 * static_cast<unsigned>(options.m_callers) + spare;
    o.m_daemon_runner = {"/usr/bin/env",
                         "valgrind",
                         "--tool=callgrind",
                         "--separate-threads=yes",
                         "--collect-systime=nsec",
                         "--callgrind-out-file=" +
                             (folder.m_path / "profile").native()};
    const support::fleet f(o);
    run_statements(f, options.m_callers, statements);
    f.m_daemons.front().m_process->send_signal(SIGTERM);
    f.m_daemons.front().m_process->wait();
    if (!options.m_keep.empty())
        std::filesystem::copy(folder.m_path,
                              std::filesystem::path(options.m_keep) /
                                  std::to_string(statements));
    task_profiles result;
    for (const auto& file : std::filesystem::directory_iterator(folder.m_path))
    {
        thread_profile profile = read_callgrind_file(file.path());
        const std::string task = task_of(profile);
        for (auto& [function, cost] : profile)
        {
            function_cost& sum = result[task][function];
            sum.m_instructions += cost.m_instructions;
            sum.m_system_calls += cost.m_system_calls;
        }
    }
    return result;
}

struct slope
{
    std::string m_name;
    double m_instructions = 0;
    double m_system_calls = 0;
};

std::vector<slope> slopes_of(const thread_profile& few,
                             const thread_profile& many, double statements)
{
    std::vector<slope> slopes;
    for (const auto& [function, cost] : many)
    {
        const auto found = few.find(function);
        const function_cost before =
            found == few.end() ? function_cost() : found->second;
        slopes.push_back(
            {function,
             static_cast<double>(cost.m_instructions - before.m_instructions) /
                 statements,
             static_cast<double>(cost.m_system_calls - before.m_system_calls) /
                 statements});
    }
    std::sort(slopes.begin(), slopes.end(),
              [](const slope& a, const slope& b)
              {
                  return a.m_instructions > b.m_instructions;
              });
    return slopes;
}

json to_json(const slope& s)
{
    return {{"name", s.m_name},
            {"instructions", s.m_instructions},
            {"system_calls", s.m_system_calls}};
}

json describe_task(const std::vector<slope>& slopes)
{
    constexpr std::size_t most_functions = 40;
    constexpr double least_system_calls = 0.05;
    slope sum;
    json functions = json::array();
    json calls = json::array();
    for (const slope& s : slopes)
    {
        sum.m_instructions += s.m_instructions;
        sum.m_system_calls += s.m_system_calls;
        if (functions.size() < most_functions)
            functions.push_back(to_json(s));
        if (s.m_system_calls >= least_system_calls)
            calls.push_back(to_json(s));
    }
    return {{"instructions", sum.m_instructions},
            {"system_calls", sum.m_system_calls},
            {"by_function", std::move(functions)},
            {"that_call_the_kernel", std::move(calls)}};
}

}

json count_instructions(const instruction_options& options)
{
    const task_profiles few = profile_statements(options, options.m_few);
    const task_profiles many = profile_statements(options, options.m_many);
    const auto statements = static_cast<double>(options.m_many - options.m_few);
    json tasks = json::object();
    double sum = 0;
    for (const auto& [task, profile] : many)
    {
        const auto found = few.find(task);
        const thread_profile none;
        tasks[task] = describe_task(slopes_of(
            found == few.end() ? none : found->second, profile, statements));
        sum += tasks[task]["instructions"].get<double>();
    }
    return {{"callers", options.m_callers},
            {"instructions_per_statement", sum},
            {"tasks", std::move(tasks)}};
}

}
