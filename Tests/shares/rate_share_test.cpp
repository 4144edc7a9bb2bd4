#include <numeric>

#include <catch2/catch.hpp>
#include <shares/fake_fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::shares;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double rate = 100;
constexpr double burst = 40;

void run_for(fake_fleet& f, duration length)
{
    for (const time_point end = f.m_now + length; f.m_now < end;)
        step(f);
}

/// Sends `per_second` statements to each of the given daemons at an even pace.
/// Returns how many were refused.
std::size_t offer_for(fake_fleet& f, duration length, double per_second,
                      std::span<const std::size_t> daemons)
{
    const std::size_t before = f.m_refused;
    double due = 0;
    for (const time_point end = f.m_now + length; f.m_now < end;)
    {
        step(f);
        due += per_second * std::chrono::duration<double>(fake_step).count();
        for (; due >= 1; due -= 1)
            for (const std::size_t d : daemons)
                offer_statement(f, d);
    }
    run_for(f, 2 * max_loan_wait);
    return f.m_refused - before;
}

}

SCENARIO("A workspace's rate and burst hold over all daemons together")
{
    GIVEN("daemons that are paused, restarted and isolated, and late messages")
    {
        const unsigned seed = GENERATE(range(1U, 61U));
        fake_fleet f(3 + seed % 6, rate, burst, seed);
        run_for(f, seconds(8));
        WHEN("each of them is sent more than the whole rate")
        {
            for (int i = 0; i < 60; ++i)
            {
                inject_faults(f, 0.15);
                std::vector<std::size_t> all(f.m_daemons.size());
                std::iota(all.begin(), all.end(), 0U);
                offer_for(f, seconds(1), 1.2 * rate, all);
            }
            THEN("no window admits more than burst + rate * length")
            {
                INFO("seed " << seed);
                CHECK(f.m_over_limit == 0);
                CHECK(f.m_max_held <= 40);
                CHECK(f.m_admitted > 0);
            }
        }
    }
}

SCENARIO("Inside its rate a workspace is served wherever its traffic is")
{
    GIVEN("eight daemons and a network without faults")
    {
        const unsigned seed = GENERATE(range(1U, 6U));
        fake_fleet f(8, rate, burst, seed);
        run_for(f, seconds(8));
        REQUIRE(held_by_all(f) == 40);
        const std::vector<std::size_t> one{3};
        WHEN("all traffic is at one of them")
        {
            const std::size_t refused =
                offer_for(f, seconds(20), 0.95 * rate, one);
            THEN("nothing is refused")
            {
                CHECK(refused == 0);
                CHECK(f.m_over_limit == 0);
            }
            AND_WHEN("it moves to another one")
            {
                const std::vector<std::size_t> other{6};
                const std::size_t after_move =
                    offer_for(f, seconds(20), 0.95 * rate, other);
                THEN("still nothing is refused")
                {
                    CHECK(after_move == 0);
                    CHECK(f.m_over_limit == 0);
                }
            }
        }
        WHEN("the traffic is spread over all of them")
        {
            const std::vector<std::size_t> all{0, 1, 2, 3, 4, 5, 6, 7};
            const std::size_t refused =
                offer_for(f, seconds(20), 0.95 * rate / 8, all);
            THEN("nothing is refused")
            {
                CHECK(refused == 0);
                CHECK(f.m_over_limit == 0);
            }
        }
    }
}

SCENARIO("A cut-off daemon spends what it holds and no more")
{
    GIVEN("three daemons")
    {
        fake_fleet f(3, rate, burst, 7);
        run_for(f, seconds(8));
        const std::vector<std::size_t> isolated{2};
        WHEN("the platform is down and all messages are lost")
        {
            f.m_faults = {1.0, milliseconds(2), false};
            run_for(f, standing_bound + loan_term + seconds(1));
            THEN("their shares end with their standing")
            {
                CHECK(held_by_all(f) == 0);
                CHECK(offer_for(f, seconds(2), rate, isolated) > 0);
                CHECK(f.m_over_limit == 0);
            }
        }
        WHEN("only the platform is down")
        {
            f.m_faults.m_platform_up = false;
            run_for(f, seconds(60));
            THEN("the daemons confirm the epoch to each other and keep their "
                 "shares")
            {
                CHECK(held_by_all(f) == 40);
            }
        }
    }
}
