#include <chrono>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

using namespace std::chrono_literals;
using test_clock = std::chrono::steady_clock;

constexpr site_size large{
    .m_daemons = 72, .m_zones = 6, .m_workspaces = 78, .m_rate = 20};
constexpr std::size_t sessions_a_daemon = 10;

// CPU time of all tasks of a daemon, from its own metrics.
double cpu_seconds(const site& s, std::size_t daemon)
{
    std::istringstream lines(
        call_http(s.metrics_of(daemon), "GET", "/metrics").m_body);
    double all = 0;
    std::string line;
    while (std::getline(lines, line))
        if (line.starts_with("bluebellspoke_task_processor_seconds_total"))
            all += std::stod(line.substr(line.rfind(' ')));
    return all;
}

double cpu_seconds(const site& s)
{
    double all = 0;
    for (std::size_t i = 0; i < large.m_daemons; ++i)
        all += cpu_seconds(s, i);
    return all;
}

// Opens sessions of all workspaces, spread over all daemons.
std::vector<std::unique_ptr<line_caller>> open_sessions(const site& s)
{
    std::vector<std::unique_ptr<line_caller>> callers;
    for (std::size_t i = 0; i < sessions_a_daemon * large.m_daemons; ++i)
    {
        callers.push_back(
            std::make_unique<line_caller>(s.callers_of(i % large.m_daemons)));
        const std::size_t workspace =
            (i / large.m_daemons * 7 + i) % large.m_workspaces;
        REQUIRE(callers.back()->start("browse", key_of(workspace)) == "READY");
    }
    return callers;
}

struct load_result
{
    std::size_t m_asked = 0;
    std::size_t m_refused = 0;
};

// Sends a statement of a random caller every `period` for as long as `span`.
load_result run_load(const std::vector<std::unique_ptr<line_caller>>& callers,
                     test_clock::duration period, test_clock::duration span)
{
    const auto began = test_clock::now();
    std::mt19937 random(1);
    load_result result;
    for (auto next = began; next < began + span; next += period)
    {
        std::this_thread::sleep_until(next);
        const std::string answer =
            callers[random() % callers.size()]->ask("READ bear");
        ++result.m_asked;
        if (answer.starts_with("ERROR"))
            ++result.m_refused;
    }
    return result;
}

}

SCENARIO("A large fleet divides limits at low CPU cost")
{
    // 800 statements per second in total, half of the workspaces' limits
    // together.
    constexpr auto period = 1250us;
    site s(large);
    const auto callers = open_sessions(s);

    WHEN("callers of all workspaces send statements to all daemons")
    {
        run_load(callers, period, 3s);
        const double before = cpu_seconds(s);
        const auto began = test_clock::now();
        const load_result load = run_load(callers, period, 6s);
        const double spent = cpu_seconds(s) - before;
        const std::chrono::duration<double> passed = test_clock::now() - began;

        THEN("a daemon uses no more of a core than the target allows, and "
             "statements within the limits aren't refused")
        {
            // The target for control work in cores per daemon. Here the CPU
            // time of the statements counts towards it too.
            constexpr double max_cores = 0.031;
            const double mean = spent / large.m_daemons / passed.count();
            CAPTURE(mean);
            CHECK(mean <= max_cores);
            // Random arrivals exceed a limit within a second occasionally.
            constexpr double max_refused_fraction = 0.01;
            CAPTURE(load.m_refused, load.m_asked);
            CHECK(static_cast<double>(load.m_refused) <=
                  max_refused_fraction * static_cast<double>(load.m_asked));
        }
    }
}
