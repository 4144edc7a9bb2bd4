#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/group_relay.hpp>
#include <decide/relay_changes.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::uint64_t source = 77;
const std::vector<std::string> ids{"a", "b", "c"};

endpoint_status status_of(bool leads, term_number term, std::uint64_t offset)
{
    return {leads ? endpoint_role::primary : endpoint_role::replica,
            term,
            {term, offset},
            0,
            0,
            0,
            0};
}

// A cell leader and what it answered of one group.
struct cell_leader
{
    group_view m_view;
    std::map<std::string, time_point, std::less<>> m_replied_at;
    relay_history m_history;
    std::uint64_t m_version = 0;

    void observe(std::string_view id, bool leads, term_number term,
                 std::uint64_t offset, time_point at)
    {
        m_view.m_sync_replicas = 1;
        record_status(m_view, id, status_of(leads, term, offset),
                      at - milliseconds(3), at);
        m_replied_at[std::string(id)] = at;
    }
    relayed_group describe(time_point now) const
    {
        relayed_group m = make_relayed_group(m_view, now);
        m.m_service = "ledger";
        for (const auto& [id, at] : m_replied_at)
            m.m_endpoints[id] = {now - at, 40, 3, now - at + milliseconds(3)};
        return m;
    }
};

struct relay_answer
{
    std::uint64_t m_version = 0;
    std::optional<relayed_group> m_group;
    std::optional<relayed_change> m_change;
};

relay_answer answer(cell_leader& leader, const relay_query& q, time_point now)
{
    const relay_base* const known = find_base(q.m_bases, source);
    const std::uint64_t base = known != nullptr ? known->m_version : 0;
    relay_answer a;
    a.m_version = ++leader.m_version;
    const relayed_group m = leader.describe(now);
    record_description(leader.m_history, m, now, a.m_version);
    if (has_changes_since(leader.m_history, base))
        a.m_change = changes_since(leader.m_history, base, q.m_wants_lease);
    else
        a.m_group = m;
    return a;
}

// A process that remembers what it was told.
struct follower
{
    group_view m_view;
    relay_bases m_bases;

    relay_query query(time_point now) const
    {
        return make_relay_query("ledger", m_bases, m_view, now);
    }
    void apply(const relay_answer& a, const relay_query& q,
               time_point requested_at, time_point now)
    {
        relayed_group m;
        if (a.m_group)
            m = *a.m_group;
        else if (a.m_change)
            m = expand_change(*a.m_change, q, source, ids);
        else
            return;
        adopt_relayed_group(m_view, m, requested_at);
        remember_base(m_bases, {source, a.m_version, m.m_term, m.m_primary,
                                m_view.m_lease_until, now - requested_at});
    }
    // One request and its answer.
    relay_answer ask(cell_leader& leader, time_point now)
    {
        const relay_query q = query(now);
        relay_answer a = answer(leader, q, now);
        apply(a, q, now, now);
        return a;
    }
};

cell_leader leader_with_lease(time_point at)
{
    cell_leader leader;
    leader.observe("a", true, 3, 10, at);
    leader.observe("b", false, 3, 10, at);
    return leader;
}

}

