#include <catch2/catch.hpp>
#include <decide/retry_budget.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

/// First attempts that all fail, each retried up to twice.
unsigned retries_of(retry_budget& b, time_point& now, unsigned attempts,
                    duration gap)
{
    unsigned retries = 0;
    for (unsigned i = 0; i < attempts; ++i)
    {
        now += gap;
        note_first_attempt(b, now);
        for (int again = 0; again < 2; ++again)
            if (take_retry(b, now))
                ++retries;
    }
    return retries;
}

}

TEST_CASE("What a daemon repeats by itself stays a fraction of what is asked")
{
    time_point now{1000s};
    retry_budget b;

    GIVEN("a group that fails every statement")
    {
        WHEN("a thousand come at once")
        {
            const unsigned retries = retries_of(b, now, 1000, 0s);
            THEN("a tenth and the floor are repeated")
            {
                REQUIRE(retries <= 0.1 * 1000 + retry_floor);
                REQUIRE(retries >= 0.1 * 1000 + retry_floor - 1);
            }
        }
        WHEN("they come over a hundred seconds")
        {
            const unsigned retries = retries_of(b, now, 1000, 100ms);
            THEN("the floor comes back by one a second")
            {
                REQUIRE(retries <= 0.1 * 1000 + retry_floor + 100);
            }
        }
    }
    GIVEN("a quiet group after a failover that used its floor up")
    {
        retries_of(b, now, 1000, 0s);
        REQUIRE_FALSE(take_retry(b, now));
        THEN("it has the floor again soon, and no more")
        {
            now += 1h;
            unsigned retries = 0;
            while (take_retry(b, now))
                ++retries;
            REQUIRE(retries == retry_floor);
        }
    }
    GIVEN("a group that was sound for long")
    {
        for (int i = 0; i < 100'000; ++i)
            note_first_attempt(b, now);
        THEN("what it has saved is bounded")
        {
            unsigned retries = 0;
            while (take_retry(b, now))
                ++retries;
            REQUIRE(retries == most_saved_retries);
        }
    }
}
