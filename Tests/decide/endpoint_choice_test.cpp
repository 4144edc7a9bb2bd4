#include <array>

#include <catch2/catch.hpp>
#include <decide/endpoint_choice.hpp>

using namespace bluebellspoke;

SCENARIO("A read is given to one of several endpoints")
{
    constexpr time_point now{std::chrono::hours(1)};
    const auto offer = [&](double ms, std::uint32_t running)
    {
        endpoint_offer o;
        o.m_answer_ms = ms;
        o.m_answered_at = now;
        o.m_running = running;
        o.m_has_idle = true;
        return o;
    };

    GIVEN("a near endpoint and a far one")
    {
        std::array offers{offer(40, 0), offer(40, 0)};
        offers[1].m_is_far = true;

        THEN("the near one is chosen")
        {
            REQUIRE(choose_offer(offers, now) == 0);
        }
        WHEN("the near one takes several times its time")
        {
            offers[0].m_answer_ms = 130;
            REQUIRE(choose_offer(offers, now) == 1);
        }
        WHEN("the near one has no room")
        {
            offers[0].m_has_idle = false;
            REQUIRE(choose_offer(offers, now) == 1);
            offers[1].m_has_idle = false;
            REQUIRE_FALSE(choose_offer(offers, now));
        }
    }
    GIVEN("a primary and a replica")
    {
        std::array offers{offer(40, 0), offer(40, 0)};
        offers[0].m_spares_primary = true;

        THEN("the primary is left to what only it can run")
        {
            REQUIRE(choose_offer(offers, now) == 1);
        }
    }
    GIVEN("an average that is old")
    {
        std::array offers{offer(500, 0), offer(60, 0)};
        offers[0].m_answered_at = now - average_age;

        THEN("the endpoint is tried again")
        {
            REQUIRE(choose_offer(offers, now) == 0);
        }
    }
    GIVEN("answers that get slower")
    {
        REQUIRE(smooth_answer(0, 50) == Approx(50));
        REQUIRE(smooth_answer(50, 100) == Approx(60));
    }
}

SCENARIO("An endpoint leaves a statement unanswered")
{
    constexpr time_point now{std::chrono::hours(1)};

    GIVEN("that it answered others a moment ago")
    {
        THEN("it is slow, and avoiding it would only move its load")
        {
            REQUIRE_FALSE(is_silent(now - std::chrono::milliseconds(60), now));
        }
    }
    GIVEN("that it has answered nothing for a while, or never")
    {
        THEN("it is avoided")
        {
            REQUIRE(is_silent(now - silence_bound, now));
            REQUIRE(is_silent({}, now));
        }
    }
}
