#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/demand_share.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

demand_table make_table(const std::string& self, int members)
{
    demand_table t;
    t.m_self = self;
    t.m_started_at = start;
    for (int i = 0; i < members; ++i)
        t.m_members.insert("vm-" + std::to_string(i));
    return t;
}

demand_news news_of(const demand_table& from, const demand_table& to)
{
    demand_news n;
    n.m_incarnation = 1;
    if (!from.m_tellings.empty())
    {
        n.m_number = from.m_tellings.back().m_number;
        n.m_weights = from.m_tellings.back().m_weights;
    }
    const auto peer = from.m_peers.find(to.m_self);
    if (peer != from.m_peers.end())
        n.m_acked = peer->second.m_number;
    return n;
}

double part_of(const demand_table& t, time_point now)
{
    return part_of(t, divide(t, now), "ward");
}

void exchange(demand_table& a, demand_table& b, time_point now)
{
    take_news(b, a.m_self, news_of(a, b), now);
    take_news(a, b.m_self, news_of(b, a), now);
    settle_tellings(a, now);
    settle_tellings(b, now);
}

}

SCENARIO("Processes divide a workspace's rate by demand")
{
    std::vector<demand_table> fleet;
    fleet.reserve(3);
    for (int i = 0; i < 3; ++i)
        fleet.push_back(make_table("vm-" + std::to_string(i), 3));
    const auto meet = [&](time_point now)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            for (std::size_t j = 0; j < i; ++j)
                exchange(fleet[i], fleet[j], now);
    };
    const auto part = [&](std::size_t i, time_point now)
    {
        return part_of(fleet[i], now);
    };

    GIVEN("processes that have told nothing")
    {
        THEN("each has its even part")
        {
            REQUIRE(part(0, start) == Approx(1.0 / 3));
        }
    }
    GIVEN("demand at one of them only")
    {
        tell_weights(fleet[0], {{"ward", 20}});
        tell_weights(fleet[1], {{"ward", 0}});
        tell_weights(fleet[2], {{"ward", 0}});

        THEN("its part rises only when all have taken it in")
        {
            REQUIRE(part(0, start) == Approx(1.0 / 3));
            exchange(fleet[0], fleet[1], start);
            // Of the rest, it may use half: one of the others has told that it
            // needs none, the other has told nothing.
            REQUIRE(part(0, start) == Approx(0.25 / 3 + 0.75 / 2));
            meet(start);
            meet(start);
            REQUIRE(part(0, start) == Approx(0.25 / 3 + 0.75));
            REQUIRE(part(1, start) == Approx(0.25 / 3));
        }
        WHEN("another one has ended")
        {
            exchange(fleet[0], fleet[2], start);
            exchange(fleet[0], fleet[1], start);
            forget_peer(fleet[0], "vm-2");
            settle_tellings(fleet[0], start);

            THEN("it isn't waited for")
            {
                REQUIRE(part(0, start) > 0.8);
            }
        }
        WHEN("a majority is silent")
        {
            meet(start);
            meet(start);
            const time_point later = start + alone_after;

            THEN("the process keeps to its even part")
            {
                REQUIRE(part(0, later) == Approx(0.25 / 3));
            }
        }
        WHEN("one of the others is silent")
        {
            meet(start);
            meet(start);
            const time_point later = start + silent_after;
            exchange(fleet[0], fleet[1], later);
            tell_weights(fleet[1], {{"ward", 20}});
            exchange(fleet[1], fleet[0], later);
            exchange(fleet[1], fleet[0], later);

            THEN("it doesn't hold the rest up")
            {
                REQUIRE(part(1, later) == Approx(0.25 / 3 + 0.375));
            }
        }
    }
    GIVEN("a weight that hardly moves")
    {
        REQUIRE(tell_weights(fleet[0], {{"ward", 20}}));
        REQUIRE_FALSE(tell_weights(fleet[0], {{"ward", 23}}));
        REQUIRE(tell_weights(fleet[0], {{"ward", 30}}));
    }
}

SCENARIO("Parts never add up to more than the limit")
{
    // Demands move, messages go in any order and some are lost, for a time in
    // which nobody is silent.
    constexpr int members = 5;
    constexpr int steps = 4000;
    constexpr double rounding = 1e-9;
    for (const unsigned seed : {1U, 2U, 3U, 4U})
    {
        std::mt19937 dice(seed);
        std::vector<demand_table> fleet;
        fleet.reserve(members);
        for (int i = 0; i < members; ++i)
            fleet.push_back(make_table("vm-" + std::to_string(i), members));
        const auto pick = [&]
        {
            return static_cast<std::size_t>(dice() % members);
        };
        double most = 0;
        for (int step = 0; step < steps; ++step)
        {
            const std::size_t i = pick();
            const std::size_t j = pick();
            if (dice() % 3 == 0)
                tell_weights(fleet[i],
                             {{"ward", static_cast<double>(dice() % 40)}});
            else if (i != j)
                take_news(fleet[j], fleet[i].m_self,
                          news_of(fleet[i], fleet[j]), start);
            double sum = 0;
            for (demand_table& t : fleet)
            {
                settle_tellings(t, start);
                sum += part_of(t, start);
            }
            most = std::max(most, sum);
            REQUIRE(sum <= 1 + rounding);
        }
        REQUIRE(most > 0.5);
    }
}
