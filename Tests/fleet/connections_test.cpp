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

// More processes than an endpoint has connections.
constexpr std::size_t connections_an_endpoint = 48;
constexpr site_size crowded{
    .m_daemons = 72, .m_zones = 6, .m_workspaces = 24, .m_rate = 60};
constexpr std::size_t endpoints = 3;

// Sum of a counter over all daemons.
double total(const site& s, const std::string& counter)
{
    double all = 0;
    for (std::size_t i = 0; i < crowded.m_daemons; ++i)
    {
        std::istringstream lines(
            call_http(s.metrics_of(i), "GET", "/metrics").m_body);
        std::string line;
        while (std::getline(lines, line))
            if (line.starts_with(counter + " "))
                all += std::stod(line.substr(line.rfind(' ')));
    }
    return all;
}

struct load_result
{
    std::size_t m_asked = 0;
    std::size_t m_served = 0;
};

// A caller at each daemon; one of them at random sends a statement each
// `period`.
load_result run_load(const site& s, test_clock::duration period,
                     test_clock::duration span)
{
    std::vector<std::unique_ptr<line_caller>> callers;
    for (std::size_t i = 0; i < crowded.m_daemons; ++i)
    {
        callers.push_back(std::make_unique<line_caller>(s.callers_of(i)));
        REQUIRE(callers.back()->start(i % 2 == 0 ? "browse" : "ledger",
                                      key_of(i % crowded.m_workspaces)) ==
                "READY");
    }
    const auto began = test_clock::now();
    std::mt19937 random(1);
    load_result result;
    for (auto next = began; next < began + span; next += period)
    {
        std::this_thread::sleep_until(next);
        ++result.m_asked;
        if (callers[random() % callers.size()]
                ->ask("READ bear")
                .starts_with("ROW"))
            ++result.m_served;
    }
    return result;
}

}

SCENARIO("More processes than an endpoint has connections")
{
    site s(crowded);
    s.limit_connections(connections_an_endpoint);

    WHEN("statements arrive at all of them")
    {
        constexpr auto period = 5ms;
        run_load(s, period, 4s);
        const double opened_before =
            total(s, "bluebellspoke_endpoint_links_opened_total");
        const double asked_before =
            total(s, "bluebellspoke_status_questions_total");
        const auto began = test_clock::now();
        const load_result load = run_load(s, period, 6s);
        const std::chrono::duration<double> passed = test_clock::now() - began;
        const double opened =
            total(s, "bluebellspoke_endpoint_links_opened_total") -
            opened_before;
        const double asked =
            total(s, "bluebellspoke_status_questions_total") - asked_before;

        THEN("nearly all are served")
        {
            CAPTURE(load.m_asked, load.m_served);
            CHECK(static_cast<double>(load.m_served) >=
                  0.99 * static_cast<double>(load.m_asked));
        }
        THEN("connections are opened for statements, not for the status of "
             "endpoints, and aren't tried again and again")
        {
            // Home processes keep those of their workspaces open. Without
            // them 0.38 of the statements open one.
            CAPTURE(opened, load.m_asked);
            CHECK(opened <= 0.1 * static_cast<double>(load.m_asked));
        }
        THEN("endpoints are asked by one process of each zone, and by the one "
             "that promotes")
        {
            // Each asks an endpoint four times a second at the most.
            constexpr double askers = crowded.m_zones + 1;
            constexpr double most_a_second = 4;
            CAPTURE(asked, passed.count());
            CHECK(asked <= askers * endpoints * most_a_second * passed.count());
        }
    }
}
