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

constexpr const char* running_metric = "bluebellspoke_running_statements";
constexpr const char* retries_metric = "bluebellspoke_retries_total";

// Returns the value of a metric, summed over its labels if it has any.
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

// Without a budget, a daemon would retry every lost statement at once and so
// multiply the load of a group that already fails.
TEST_CASE("Retries don't overload a group that fails every statement")
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
        const auto start = std::chrono::steady_clock::now();
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
                return metric_of(d, running_metric) == statements;
            });

        WHEN("all connections are lost, and those of the retries as well")
        {
            f.m_endpoints[0].m_relay->drop_connections();
            const bool has_retried = eventually(
                [&]
                {
                    return metric_of(d, retries_metric) >= retry_reserve;
                });
            f.m_endpoints[0].m_relay->drop_connections();
            callers.join();
            const std::chrono::duration<double> elapsed =
                std::chrono::steady_clock::now() - start;
            const double retries = metric_of(d, retries_metric);

            THEN("the daemon retries no more than its budget allows")
            {
                CAPTURE(retries, elapsed.count());
                REQUIRE(all_run);
                REQUIRE(has_retried);
                REQUIRE(retries <= retry_fraction * statements + retry_reserve +
                                       retry_reserve_rate * elapsed.count());
                REQUIRE(metric_of(d, "bluebellspoke_retries_refused_total") >=
                        statements - retries);
            }
            THEN("each refusal says if the statement may have run")
            {
                for (const reply& r : replies)
                {
                    const bool has_outcome = r.outcome() == "not_run" ||
                                             r.outcome() == "outcome_unknown";
                    REQUIRE(has_outcome);
                }
            }
        }
    }
}
