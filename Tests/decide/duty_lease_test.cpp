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
