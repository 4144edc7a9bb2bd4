#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/retry_budget.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

constexpr const char* running = "bluebellspoke_running_statements";
constexpr const char* made = "bluebellspoke_retries_total";

/// An unlabelled metric, or the sum over its labels.
double metric_of(const daemon_node& d, const std::string& name)
{
    std::istringstream text(admin_get(d, "/metrics").m_body);
    double sum = 0;
    for (std::string line; std::getline(text, line);)
    {
        const std::string found = line.substr(0, line.find_first_of(" {"));
        if (found == name)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

}

TEST_CASE("A group that fails every statement is spared a storm of retries")
{
    GIVEN("a daemon with 60 repeatable statements at its only endpoint")
    {
        constexpr std::size_t statements = 60;
        fleet f({.m_daemons = 1,
                 .m_endpoints = 1,
                 .m_service_us = 10'000'000,
                 .m_slots = statements,
                 .m_connections = 2 * statements,
                 .m_relays = true});
        put_node(f, "ward",
                 {{"kind", "workspace"},
                  {"service", "group"},
                  {"rate", 100'000},
                  {"burst", 100'000}});
        const session clerk{grant_key(f, "ward", "clerk"), {}};
        const daemon_node& d = f.m_daemons[0];
        const auto begun = std::chrono::steady_clock::now();
        std::vector<reply> replies;
        std::thread callers(
            [&]
            {
                const json read{{"statement", "select 1"},
                                {"time_limit_ms", 8000}};
                replies = caller(d.m_callers)
                              .send_all(std::vector<http2_request>(
                                  statements, statement_request(clerk, read)));
            });
        const bool all_run = eventually(
            [&]
            {
                return metric_of(d, running) == statements;
            });

        WHEN("all of them are lost, and whatever is repeated is lost as well")
        {
            f.m_endpoints[0].m_relay->drop_connections();
            const bool repeated = eventually(
                [&]
                {
                    return metric_of(d, made) >= retry_floor;
                });
            f.m_endpoints[0].m_relay->drop_connections();
            callers.join();
            const std::chrono::duration<double> took =
                std::chrono::steady_clock::now() - begun;
            const double retries = metric_of(d, made);

            THEN("the daemon repeats no more than its budget")
            {
                CAPTURE(retries, took.count());
                REQUIRE(all_run);
                REQUIRE(repeated);
                REQUIRE(retries <= retry_fraction * statements + retry_floor +
                                       retry_floor_rate * took.count());
                REQUIRE(metric_of(d, "bluebellspoke_retries_refused_total") >=
                        statements - retries);
            }
            THEN("each is refused with what is known of it")
            {
                for (const reply& r : replies)
                {
                    const bool said = r.outcome() == "not_run" ||
                                      r.outcome() == "outcome_unknown";
                    REQUIRE(said);
                }
            }
        }
    }
}
