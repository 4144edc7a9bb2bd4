#include <algorithm>
#include <chrono>
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/demand_share.hpp>
#include <fleet/two_cells.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::fleet;
using namespace bluebellspoke::support;

namespace
{

using namespace std::chrono_literals;
using test_clock = std::chrono::steady_clock;

bool is_served(const site& s, std::size_t daemon, std::size_t workspace)
{
    line_caller c(s.callers_of(daemon));
    return c.start("browse", key_of(workspace)) == "READY" &&
           c.ask("READ bear") == "ROW - | COMPLETE | READY I";
}

// Returns true if one process of the first zone leads its cell, without those
// that are suspended and don't answer.
bool leads_besides(const site& s, const std::set<std::size_t>& suspended)
{
    std::size_t found = 0;
    for (std::size_t i = 0; i < two_cells.m_daemons; i += two_cells.m_zones)
        found += !suspended.contains(i) && leads(s, i) ? 1 : 0;
    return found == 1;
}

// Returns the number of store answers that a daemon has counted.
double answered_store_calls(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "store_calls_total{result=\"answered\"}").value();
}

std::size_t member_count(const site& s, std::size_t daemon)
{
    return static_cast<std::size_t>(s.metric(daemon, "fleet_members").value());
}

// Waits longer than a watch of the store lasts.
void wait_longer_than_watch()
{
    std::this_thread::sleep_for(4s);
}

// Returns true if every daemon except `except` refuses the key.
bool all_others_refuse(const site& s, const std::string& key,
                       std::size_t except)
{
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        if (i != except &&
            line_caller(s.callers_of(i)).start("browse", key) != "UNAUTH")
            return false;
    return true;
}

void withdraw_key(site& s, std::size_t workspace)
{
    nlohmann::json change = s.config();
    change["tenants"][workspace]["api-keys"] = nlohmann::json::array();
    s.configure({{"tenants", change["tenants"]}});
}

// Sends statements to all daemons as fast as they answer for `span`, and
// returns the number served.
std::size_t flood(const site& s, std::size_t workspace,
                  test_clock::duration span)
{
    const sessions callers = start_sessions(s, workspace);
    const auto end = test_clock::now() + span;
    std::size_t served = 0;
    while (test_clock::now() < end)
    {
        for (const auto& c : callers)
            c->send("QUERY flood READ bear");
        for (const auto& c : callers)
            served += read_answer(*c) ? 1 : 0;
    }
    return served;
}

}

