#include <chrono>
#include <csignal>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/load/cold_start.hpp>
#include <fleet/two_cells.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::fleet;
using namespace bluebellspoke::support;

namespace
{

using namespace std::chrono_literals;

constexpr rate_excess excess{20, 5s, 0.1, 20};

double sum_over_fleet(const site& s, std::string_view name)
{
    double sum = 0;
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        sum += s.metric(i, name).value_or(0);
    return sum;
}

// Sends one statement in each session at the same moment, and ends the sessions
// that are served.
void ask_all(sessions& callers)
{
    for (auto& c : callers)
        c->send("QUERY first READ bear");
    std::erase_if(callers,
                  [](const auto& c)
                  {
                      return read_answer(*c);
                  });
}

void kill_all(site& s)
{
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        s.daemon(i).send_signal(SIGKILL);
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        s.daemon(i).wait();
}

void start_all(site& s)
{
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        s.start_daemon(i);
}

}

SCENARIO("A fleet whose processes were all killed serves before it has leaders")
{
    site s(two_cells);
    REQUIRE(comes_true(
        [&]
        {
            return has_leaders(s);
        }));

    WHEN("all processes start again, and each gets a statement of a workspace")
    {
        // Repeated, since a process that starts late may find a leader.
        double admitted = 0;
        REQUIRE(comes_true(
            [&]
            {
                kill_all(s);
                start_all(s);
                auto callers = start_sessions(s, 1);
                ask_all(callers);
                admitted = sum_over_fleet(s, "own_credit_used_total");
                return admitted > 0;
            },
            5));

        THEN("processes admit some by themselves, within the permitted excess")
        {
            CHECK(admitted <= own_credit_total(excess));
        }
        THEN("each zone has one leader soon, and every process is served")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return has_leaders(s);
                }));
            auto callers = start_sessions(s, 2);
            REQUIRE(comes_true(
                [&]
                {
                    // 26 at once are more than the burst of 20.
                    ask_all(callers);
                    return callers.empty();
                }));
        }
    }
}
