#include <thread>

#include <catch2/catch.hpp>
#include <decide/standing.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_clock = std::chrono::steady_clock;

namespace
{

constexpr double rate = 100;
constexpr std::size_t burst = 40;
/// How soon a change is in force everywhere.
constexpr seconds change_limit{20};

json look_up()
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"box-12"}}};
}

/// What the daemon's tasks say of themselves; empty while it starts.
json tasks_of(const daemon_node& d)
{
    const reply r = admin_get(d, "/dump");
    return r.m_status == 200 ? json::parse(r.m_body).at("tasks")
                             : json::object();
}

unsigned held_units(const daemon_node& d)
{
    const json::json_pointer held("/front/buckets/ward/burst");
    return tasks_of(d).value(held, 0U);
}

bool follows_members(const daemon_node& d, std::size_t members)
{
    const json control = tasks_of(d).value("control", json::object());
    return control.value("members", 0U) == members &&
           control.value("epoch_settled", false) &&
           control.at("epoch") == control.at("epoch_applied");
}

struct tally
{
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
};

/// Sends as fast as answers come; what was served is counted by the caller.
tally send_for(caller& c, session& s, milliseconds length)
{
    tally t;
    const auto end = test_clock::now() + length;
    while (test_clock::now() < end)
    {
        const reply r = c.send(statement_request(s, look_up()));
        if (r.m_status == 200)
            ++t.m_served;
        else
            ++t.m_refused;
    }
    return t;
}

}

SCENARIO("The rate of a workspace holds over the processes of a fleet")
{
    fleet f({.m_daemons = 3});
    put_node(f, "ward",
             {{"kind", "workspace"},
              {"service", "group"},
              {"rate", rate},
              {"burst", burst}});
    session clerk{grant_key(f, "ward", "clerk"), {}};
    const auto all_follow = [&](std::size_t members)
    {
        return eventually(
            [&]
            {
                for (const daemon_node& d : f.m_daemons)
                    if (d.m_process && !follows_members(d, members))
                        return false;
                return true;
            },
            change_limit);
    };
    const auto sum_of_units = [&]
    {
        unsigned sum = 0;
        for (const daemon_node& d : f.m_daemons)
            if (d.m_process)
                sum += held_units(d);
        return sum;
    };
    REQUIRE(all_follow(3));
    REQUIRE(eventually(
        [&]
        {
            return sum_of_units() == burst;
        }));

    GIVEN("a caller that sends more than the rate through one daemon")
    {
        caller c(f.m_daemons[1].m_callers);
        const auto begin = test_clock::now();
        const tally t = send_for(c, clerk, seconds(3));
        const std::chrono::duration<double> passed = test_clock::now() - begin;
        THEN("it gets no more than burst + rate * time")
        {
            CHECK(t.m_refused > 0);
            CHECK(t.m_served <= burst + rate * passed.count() + 1);
        }
        THEN("it borrows what the other daemons don't use")
        {
            CHECK(held_units(f.m_daemons[1]) == burst);
        }
    }

    GIVEN("a daemon that is killed")
    {
        f.m_daemons[2].m_process.reset();
        THEN("the others share what it had, once it has no right to it")
        {
            CHECK(all_follow(2));
            CHECK(eventually(
                [&]
                {
                    return sum_of_units() == burst;
                }));
        }
        AND_WHEN("it starts again under its name")
        {
            start_daemon(f.m_daemons[2]);
            THEN("it is a member again and the sum is the same")
            {
                CHECK(all_follow(3));
                CHECK(eventually(
                    [&]
                    {
                        return sum_of_units() == burst;
                    }));
            }
        }
    }

    GIVEN("a platform that is down")
    {
        set_platform_fault(f, {{"mode", "down"}});
        // Longer than what the platform's last answer is good for.
        std::this_thread::sleep_for(standing_bound + seconds(1));
        THEN("the daemons vouch for each other and serve on")
        {
            CHECK(sum_of_units() == burst);
            caller c(f.m_daemons[0].m_callers);
            CHECK(c.send(statement_request(clerk, look_up())).m_status == 200);
        }
        AND_WHEN("two daemons of three are gone too")
        {
            f.m_daemons[1].m_process.reset();
            f.m_daemons[2].m_process.reset();
            THEN("the last one knows that it can't know")
            {
                CHECK(eventually(
                    [&]
                    {
                        return held_units(f.m_daemons[0]) == 0;
                    },
                    change_limit));
                caller c(f.m_daemons[0].m_callers);
                const reply r = c.send(statement_request(clerk, look_up()));
                CHECK(r.error() == "configuration_stale");
                CHECK(r.outcome() == "not_run");
            }
        }
    }
}
