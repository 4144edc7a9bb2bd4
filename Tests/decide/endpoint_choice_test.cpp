#include <array>

#include <catch2/catch.hpp>
#include <decide/endpoint_choice.hpp>

using namespace bluebellspoke;

SCENARIO("A read is sent to the endpoint with the lowest expected cost")
{
    constexpr time_point now{std::chrono::hours(1)};
    const auto candidate = [&](double ms, std::uint32_t running)
    {
        endpoint_candidate c;
        c.m_latency_ms = ms;
        c.m_responded_at = now;
        c.m_running = running;
        c.m_has_idle_connection = true;
        return c;
    };

    GIVEN("an endpoint in the same region and one in another region")
    {
        std::array candidates{candidate(40, 0), candidate(40, 0)};
        candidates[1].m_in_other_region = true;

        THEN("the one in the same region is chosen")
        {
            REQUIRE(choose_candidate(candidates, now) == 0);
        }
        WHEN("the one in the same region takes several times its usual time")
        {
            candidates[0].m_latency_ms = 130;
            REQUIRE(choose_candidate(candidates, now) == 1);
        }
        WHEN("the one in the same region can take no statement")
        {
            candidates[0].m_has_idle_connection = false;
            REQUIRE(choose_candidate(candidates, now) == 1);
            candidates[1].m_has_idle_connection = false;
            REQUIRE_FALSE(choose_candidate(candidates, now));
        }
    }
    GIVEN("a primary and a replica")
    {
        std::array candidates{candidate(40, 0), candidate(40, 0)};
        candidates[0].m_is_avoidable_primary = true;

        THEN("the replica is chosen")
        {
            REQUIRE(choose_candidate(candidates, now) == 1);
        }
    }
    GIVEN("an average that has expired")
    {
        std::array candidates{candidate(500, 0), candidate(60, 0)};
        candidates[0].m_responded_at = now - max_average_age;

        THEN("the endpoint is tried again")
        {
            REQUIRE(choose_candidate(candidates, now) == 0);
        }
    }
    GIVEN("responses that become slower")
    {
        REQUIRE(smooth_latency(0, 50) == Approx(50));
        REQUIRE(smooth_latency(50, 100) == Approx(60));
    }
}

SCENARIO("An endpoint doesn't respond to a statement")
{
    constexpr time_point now{std::chrono::hours(1)};

    GIVEN("that it responded to others a short time ago")
    {
        THEN("it counts as slow: avoiding it would only move its load")
        {
            REQUIRE_FALSE(
                is_unresponsive(now - std::chrono::milliseconds(60), now));
        }
    }
    GIVEN("that it has responded to nothing for a while, or never")
    {
        THEN("it is avoided")
        {
            REQUIRE(is_unresponsive(now - unresponsive_after, now));
            REQUIRE(is_unresponsive({}, now));
        }
    }
}
