#include <catch2/catch.hpp>
#include <shares/fake_fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::shares;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Rate and burst of the fleet, which these tests don't use.
constexpr double unused_rate = 1;
constexpr std::uint32_t limit = 30;
/// What remains for statements besides a monitor connection per member and one
/// connection for orders.
constexpr std::uint32_t statement_connections(std::uint32_t members)
{
    return limit - members - 1;
}

void run_for(fake_fleet& f, duration length)
{
    for (const time_point end = f.m_now + length; f.m_now < end;)
        step(f);
}

/// Keeps this many transactions waiting or running at a daemon.
void keep_busy(fake_fleet& f, duration length, std::size_t daemon,
               std::uint32_t transactions)
{
    for (const time_point end = f.m_now + length; f.m_now < end;)
    {
        const connection_usage usage = usage_of(f, daemon);
        if (usage.m_busy + usage.m_waiting < transactions)
            offer_transaction(f, daemon);
        step(f);
    }
}

}

SCENARIO("An endpoint's connections hold over all daemons together")
{
    GIVEN("daemons that are paused, restarted and isolated, and late messages")
    {
        const unsigned seed = GENERATE(range(1U, 61U));
        fake_fleet f(3 + seed % 5, unused_rate, unused_rate, seed);
        share_endpoint(f, limit);
        run_for(f, seconds(8));
        WHEN("one after another has more transactions than the endpoint allows")
        {
            for (int i = 0; i < 60; ++i)
            {
                inject_faults(f, f.m_daemons.size() < 12 ? 0.1 : 0);
                const auto busy = static_cast<std::size_t>(i / 3);
                keep_busy(f, seconds(1), busy % f.m_daemons.size(), 2 * limit);
            }
            THEN("connections, monitors and one order never exceed the limit")
            {
                INFO("seed " << seed);
                CHECK(f.m_endpoint.m_max_open <= limit);
                CHECK(f.m_endpoint.m_served > 0);
            }
        }
    }
}

SCENARIO("An endpoint's connections are where the transactions are")
{
    GIVEN("four daemons and a network without faults")
    {
        const unsigned seed = GENERATE(range(1U, 6U));
        CAPTURE(seed);
        fake_fleet f(4, unused_rate, unused_rate, seed);
        share_endpoint(f, limit);
        run_for(f, seconds(8));
        WHEN("all transactions are at one of them")
        {
            keep_busy(f, seconds(5), 1, 2 * limit);
            THEN("it has all connections but one of each other daemon")
            {
                CHECK(usage_of(f, 1).m_busy >=
                      statement_connections(4) - 3 - 1);
                CHECK(f.m_endpoint.m_max_open <= limit);
                CHECK(f.m_endpoint.m_aborted == 0);
            }
            AND_WHEN("they move to another one")
            {
                f.m_daemons[1].m_pool.m_waiting = 0;
                keep_busy(f, seconds(5), 2, 2 * limit);
                THEN("that one has them, and no transaction was aborted")
                {
                    CHECK(usage_of(f, 2).m_busy >=
                          statement_connections(4) - 3 - 1);
                    CHECK(f.m_endpoint.m_max_open <= limit);
                    CHECK(f.m_endpoint.m_aborted == 0);
                }
            }
        }
        WHEN("the borrower ends")
        {
            keep_busy(f, seconds(5), 1, 2 * limit);
            f.m_daemons[1].m_alive = false;
            std::erase_if(f.m_endpoint.m_sessions,
                          [](const fake_session& s)
                          {
                              return s.m_owner == 1;
                          });
            keep_busy(f, seconds(30), 2, 2 * limit);
            THEN("the others get its connections")
            {
                CHECK(usage_of(f, 2).m_busy >=
                      statement_connections(3) - 2 - 1);
                CHECK(f.m_endpoint.m_max_open <= limit);
            }
        }
    }
}
