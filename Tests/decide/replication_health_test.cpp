#include <catch2/catch.hpp>
#include <decide/replication_health.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds step{25};

/// A simulated group with a logical clock. Endpoint 0 is the first primary.
struct simulated_group
{
    simulated_group()
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

    /// Advances the clock by `length`, or until the leader must be replaced.
    /// Every endpoint responds in each step. Returns the time that passed.
    duration run(duration length)
    {
        const time_point begin = m_now;
        while (m_now - begin < length)
        {
            m_now += step;
            for (voter& v : m_voters)
                respond(v);
            update_replication_health(m_health, m_voters, m_now);
            if (is_replication_stalled(m_health, m_voters, m_now))
                break;
        }
        return m_now - begin;
    }

    void respond(voter& v) const
    {
        if (v.m_state->m_role == endpoint_role::replica &&
            v.m_state->m_primary_silence)
            *v.m_state->m_primary_silence += step;
        v.m_last_contact_at = m_now;
    }

    void write()
    {
        ++m_voters[m_leader].m_state->m_received.m_offset;
    }

    void receive(std::size_t i)
    {
        m_voters[i].m_state->m_received =
            m_voters[m_leader].m_state->m_received;
        m_voters[i].m_state->m_primary_silence = milliseconds(0);
    }

    void promote(std::size_t i)
    {
        m_voters[m_leader].m_state->m_role = endpoint_role::replica;
        m_leader = i;
        const term_number term = highest_fence(m_voters) + 1;
        for (voter& v : m_voters)
        {
            v.m_state->m_fence = term;
            v.m_state->m_primary_silence = milliseconds(0);
        }
        endpoint_state& leader = *m_voters[i].m_state;
        leader.m_role = endpoint_role::primary;
        leader.m_received = {term, leader.m_received.m_offset + 1};
    }

    bool is_stalled_now() const
    {
        return is_replication_stalled(m_health, m_voters, m_now);
    }

    std::vector<voter> m_voters;
    std::size_t m_leader = 0;
    replication_health m_health;
    time_point m_now = start;
};

}

SCENARIO("A primary whose replicas receive nothing is replaced")
{
    GIVEN("a group whose primary writes")
    {
        simulated_group g;
        g.write();

        WHEN("neither replica receives anything")
        {
            const duration elapsed = g.run(seconds(10));

            THEN("the primary must be replaced within the sum of the timeouts")
            {
                REQUIRE(g.is_stalled_now());
                REQUIRE(elapsed <= replica_receive_timeout +
                                       replication_stall_timeout + 2 * step);
            }
            THEN("it stays once a replica receives again")
            {
                g.receive(1);
                REQUIRE_FALSE(g.is_stalled_now());
            }
            THEN("it stays when too few others are eligible")
            {
                g.m_voters[2].m_eligible = false;
                REQUIRE_FALSE(g.is_stalled_now());
            }
            THEN("it stays when one of them doesn't respond, because this "
                 "daemon may be the one that is partitioned")
            {
                g.m_voters[2].m_last_contact_at =
                    g.m_now - suspicion_timeout - step;
                REQUIRE_FALSE(g.is_stalled_now());
            }
        }
        WHEN("one of them receives the writes")
        {
            THEN("the primary stays")
            {
                for (unsigned i = 0; i < 40; ++i)
                {
                    g.receive(1);
                    REQUIRE(g.run(replica_receive_timeout / 2) ==
                            replica_receive_timeout / 2);
                }
            }
        }
        WHEN("both receive data but lag behind the writes for ten seconds")
        {
            THEN("they are only slow, and the primary stays")
            {
                for (unsigned i = 0; i < 100; ++i)
                {
                    g.write();
                    for (const std::size_t replica : {1U, 2U})
                        g.m_voters[replica].m_state->m_primary_silence =
                            milliseconds(0);
                    REQUIRE(g.run(milliseconds(100)) == milliseconds(100));
                }
            }
        }
        WHEN("they don't report how long they have received nothing")
        {
            g.m_voters[1].m_state->m_primary_silence.reset();
            g.m_voters[2].m_state->m_primary_silence.reset();

            THEN("nothing shows that they are cut off, and the primary stays")
            {
                REQUIRE(g.run(seconds(60)) == seconds(60));
            }
        }
    }
    GIVEN("an idle group without heartbeats")
    {
        simulated_group g;
        REQUIRE(g.run(seconds(60)) == seconds(60));

        WHEN("a write is committed and one replica receives it")
        {
            g.write();
            REQUIRE(g.run(replication_stall_timeout / 2) ==
                    replication_stall_timeout / 2);
            g.receive(1);

            THEN("the silence before the write doesn't count")
            {
                REQUIRE(g.run(replica_receive_timeout / 2) ==
                        replica_receive_timeout / 2);
            }
        }
    }
}

SCENARIO("Promotions that don't end a stall become less frequent")
{
    GIVEN("a group in which no endpoint receives from another")
    {
        simulated_group g;
        g.write();
        duration last = g.run(seconds(10));

        WHEN("the endpoints are promoted in turn")
        {
            THEN("each primary is kept longer than the one before, up to a "
                 "limit")
            {
                for (unsigned i = 1; i <= max_stall_doublings; ++i)
                {
                    g.promote(i % 3);
                    const duration elapsed = g.run(seconds(1000));
                    REQUIRE(g.is_stalled_now());
                    REQUIRE(elapsed > last);
                    last = elapsed;
                }
                g.promote(2);
                REQUIRE(g.run(seconds(1000)) == last);
            }
        }
        WHEN("replication from the next primary works for a while")
        {
            g.promote(1);
            for (duration fed{}; fed <= stall_recovery_time;
                 fed += replica_receive_timeout / 2)
            {
                g.receive(0);
                g.receive(2);
                g.run(replica_receive_timeout / 2);
            }

            THEN("the next stall has the initial timeout again")
            {
                g.write();
                REQUIRE(g.run(seconds(10)) <= replica_receive_timeout +
                                                  replication_stall_timeout +
                                                  2 * step);
                REQUIRE(g.is_stalled_now());
            }
        }
    }
}

SCENARIO("Replicas that weren't told of a new primary are found")
{
    GIVEN("a new primary that no replica follows")
    {
        simulated_group g;
        g.promote(1);
        REQUIRE(find_cut_off(g.m_voters, 1, g.m_now).empty());

        WHEN("the replicas have received nothing for a while")
        {
            g.run(replica_receive_timeout + step);

            THEN("they need another follow order")
            {
                REQUIRE(find_cut_off(g.m_voters, 1, g.m_now) ==
                        std::vector<std::size_t>{0, 2});
            }
        }
    }
}
