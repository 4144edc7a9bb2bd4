#include <chrono>
#include <memory>
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

// Of all tasks of a daemon, by its own metrics.
double processor_seconds(const site& s, std::size_t daemon)
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

double processor_seconds(const site& s)
{
    double all = 0;
    for (std::size_t i = 0; i < large.m_daemons; ++i)
        all += processor_seconds(s, i);
    return all;
}

// Sessions of all workspaces at all daemons.
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

// Statements in turn, `period` apart, for as long as `span`.
void play(const std::vector<std::unique_ptr<line_caller>>& callers,
          test_clock::duration period, test_clock::duration span)
{
    const auto began = test_clock::now();
    std::size_t turn = 0;
    for (auto next = began; next < began + span; next += period)
    {
        std::this_thread::sleep_until(next);
        callers[turn++ % callers.size()]->ask("READ bear");
    }
}

}

SCENARIO("A large fleet with few statements leaves the processor alone")
{
    // The stated target: control takes at most 3.1 % of a core a node. The
    // statements, 11 a second at each daemon, take a part of it here.
    constexpr double most = 0.031;
    site s(large);
    const auto callers = open_sessions(s);

    WHEN("callers of all workspaces are served everywhere")
    {
        play(callers, 1250us, 3s);
        const double before = processor_seconds(s);
        const auto began = test_clock::now();
        play(callers, 1250us, 6s);
        const double spent = processor_seconds(s) - before;
        const std::chrono::duration<double> passed = test_clock::now() - began;

        THEN("a daemon takes no more than the target's part of a core")
        {
            const double mean = spent / large.m_daemons / passed.count();
            CAPTURE(mean);
            CHECK(mean <= most);
        }
    }
}
