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
/// Time within which all daemons apply a change.
constexpr seconds change_timeout{20};

json lookup_statement()
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"box-12"}}};
}

/// State of the daemon's tasks as reported by /dump; empty while it starts.
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

bool has_applied_epoch(const daemon_node& d, std::size_t members)
{
    const json control = tasks_of(d).value("control", json::object());
    return control.value("epoch_members", 0U) == members &&
           control.value("epoch_settled", false) &&
           control.at("epoch") == control.at("epoch_applied");
}

struct answer_counts
{
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
};

/// Sends statements one after another without a pause, and counts the answers.
answer_counts send_for(caller& c, session& s, milliseconds length)
{
    answer_counts counts;
    const auto end = test_clock::now() + length;
    while (test_clock::now() < end)
    {
        const reply r = c.send(statement_request(s, lookup_statement()));
        if (r.m_status == 200)
            ++counts.m_served;
        else
            ++counts.m_refused;
    }
    return counts;
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
    session client{grant_key(f, "ward", "clerk"), {}};
    const auto all_have_applied = [&](std::size_t members)
    {
        return eventually(
            [&]
            {
                for (const daemon_node& d : f.m_daemons)
                    if (d.m_process && !has_applied_epoch(d, members))
                        return false;
                return true;
            },
            change_timeout);
    };
    const auto total_units = [&]
    {
        unsigned sum = 0;
        for (const daemon_node& d : f.m_daemons)
            if (d.m_process)
                sum += held_units(d);
        return sum;
    };
    REQUIRE(all_have_applied(3));
    REQUIRE(eventually(
        [&]
        {
            return total_units() == burst;
        }));

    GIVEN("a caller that sends more than the rate through one daemon")
    {
        caller c(f.m_daemons[1].m_callers);
        const auto begin = test_clock::now();
        const answer_counts counts = send_for(c, client, seconds(3));
        const std::chrono::duration<double> passed = test_clock::now() - begin;
        THEN("at most burst + rate * time statements are served")
        {
            CHECK(counts.m_refused > 0);
            CHECK(counts.m_served <= burst + rate * passed.count() + 1);
        }
        THEN("the daemon borrows the units that the others don't use")
        {
            CHECK(held_units(f.m_daemons[1]) == burst);
        }
    }

    GIVEN("a daemon that is killed")
    {
        f.m_daemons[2].m_process.reset();
        THEN("its units are divided among the others once its standing has "
             "ended")
        {
            CHECK(all_have_applied(2));
            CHECK(eventually(
                [&]
                {
                    return total_units() == burst;
                }));
        }
        AND_WHEN("it starts again under its name")
        {
            start_daemon(f.m_daemons[2]);
            THEN("it is a member again and the sum is the same")
            {
                CHECK(all_have_applied(3));
                CHECK(eventually(
                    [&]
                    {
                        return total_units() == burst;
                    }));
            }
        }
    }

    GIVEN("a platform that is down")
    {
        set_platform_fault(f, {{"mode", "down"}});
        // Longer than the platform's last answer gives the daemons standing.
        std::this_thread::sleep_for(standing_bound + seconds(1));
        THEN("the daemons confirm the epoch to each other and keep serving")
        {
            CHECK(total_units() == burst);
            caller c(f.m_daemons[0].m_callers);
            CHECK(c.send(statement_request(client, lookup_statement()))
                      .m_status == 200);
        }
        AND_WHEN("two of the three daemons end as well")
        {
            f.m_daemons[1].m_process.reset();
            f.m_daemons[2].m_process.reset();
            THEN("the last one loses its standing and refuses statements")
            {
                CHECK(eventually(
                    [&]
                    {
                        return held_units(f.m_daemons[0]) == 0;
                    },
                    change_timeout));
                caller c(f.m_daemons[0].m_callers);
                const reply r =
                    c.send(statement_request(client, lookup_statement()));
                CHECK(r.error() == "configuration_stale");
                CHECK(r.outcome() == "not_run");
            }
        }
    }
}