SCENARIO("One process of each zone leads its cell")
{
    site s(two_cells);
    REQUIRE(comes_true(
        [&]
        {
            return has_leaders(s);
        }));
    const std::size_t leader = leaders_of(s, 0).front();
    const std::size_t other =
        (leader + two_cells.m_zones) % two_cells.m_daemons;
    REQUIRE(comes_true(
        [&]
        {
            return is_served(s, other, 2);
        }));

    GIVEN("callers at all daemons that exceed their workspace's limit")
    {
        // The deployments' rule: the limit over a window of 5 s, plus 10 % and
        // 20 operations.
        constexpr double window = 5;
        constexpr double max_served =
            (two_cells.m_rate * window + two_cells.m_rate) * 1.1 + 20;
        // The first window includes the saved burst.
        const std::size_t first = flood(s, 3, 5s);
        const std::size_t second = flood(s, 3, 5s);

        THEN("all processes together serve up to that limit and no more")
        {
            CHECK(static_cast<double>(first) <= max_served);
            CHECK(static_cast<double>(second) <= max_served);
            CHECK(static_cast<double>(second) >=
                  two_cells.m_rate * window * 0.7);
        }
    }
    GIVEN("a cell leader that is killed")
    {
        s.daemon(leader).send_signal(SIGKILL);

        THEN("another process leads the cell, and its zone is served")
        {
            REQUIRE(comes_true(
                [&]
                {
                    const auto now = leaders_of(s, 0);
                    return now.size() == 1 && now.front() != leader;
                }));
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, other, 2);
                }));
            REQUIRE(is_served(s, leaders_of(s, 1).front(), 2));
        }
    }
    GIVEN("processes that have heard from nobody but their leader for longer "
          "than a member may be silent")
    {
        std::this_thread::sleep_for(member_removal_timeout + 1s);
        REQUIRE(member_count(s, other) == two_cells.m_daemons);

        WHEN(
            "the leader is suspended, and another is elected while one process "
            "is slow to answer")
        {
            // The last in rank, which isn't elected.
            const std::size_t slow = leader == 8 ? 6 : 8;
            s.daemon(slow).send_signal(SIGSTOP);
            s.daemon(leader).send_signal(SIGSTOP);
            REQUIRE(comes_true(
                [&]
                {
                    return leads_besides(s, {leader, slow});
                }));

            THEN("it takes neither of them for gone")
            {
                const auto end = test_clock::now() + 2s;
                while (test_clock::now() < end)
                    REQUIRE(member_count(s, leaders_of(s, 1).front()) ==
                            two_cells.m_daemons);
            }
        }
    }
    // Guards against store calls that grow with the number of processes.
    GIVEN("processes that follow the leader, which competes for the failover "
          "duty")
    {
        const auto calls = [&](std::size_t daemon)
        {
            return s.metric(daemon, "duty_calls_total{duty=\"failover\"}")
                .value();
        };
        wait_longer_than_watch();
        const double leader_calls = calls(leader);
        std::vector<double> before;
        for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
            before.push_back(calls(i));

        THEN("only the leaders and the holder call the store for its record")
        {
            constexpr double renewals = 5;
            REQUIRE(comes_true(
                [&]
                {
                    return calls(leader) >= leader_calls + renewals;
                }));
            for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
            {
                CAPTURE(i);
                const bool competes =
                    leads(s, i) || s.metric(i, "duty_held") == 1;
                CHECK((competes || calls(i) == before.at(i)));
            }
        }
        WHEN("the holder of the duty and all leaders are killed")
        {
            for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
                if (leads(s, i) || s.metric(i, "duty_held") == 1)
                    s.daemon(i).send_signal(SIGKILL);

            THEN("another process takes the duty")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
                            if (s.metric(i, "duty_held") == 1)
                                return true;
                        return false;
                    }));
            }
        }
    }
    GIVEN("a cell leader that is told to stop")
    {
        s.daemon(leader).send_signal(SIGTERM);
        REQUIRE(s.daemon(leader).wait() == 0);

        THEN("another process leads the cell, and its zone is served")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return leaders_of(s, 0).size() == 1;
                }));
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, other, 2);
                }));
        }
    }
    GIVEN("a cell leader that is suspended until its votes expire")
    {
        s.daemon(leader).send_signal(SIGSTOP);
        REQUIRE(comes_true(
            [&]
            {
                return leads_besides(s, {leader});
            }));
        s.daemon(leader).send_signal(SIGCONT);

        THEN("it follows the leader that was elected meanwhile")
        {
            REQUIRE_FALSE(leads(s, leader));
            REQUIRE(leaders_of(s, 0).size() == 1);
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, leader, 2);
                }));
        }
    }
    GIVEN("a cell leader that passes the store's changes on")
    {
        wait_longer_than_watch();
        const double before = answered_store_calls(s, other);
        wait_longer_than_watch();

        THEN("its cell rarely calls the store, and still receives changes")
        {
            // A watch of the members that began before the leader relayed
            // them may end.
            CHECK(answered_store_calls(s, other) - before <= 1);
            withdraw_key(s, 3);
            REQUIRE(comes_true(
                [&]
                {
                    return all_others_refuse(s, key_of(3), two_cells.m_daemons);
                }));
        }
        WHEN("it is killed just before a change")
        {
            s.daemon(leader).send_signal(SIGKILL);
            withdraw_key(s, 3);

            THEN("the other processes receive the change from the store")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return all_others_refuse(s, key_of(3), leader);
                    }));
            }
        }
        WHEN("the store is unavailable for a while, and a change follows")
        {
            s.set_store(true);
            wait_longer_than_watch();
            s.set_store(false);
            withdraw_key(s, 3);

            THEN("all processes receive the change")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return all_others_refuse(s, key_of(3),
                                                 two_cells.m_daemons);
                    }));
            }
        }
    }
}
