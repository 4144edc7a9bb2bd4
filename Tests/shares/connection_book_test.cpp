#include <catch2/catch.hpp>
#include <shares/fake_fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::shares;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double no_rate = 1;
constexpr std::uint32_t limit = 30;
/// Monitors of the members and one connection for orders.
constexpr std::uint32_t room(std::uint32_t members)
{
    return limit - members - 1;
}

void run_for(fake_fleet& f, duration length)
{
    for (const time_point end = f.m_now + length; f.m_now < end;)
        step(f);
}

/// Keeps as many transactions waiting or open at a daemon, all the time.
void keep_busy(fake_fleet& f, duration length, std::size_t daemon,
               std::uint32_t transactions)
{
    for (const time_point end = f.m_now + length; f.m_now < end;)
    {
        const connection_use use = use_of(f, daemon);
        if (use.m_busy + use.m_waiting < transactions)
            offer_transaction(f, daemon);
        step(f);
    }
}

}

SCENARIO("An endpoint's connections hold over all daemons together")
{
    GIVEN("daemons that are paused, restarted, cut off and slow to hear")
    {
        const unsigned seed = GENERATE(range(1U, 61U));
        fake_fleet f(3 + seed % 5, no_rate, no_rate, seed);
        share_endpoint(f, limit);
        run_for(f, seconds(8));
        WHEN("one after another has more transactions than the endpoint room")
        {
            for (int i = 0; i < 60; ++i)
            {
                hurt(f, f.m_daemons.size() < 12 ? 0.1 : 0);
                const auto busy = static_cast<std::size_t>(i / 3);
                keep_busy(f, seconds(1), busy % f.m_daemons.size(), 2 * limit);
            }
            THEN("connections, monitors and an order never exceed the limit")
            {
                INFO("seed " << seed);
                CHECK(f.m_endpoint.m_most_open <= limit);
                CHECK(f.m_endpoint.m_served > 0);
            }
        }
    }
}

SCENARIO("An endpoint's connections are where the transactions are")
{
    GIVEN("four daemons on a sound network")
    {
        const unsigned seed = GENERATE(range(1U, 6U));
        CAPTURE(seed);
        fake_fleet f(4, no_rate, no_rate, seed);
        share_endpoint(f, limit);
        run_for(f, seconds(8));
        WHEN("all transactions are at one of them")
        {
            keep_busy(f, seconds(5), 1, 2 * limit);
            THEN("it has all but one connection of each other daemon")
            {
                CHECK(use_of(f, 1).m_busy >= room(4) - 3 - 1);
                CHECK(f.m_endpoint.m_most_open <= limit);
                CHECK(f.m_endpoint.m_cut == 0);
            }
            AND_WHEN("they move to another one")
            {
                f.m_daemons[1].m_pool.m_waiting = 0;
                keep_busy(f, seconds(5), 2, 2 * limit);
                THEN("that one has them, and no transaction was cut")
                {
                    CHECK(use_of(f, 2).m_busy >= room(4) - 3 - 1);
                    CHECK(f.m_endpoint.m_most_open <= limit);
                    CHECK(f.m_endpoint.m_cut == 0);
                }
            }
        }
        WHEN("the borrower dies")
        {
            keep_busy(f, seconds(5), 1, 2 * limit);
            f.m_daemons[1].m_alive = false;
            std::erase_if(f.m_endpoint.m_sessions,
                          [](const fake_session& s)
                          {
                              return s.m_owner == 1;
                          });
            keep_busy(f, seconds(30), 2, 2 * limit);
            THEN("what it had goes to the others")
            {
                CHECK(use_of(f, 2).m_busy >= room(3) - 2 - 1);
                CHECK(f.m_endpoint.m_most_open <= limit);
            }
        }
    }
}
