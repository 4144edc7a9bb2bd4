#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/load/cold_start.hpp>

using namespace bluebellspoke;

namespace
{

using namespace std::chrono_literals;

// The second new customer: 123 processes in 6 zones and 3 regions, 8 groups.
constexpr std::size_t process_count = 123;
constexpr std::size_t zone_count = 6;
constexpr std::size_t region_count = 3;
constexpr std::size_t group_count = 8;
constexpr std::size_t workspace_count = 81;

constexpr rate_excess excess_for(double rate)
{
    return {rate, 5s, 0.1, 20};
}

// What the deployments permit beyond the rate and burst.
constexpr double permitted(double rate)
{
    return rate * 5 * 0.1 + 20;
}

struct fleet
{
    std::vector<std::string> m_processes;
    std::vector<std::string> m_regions;
    std::map<std::string, home_table> m_homes; ///< By region.
};

std::string process_name(std::size_t number)
{
    return "vm-" + std::to_string(number);
}

// The fleet as processes see it that know `members` of it.
fleet make_fleet(std::size_t members)
{
    fleet f;
    std::set<std::string, std::less<>> groups;
    for (std::size_t i = 0; i < group_count; ++i)
        groups.insert("group-" + std::to_string(i));
    for (std::size_t i = 0; i < members; ++i)
        f.m_processes.push_back(process_name(i));
    for (std::size_t region = 0; region < region_count; ++region)
    {
        std::vector<home_candidate> of_region;
        for (std::size_t i = region; i < members; i += region_count)
            of_region.push_back({process_name(i), i % 2 == 0 ? 0.084 : 0.5});
        f.m_regions.push_back("region-" + std::to_string(region));
        f.m_homes[f.m_regions.back()] = choose_homes(of_region, groups);
    }
    return f;
}

std::uint32_t credit_of(const fleet& f, std::size_t process, double rate,
                        std::string_view workspace)
{
    const std::vector<std::string_view> regions(f.m_regions.begin(),
                                                f.m_regions.end());
    const std::string& region = f.m_regions[process % region_count];
    return own_credit(
        own_credit_total(excess_for(rate)), workspace,
        {f.m_processes[process], region, regions, &f.m_homes.at(region)});
}

std::string workspace_name(std::size_t number)
{
    return "workspace-" + std::to_string(number);
}

// What the processes admit by themselves if callers want more than the limit.
std::uint32_t admitted_by(const fleet& f, const std::vector<std::size_t>& some,
                          double rate, std::string_view workspace)
{
    std::uint32_t sum = 0;
    for (const std::size_t process : some)
        sum += credit_of(f, process, rate, workspace);
    return sum;
}

std::vector<std::size_t> every_process()
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < process_count; ++i)
        all.push_back(i);
    return all;
}

}

SCENARIO("Processes that start admit a part of the rate before they know a "
         "cell leader")
{
    const fleet f = make_fleet(process_count);
    const double rate = GENERATE(0.0, 1.0, 20.0, 200.0);
    const std::uint32_t total = own_credit_total(excess_for(rate));

    GIVEN("a fleet that starts at once, while callers want more than the limit")
    {
        THEN("the processes and their new leaders admit no more than the "
             "permitted excess of any workspace, and use all of their part")
        {
            const double leaders =
                zone_count * leader_credit(excess_for(rate), zone_count);
            for (std::size_t i = 0; i < workspace_count; ++i)
            {
                const std::uint32_t admitted =
                    admitted_by(f, every_process(), rate, workspace_name(i));
                REQUIRE(admitted == total);
                REQUIRE(admitted + leaders <= permitted(rate));
            }
        }
    }
    GIVEN("a zone that starts while the others use the whole limit")
    {
        std::vector<std::size_t> zone;
        for (std::size_t i = 0; i < process_count; i += zone_count)
            zone.push_back(i);

        THEN("it adds no more than its part, also when its leader is new")
        {
            const double leader = leader_credit(excess_for(rate), zone_count);
            for (std::size_t i = 0; i < workspace_count; ++i)
            {
                const std::uint32_t admitted =
                    admitted_by(f, zone, rate, workspace_name(i));
                REQUIRE(admitted + leader <= permitted(rate));
                REQUIRE(admitted <= total);
            }
        }
    }
    GIVEN("processes of which some don't know two members yet")
    {
        const fleet partial = make_fleet(process_count - 2);

        THEN("they admit no more than the permitted excess together")
        {
            const double leaders =
                zone_count * leader_credit(excess_for(rate), zone_count);
            for (std::size_t i = 0; i < workspace_count; ++i)
            {
                const std::string name = workspace_name(i);
                std::uint32_t admitted = 0;
                for (std::size_t p = 0; p < process_count; ++p)
                    admitted += credit_of(
                        p % 2 == 0 && p < process_count - 2 ? partial : f, p,
                        rate, name);
                REQUIRE(admitted + leaders <= permitted(rate));
            }
        }
    }
}

SCENARIO("A process uses its own credit only after its start")
{
    const time_point start = time_point() + 100s;
    cold_start c{start};

    GIVEN("a process that has just started")
    {
        CHECK(may_use_own_credit(c, start));
        CHECK(token_retry_after(c, start) < token_retry_delay);
        WHEN("a cell leader has answered it")
        {
            c.m_is_over = true;
            THEN("it uses none, also when it loses that leader again")
            {
                CHECK_FALSE(may_use_own_credit(c, start + 1s));
                CHECK(token_retry_after(c, start + 1s) == token_retry_delay);
            }
        }
    }
    GIVEN("a process that has heard from no leader for long")
    {
        THEN("it takes itself for cut off, and uses none")
        {
            CHECK_FALSE(may_use_own_credit(c, start + cold_start_limit));
        }
    }
}

SCENARIO("A statement waits for the election if its answer is useful then")
{
    const time_point start = time_point() + 100s;
    cold_start c{start};
    const time_point arrival = start + 500ms;
    const time_point send_deadline = arrival + 250ms;

    GIVEN("a statement that is useful for longer than an election takes")
    {
        const time_point until =
            wait_for_leader_until(c, send_deadline, start + 10s);
        THEN("it waits until all processes should know their leader")
        {
            CHECK(until == start + vote_hold_time + election_allowance);
        }
        WHEN("a leader is known")
        {
            c.m_is_over = true;
            THEN("it waits no longer than usual")
            {
                CHECK(wait_for_leader_until(c, send_deadline, start + 10s) ==
                      send_deadline);
            }
        }
    }
    GIVEN("a statement that is useful until shortly after the first vote")
    {
        const time_point useful_until = start + vote_hold_time + 50ms;
        THEN("it waits no longer than that")
        {
            CHECK(wait_for_leader_until(c, send_deadline, useful_until) ==
                  useful_until);
        }
    }
    GIVEN("a statement that isn't useful any more when processes may vote")
    {
        THEN("it waits no longer than usual, as its caller may try elsewhere")
        {
            CHECK(wait_for_leader_until(c, send_deadline, start + 900ms) ==
                  send_deadline);
        }
    }
    GIVEN("a process that was cut off from its leader long after its start")
    {
        THEN("its statements wait no longer than usual")
        {
            const time_point later = start + 60s;
            CHECK(wait_for_leader_until(c, later + 250ms, later + 10s) ==
                  later + 250ms);
        }
    }
}
