#include <catch2/catch.hpp>
#include <decide/feeding.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds step{25};

/// A group on a logical clock; endpoint 0 leads at first.
struct logical_group
{
    logical_group()
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            voter v;
            v.m_state = endpoint_state{i == 0 ? endpoint_role::primary
                                              : endpoint_role::replica,
                                       1,
                                       {1, 1},
                                       {1, 1},
                                       {},
                                       start,
                                       milliseconds(0)};
            v.m_eligible = true;
            m_voters.push_back(v);
        }
    }

    /// Lets time pass; every endpoint answers but those that are `unheard`.
    /// Returns for how long the leader was not to be replaced.
    duration run(duration length)
    {
        const time_point begin = m_now;
        while (m_now - begin < length)
        {
            m_now += step;
            for (voter& v : m_voters)
                hear(v);
            note_feeding(m_feeding, m_voters, m_now);
            if (is_starved(m_feeding, m_voters, m_now))
                break;
        }
        return m_now - begin;
    }

    void hear(voter& v) const
    {
        if (v.m_state->m_role == endpoint_role::replica && v.m_state->m_silent)
            *v.m_state->m_silent += step;
        v.m_heard_at = m_now;
    }

    void write()
    {
        ++m_voters[m_leader].m_state->m_received.m_offset;
    }

    void receive(std::size_t i)
    {
        m_voters[i].m_state->m_received =
            m_voters[m_leader].m_state->m_received;
        m_voters[i].m_state->m_silent = milliseconds(0);
    }

    void promote(std::size_t i)
    {
        m_voters[m_leader].m_state->m_role = endpoint_role::replica;
        m_leader = i;
        const term_number term = highest_fence(m_voters) + 1;
        for (voter& v : m_voters)
        {
            v.m_state->m_fence = term;
            v.m_state->m_silent = milliseconds(0);
        }
        endpoint_state& leader = *m_voters[i].m_state;
        leader.m_role = endpoint_role::primary;
        leader.m_received = {term, leader.m_received.m_offset + 1};
    }

    bool is_starved_now() const
    {
        return is_starved(m_feeding, m_voters, m_now);
    }

    std::vector<voter> m_voters;
    std::size_t m_leader = 0;
    feeding m_feeding;
    time_point m_now = start;
};

}

SCENARIO("Replicas receive nothing from their primary")
{
    GIVEN("a group whose primary writes")
    {
        logical_group g;
        g.write();

        WHEN("neither replica receives anything")
        {
            const duration borne = g.run(seconds(10));

            THEN("it is to be replaced well within the target")
            {
                REQUIRE(g.is_starved_now());
                REQUIRE(borne <= deaf_time + starvation_time + 2 * step);
            }
            THEN("it is not once they receive again")
            {
                g.receive(1);
                REQUIRE_FALSE(g.is_starved_now());
            }
            THEN("it is not when the others may not lead")
            {
                g.m_voters[2].m_eligible = false;
                REQUIRE_FALSE(g.is_starved_now());
            }
            THEN("it is not when one of them is not heard: this daemon may be "
                 "the one that is cut off")
            {
                g.m_voters[2].m_heard_at = g.m_now - suspicion_time - step;
                REQUIRE_FALSE(g.is_starved_now());
            }
        }
        WHEN("one of them receives")
        {
            THEN("it stays")
            {
                for (unsigned i = 0; i < 40; ++i)
                {
                    g.receive(1);
                    REQUIRE(g.run(deaf_time / 2) == deaf_time / 2);
                }
            }
        }
        WHEN("both hear it and lack all that it writes for ten seconds")
        {
            THEN("they are slow, and it stays")
            {
                for (unsigned i = 0; i < 100; ++i)
                {
                    g.write();
                    for (const std::size_t replica : {1U, 2U})
                        g.m_voters[replica].m_state->m_silent = milliseconds(0);
                    REQUIRE(g.run(milliseconds(100)) == milliseconds(100));
                }
            }
        }
        WHEN("they don't tell what they receive")
        {
            g.m_voters[1].m_state->m_silent.reset();
            g.m_voters[2].m_state->m_silent.reset();

            THEN("nothing shows that it is cut off, and it stays")
            {
                REQUIRE(g.run(seconds(60)) == seconds(60));
            }
        }
    }
    GIVEN("a group that is idle and silent")
    {
        logical_group g;
        REQUIRE(g.run(seconds(60)) == seconds(60));

        WHEN("a write comes and is received")
        {
            g.write();
            REQUIRE(g.run(starvation_time / 2) == starvation_time / 2);
            g.receive(1);

            THEN("the silence before it counts for nothing")
            {
                REQUIRE(g.run(deaf_time / 2) == deaf_time / 2);
            }
        }
    }
}

SCENARIO("A promotion doesn't cure a group")
{
    GIVEN("a group in which nobody receives from anybody")
    {
        logical_group g;
        g.write();
        duration last = g.run(seconds(10));

        WHEN("one after the other is promoted")
        {
            THEN("each is left alone for longer than the one before")
            {
                for (unsigned i = 1; i <= starvation_doublings; ++i)
                {
                    g.promote(i % 3);
                    const duration borne = g.run(seconds(1000));
                    REQUIRE(g.is_starved_now());
                    REQUIRE(borne > last);
                    last = borne;
                }
                g.promote(2);
                REQUIRE(g.run(seconds(1000)) == last);
            }
        }
        WHEN("the group receives from the next one for a while")
        {
            g.promote(1);
            for (duration fed{}; fed <= cured_time; fed += deaf_time / 2)
            {
                g.receive(0);
                g.receive(2);
                g.run(deaf_time / 2);
            }

            THEN("the next fault is met as the first")
            {
                g.write();
                REQUIRE(g.run(seconds(10)) <=
                        deaf_time + starvation_time + 2 * step);
                REQUIRE(g.is_starved_now());
            }
        }
    }
}

SCENARIO("A replica was told of no primary")
{
    GIVEN("a group whose new primary nobody follows")
    {
        logical_group g;
        g.promote(1);
        REQUIRE(find_deaf(g.m_voters, 1, g.m_now).empty());

        WHEN("its voters have heard nothing for a while")
        {
            g.run(deaf_time + step);

            THEN("they are to be told again")
            {
                REQUIRE(find_deaf(g.m_voters, 1, g.m_now) ==
                        std::vector<std::size_t>{0, 2});
            }
        }
    }
}