SCENARIO("An answer about a group contains what changed since the last one")
{
    cell_leader leader = leader_with_lease(start);
    follower process;

    GIVEN("a process that was never answered")
    {
        const relay_answer first = process.ask(leader, start);

        THEN("it is told everything")
        {
            REQUIRE(first.m_group);
            CHECK(first.m_group->m_endpoints.size() == 2);
            CHECK(process.m_view.m_primary == "a");
        }
        AND_WHEN("it asks again and nothing has changed")
        {
            const relay_answer next =
                process.ask(leader, start + milliseconds(50));

            THEN("the group is left out")
            {
                CHECK_FALSE(next.m_group);
                CHECK_FALSE(next.m_change);
            }
        }
        AND_WHEN("the lease was renewed by the primary and a replica")
        {
            const time_point later = start + milliseconds(600);
            leader.observe("c", false, 3, 10, later - milliseconds(550));
            process.ask(leader, later - milliseconds(500));
            leader.observe("a", true, 3, 15, later);
            leader.observe("b", false, 3, 15, later);
            const relay_answer next = process.ask(leader, later);

            THEN("these two are told, with the lease and the position")
            {
                REQUIRE(next.m_change);
                CHECK(next.m_change->m_endpoints.size() == 2);
                CHECK(next.m_change->m_lease_proven_ago);
                CHECK(process.m_view.m_lease_until ==
                      leader.m_view.m_lease_until);
                CHECK(newest_position(process.m_view) == log_position{3, 15});
            }
        }
        AND_WHEN("another primary is known in a later term")
        {
            leader.observe("b", true, 4, 20, start + milliseconds(100));
            const relay_answer next =
                process.ask(leader, start + milliseconds(100));

            THEN("everything is told, and the process follows")
            {
                REQUIRE(next.m_group);
                CHECK(process.m_view.m_primary == "b");
                CHECK(process.m_view.m_term == 4);
            }
        }
        AND_WHEN("the process finds that the primary doesn't lead, and then "
                 "that it does")
        {
            invalidate_primary(process.m_view, "a", start + milliseconds(10));
            start_term(process.m_view, 3, "a");
            const relay_answer next =
                process.ask(leader, start + milliseconds(20));

            THEN("it is told the lease again, though that hasn't changed")
            {
                CHECK(next.m_group);
                CHECK(process.m_view.m_lease_until ==
                      leader.m_view.m_lease_until);
            }
        }
    }
    GIVEN("a lease that was told by an answer with a long round trip")
    {
        const relay_query q = process.query(start);
        process.apply(answer(leader, q, start + milliseconds(290)), q, start,
                      start + milliseconds(300));
        REQUIRE(process.m_view.m_lease_until ==
                leader.m_view.m_lease_until - milliseconds(290));

        WHEN("it ends soon and the leader couldn't renew it")
        {
            const relay_answer next = process.ask(
                leader, process.m_view.m_lease_until - milliseconds(100));

            THEN("it is told again, and lasts as long as the leader's")
            {
                REQUIRE(next.m_change);
                CHECK(next.m_change->m_endpoints.empty());
                CHECK(process.m_view.m_lease_until ==
                      leader.m_view.m_lease_until);
            }
        }
        WHEN("it has ended for the leader too")
        {
            const relay_answer next = process.ask(
                leader, leader.m_view.m_lease_until + milliseconds(300));

            THEN("the answer is empty")
            {
                CHECK_FALSE(next.m_group);
                CHECK_FALSE(next.m_change);
            }
        }
    }
    GIVEN("a leader that started again, or another one")
    {
        process.ask(leader, start);
        cell_leader other = leader_with_lease(start + milliseconds(100));

        THEN("a version from before its first description isn't a base")
        {
            other.m_version = 500;
            const relay_query q{"ledger", {{source, 1, 3, "a", {}, {}}}};
            CHECK(answer(other, q, start + milliseconds(100)).m_group);
        }
        THEN("the answers of several processes are bases side by side, up to a "
             "limit")
        {
            for (std::uint64_t i = 1; i <= 2 * max_relay_bases; ++i)
                remember_base(process.m_bases, {100 + i, 1, 3, "a", {}, {}});
            CHECK(process.m_bases.size() == max_relay_bases);
            CHECK(process.m_bases.back().m_source == 100 + 2 * max_relay_bases);
        }
    }
    GIVEN("an answer that is overtaken by a later one")
    {
        remember_base(process.m_bases, {source, 9, 3, "a", {}, {}});
        remember_base(process.m_bases, {source, 8, 3, "a", {}, {}});

        THEN("the later one stays the base")
        {
            REQUIRE(process.m_bases.size() == 1);
            CHECK(process.m_bases.front().m_version == 9);
        }
    }
    GIVEN("a change that refers to an answer that the receiver doesn't have")
    {
        const std::vector<relay_query> queries{
            {"ledger", {{source, 1, 3, "a", {}, {}}}}, {"archive", {}}};
        relayed_change c;

        THEN("it isn't applied")
        {
            CHECK(query_of(c, queries, source) == &queries.front());
            CHECK(query_of(c, queries, source + 1) == nullptr);
            c.m_index = 1;
            CHECK(query_of(c, queries, source) == nullptr);
            c.m_index = 2;
            CHECK(query_of(c, queries, source) == nullptr);
        }
        THEN("everything is asked for next")
        {
            remember_base(process.m_bases, queries[0].m_bases[0]);
            forget_base(process.m_bases, source);
            CHECK(process.m_bases.empty());
        }
    }
    GIVEN("an endpoint that the receiver doesn't know")
    {
        relayed_change c;
        c.m_endpoints = {{hash_endpoint_id("z"), {}},
                         {hash_endpoint_id("b"), {milliseconds(5), 7}}};
        const relay_query q{"ledger", {{source, 1, 3, "a", {}, {}}}};
        const relayed_group m = expand_change(c, q, source, ids);

        THEN("it is left out")
        {
            REQUIRE(m.m_endpoints.size() == 1);
            CHECK(m.m_endpoints.at("b").m_connections == 7);
        }
    }
}

