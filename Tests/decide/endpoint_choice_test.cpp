#include <array>

#include <catch2/catch.hpp>
#include <decide/endpoint_choice.hpp>

using namespace bluebellspoke;

SCENARIO("A read is sent to the endpoint with the lowest expected cost")
{
    constexpr time_point now{std::chrono::hours(1)};
    const auto candidate = [&](double ms, std::uint32_t running)
    {
        endpoint_offer c;
        c.m_answer_ms = ms;
        c.m_answered_at = now;
        c.m_running = running;
        c.m_has_idle = true;
        return c;
    };

    GIVEN("an endpoint in the same region and one in another region")
    {
        std::array candidates{candidate(40, 0), candidate(40, 0)};
        candidates[1].m_is_far = true;

        THEN("the one in the same region is chosen")
        {
            REQUIRE(choose_offer(candidates, now) == 0);
        }
        WHEN("the one in the same region takes several times its usual time")
        {
            candidates[0].m_answer_ms = 130;
            REQUIRE(choose_offer(candidates, now) == 1);
        }
        WHEN("the one in the same region can take no statement")
        {
            candidates[0].m_has_idle = false;
            REQUIRE(choose_offer(candidates, now) == 1);
            candidates[1].m_has_idle = false;
            REQUIRE_FALSE(choose_offer(candidates, now));
        }
    }
    GIVEN("a primary and a replica")
    {
        std::array candidates{candidate(40, 0), candidate(40, 0)};
        candidates[0].m_spares_primary = true;

        THEN("the replica is chosen")
        {
            REQUIRE(choose_offer(candidates, now) == 1);
        }
    }
    GIVEN("an average that has expired")
    {
        std::array candidates{candidate(500, 0), candidate(60, 0)};
        candidates[0].m_answered_at = now - average_age;

        THEN("the endpoint is tried again")
        {
            REQUIRE(choose_offer(candidates, now) == 0);
        }
    }
    GIVEN("responses that become slower")
    {
        REQUIRE(smooth_answer(0, 50) == Approx(50));
        REQUIRE(smooth_answer(50, 100) == Approx(60));
    }
}

SCENARIO("An endpoint doesn't respond to a statement")
{
    constexpr time_point now{std::chrono::hours(1)};

    GIVEN("that it responded to others a short time ago")
    {
        THEN("it counts as slow: avoiding it would only move its load")
        {
            REQUIRE_FALSE(is_silent(now - std::chrono::milliseconds(60), now));
        }
    }
    GIVEN("that it has responded to nothing for a while, or never")
    {
        THEN("it is avoided")
        {
            REQUIRE(is_silent(now - silence_bound, now));
            REQUIRE(is_silent({}, now));
        }
    }
}
