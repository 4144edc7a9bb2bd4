#include <catch2/catch.hpp>
#include <decide/duty_lease.hpp>

using namespace bluebellspoke;

SCENARIO("One process at a time holds the promotion duty")
{
    constexpr time_point start{std::chrono::hours(1)};
    duty_record held;
    held.m_holder = "vm-1";
    held.m_incarnation = 7;
    held.m_token = 3;
    held.m_renewals = 40;
    const duty_observation seen = observe_duty({}, 12, held, start);

    GIVEN("a holder that renews")
    {
        const duty_observation renewed =
            observe_duty(seen, 13, held, start + duty_acquisition_delay);

        THEN("no other process acquires the duty")
        {
            REQUIRE_FALSE(may_acquire_duty(renewed, "vm-2", 1,
                                           start + duty_acquisition_delay));
        }
    }
    GIVEN("a holder that no longer renews")
    {
        THEN("its duty expires before another process can acquire it")
        {
            REQUIRE(may_order_promotion(start, start));
            REQUIRE_FALSE(may_order_promotion(start, start + duty_validity));
            REQUIRE(duty_validity + max_order_delay < duty_acquisition_delay);
            REQUIRE_FALSE(may_acquire_duty(
                seen, "vm-2", 1, start + duty_validity + max_order_delay));
            REQUIRE(may_acquire_duty(seen, "vm-2", 1,
                                     start + duty_acquisition_delay));
        }
        THEN("an older response of the store doesn't count as a renewal")
        {
            const duty_observation again =
                observe_duty(seen, 11, held, start + duty_acquisition_delay);
            REQUIRE(again.m_first_seen_at == start);
        }
    }
    GIVEN("a holder that has restarted")
    {
        THEN("it acquires the duty at once, with a new token")
        {
            REQUIRE(may_acquire_duty(seen, "vm-1", 8, start));
            REQUIRE_FALSE(may_acquire_duty(seen, "vm-1", 7, start));
            const duty_record next = acquire_duty(held, "vm-1", 8);
            REQUIRE(next.m_token == 4);
            REQUIRE(next.m_renewals == 41);
        }
    }
    GIVEN("a duty that was released with a promotion order in transit")
    {
        duty_record released = held;
        released.m_holder.clear();
        released.m_pending_promotions["ledger"] = {"i-1", 5};
        const duty_observation free = observe_duty(seen, 14, released, start);

        THEN("the next holder acquires it and keeps the pending promotion")
        {
            REQUIRE(may_acquire_duty(free, "vm-2", 1, start));
            const duty_record next = acquire_duty(released, "vm-2", 1);
            REQUIRE(next.m_token == 4);
            REQUIRE(next.m_pending_promotions.at("ledger") ==
                    pending_promotion{"i-1", 5});
        }
    }
    GIVEN("a process that never renewed")
    {
        REQUIRE_FALSE(
            may_order_promotion({}, time_point{} + duty_renewal_interval));
    }
}

// Short timeouts for the time in which writes remain unanswered must not send
// the writes to a slow store again and again.
SCENARIO("The timeout of a duty's write follows the answers of the store")
{
    using namespace std::chrono_literals;
    store_pace pace;
    note_answer_time(pace, 10ms);

    GIVEN("a store that answers within 10 ms")
    {
        THEN("several writes fit into the time in which the duty is valid")
        {
            CHECK(10 * duty_write_timeout(pace) < duty_validity);
            CHECK(duty_hedge_delay(pace) >= 2 * 10ms);
        }
    }
    GIVEN("a store that is 50 times slower than usual")
    {
        note_answer_time(pace, 200ms);

        THEN("its answers come before the next write")
        {
            CHECK(duty_write_timeout(pace) > 2 * 200ms);
            CHECK(duty_hedge_delay(pace) > 200ms);
        }
        AND_WHEN("it is as fast as before")
        {
            for (int i = 0; i < 5; ++i)
                note_answer_time(pace, 10ms);

            THEN("the timeout is, too")
            {
                CHECK(10 * duty_write_timeout(pace) < duty_validity);
            }
        }
    }
    GIVEN("a store that answers reads only")
    {
        for (int i = 0; i < 1000; ++i)
        {
            note_write(pace, false);
            note_answer_time(pace, 10ms);
        }

        THEN("a write gets the time of any other call")
        {
            CHECK(duty_write_timeout(pace) == 1200ms);
        }
        AND_WHEN("it answers a write")
        {
            note_write(pace, true);

            THEN("the timeout is short again")
            {
                CHECK(10 * duty_write_timeout(pace) < duty_validity);
            }
        }
    }
}