// A fault here would make a process wait for a lease that it was told, or keep
// one that nobody proved.
SCENARIO("A process that is told changes knows as much as one that is told "
         "everything")
{
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        const auto up_to = [&](unsigned most)
        {
            return std::uniform_int_distribution<unsigned>(0, most)(random);
        };
        constexpr milliseconds round_trip{20};
        cell_leader leader;
        follower by_changes;
        group_view in_full;
        const auto both = [&](auto act)
        {
            act(by_changes.m_view);
            act(in_full);
        };
        time_point now = start;
        term_number term = 1;
        std::size_t primary = 0;
        for (int i = 0; i < 120; ++i)
        {
            now += milliseconds(1 + up_to(200));
            if (up_to(30) == 0)
            {
                ++term;
                primary = up_to(2);
            }
            for (std::size_t e = 0; e < ids.size(); ++e)
                if (up_to(2) == 0)
                    leader.observe(ids[e], e == primary, term,
                                   100 * term + static_cast<unsigned>(i), now);
            if (up_to(20) == 0)
                both(
                    [&](group_view& g)
                    {
                        const std::string known = g.m_primary;
                        invalidate_primary(g, known, now);
                    });
            if (up_to(20) == 0)
                both(
                    [&](group_view& g)
                    {
                        record_status(g, ids[primary],
                                      status_of(true, term, 100 * term),
                                      now - milliseconds(3), now);
                    });
            const time_point requested_at = now - round_trip;
            const relay_query q = by_changes.query(requested_at);
            const relay_answer a = answer(leader, q, now);
            // Some answers are lost.
            if (up_to(4) == 0)
                continue;
            by_changes.apply(a, q, requested_at, now);
            adopt_relayed_group(in_full, leader.describe(now), requested_at);
            CAPTURE(seed, i);
            REQUIRE(by_changes.m_view.m_term == in_full.m_term);
            REQUIRE(by_changes.m_view.m_primary == in_full.m_primary);
            REQUIRE(by_changes.m_view.m_lease_until == in_full.m_lease_until);
            REQUIRE(newest_position(by_changes.m_view) ==
                    newest_position(in_full));
        }
    }
}

SCENARIO("Changes never make evidence newer, in whatever order they arrive")
{
    struct on_the_way
    {
        relay_answer m_answer;
        relay_query m_query;
        time_point m_requested_at{};
        time_point m_arrives_at{};
    };
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        const auto span = [&](int most)
        {
            return milliseconds(
                std::uniform_int_distribution<int>(0, most)(random));
        };
        const milliseconds clock_offset = span(100'000);
        cell_leader leader;
        follower process;
        std::vector<on_the_way> answers;
        time_point now = start;
        for (int i = 0; i < 120; ++i)
        {
            now += span(100);
            const term_number term = 1 + static_cast<unsigned>(i) / 50;
            const std::size_t primary = term % ids.size();
            for (std::size_t e = 0; e < ids.size(); ++e)
                if (span(2) == milliseconds(0))
                    leader.observe(ids[e], e == primary, term,
                                   static_cast<unsigned>(i), now);
            const time_point requested_at = now - span(200) + clock_offset;
            const relay_query q = process.query(requested_at);
            answers.push_back(
                {answer(leader, q, now), q, requested_at, now + span(300)});
            std::erase_if(answers,
                          [&](const on_the_way& a)
                          {
                              if (a.m_arrives_at > now)
                                  return false;
                              process.apply(a.m_answer, a.m_query,
                                            a.m_requested_at,
                                            now + clock_offset);
                              return true;
                          });
            CAPTURE(seed, i);
            REQUIRE(process.m_view.m_term <= leader.m_view.m_term);
            if (process.m_view.m_term != leader.m_view.m_term)
                continue;
            REQUIRE(process.m_view.m_lease_until <=
                    leader.m_view.m_lease_until + clock_offset);
            if (!process.m_view.m_samples.empty())
                REQUIRE(process.m_view.m_samples.back().m_asked_at <=
                        leader.m_view.m_samples.back().m_asked_at +
                            clock_offset);
        }
    }
}
