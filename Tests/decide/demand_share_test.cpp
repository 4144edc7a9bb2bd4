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

demand_update update_for(const demand_table& from, const demand_table& to)
{
    demand_update update;
    update.m_incarnation = 1;
    if (!from.m_announcements.empty())
    {
        update.m_version = from.m_announcements.back().m_version;
        update.m_weights = from.m_announcements.back().m_weights;
    }
    const auto peer = from.m_peers.find(to.m_self);
    if (peer != from.m_peers.end())
        update.m_acked_version = peer->second.m_version;
    return update;
}

double fraction_of(const demand_table& t, time_point now)
{
    return share_fraction(t, divide_by_demand(t, now), "ward");
}

void exchange(demand_table& a, demand_table& b, time_point now)
{
    apply_demand_update(b, a.m_self, update_for(a, b), now);
    apply_demand_update(a, b.m_self, update_for(b, a), now);
    drop_acked_announcements(a, now);
    drop_acked_announcements(b, now);
}

}

SCENARIO("Processes divide a workspace's rate by demand")
{
    std::vector<demand_table> fleet;
    fleet.reserve(3);
    for (int i = 0; i < 3; ++i)
        fleet.push_back(make_table("vm-" + std::to_string(i), 3));
    const auto exchange_all = [&](time_point now)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            for (std::size_t j = 0; j < i; ++j)
                exchange(fleet[i], fleet[j], now);
    };
    const auto part = [&](std::size_t i, time_point now)
    {
        return fraction_of(fleet[i], now);
    };

    GIVEN("processes that have announced no weights")
    {
        THEN("each has an even share")
        {
            REQUIRE(part(0, start) == Approx(1.0 / 3));
        }
    }
    GIVEN("demand at one of them only")
    {
        announce_weights(fleet[0], {{"ward", 20}});
        announce_weights(fleet[1], {{"ward", 0}});
        announce_weights(fleet[2], {{"ward", 0}});

        THEN("its share rises only when all have acknowledged its weight")
        {
            REQUIRE(part(0, start) == Approx(1.0 / 3));
            exchange(fleet[0], fleet[1], start);
            // It may use half of the rest: one of the others has announced the
            // weight 0, the other hasn't announced any.
            REQUIRE(part(0, start) == Approx(0.25 / 3 + 0.75 / 2));
            exchange_all(start);
            exchange_all(start);
            REQUIRE(part(0, start) == Approx(0.25 / 3 + 0.75));
            REQUIRE(part(1, start) == Approx(0.25 / 3));
        }
        WHEN("another process has ended")
        {
            exchange(fleet[0], fleet[2], start);
            exchange(fleet[0], fleet[1], start);
            mark_peer_ended(fleet[0], "vm-2");
            drop_acked_announcements(fleet[0], start);

            THEN("its acknowledgement isn't required")
            {
                REQUIRE(part(0, start) > 0.8);
            }
        }
        WHEN("a majority is silent")
        {
            exchange_all(start);
            exchange_all(start);
            const time_point later = start + isolated_after;

            THEN("the process uses its even share only")
            {
                REQUIRE(part(0, later) == Approx(0.25 / 3));
            }
        }
        WHEN("one of the others is silent")
        {
            exchange_all(start);
            exchange_all(start);
            const time_point later = start + silent_after;
            exchange(fleet[0], fleet[1], later);
            announce_weights(fleet[1], {{"ward", 20}});
            exchange(fleet[1], fleet[0], later);
            exchange(fleet[1], fleet[0], later);

            THEN("the rest is divided without it")
            {
                REQUIRE(part(1, later) == Approx(0.25 / 3 + 0.375));
            }
        }
    }
    GIVEN("a weight that hardly changes")
    {
        REQUIRE(announce_weights(fleet[0], {{"ward", 20}}));
        REQUIRE_FALSE(announce_weights(fleet[0], {{"ward", 23}}));
        REQUIRE(announce_weights(fleet[0], {{"ward", 30}}));
    }
}

SCENARIO("Parts never add up to more than the limit")
{
    // Demand changes, and messages arrive in any order or are lost. No time
    // passes, so no process counts as silent.
    constexpr int members = 5;
    constexpr int steps = 4000;
    constexpr double rounding = 1e-9;
    for (const unsigned seed : {1U, 2U, 3U, 4U})
    {
        std::mt19937 random(seed);
        std::vector<demand_table> fleet;
        fleet.reserve(members);
        for (int i = 0; i < members; ++i)
            fleet.push_back(make_table("vm-" + std::to_string(i), members));
        const auto pick = [&]
        {
            return static_cast<std::size_t>(random() % members);
        };
        double largest_sum = 0;
        for (int step = 0; step < steps; ++step)
        {
            const std::size_t i = pick();
            const std::size_t j = pick();
            if (random() % 3 == 0)
                announce_weights(
                    fleet[i], {{"ward", static_cast<double>(random() % 40)}});
            else if (i != j)
                apply_demand_update(fleet[j], fleet[i].m_self,
                                    update_for(fleet[i], fleet[j]), start);
            double sum = 0;
            for (demand_table& t : fleet)
            {
                drop_acked_announcements(t, start);
                sum += fraction_of(t, start);
            }
            largest_sum = std::max(largest_sum, sum);
            REQUIRE(sum <= 1 + rounding);
        }
        REQUIRE(largest_sum > 0.5);
    }
}
