#include <catch2/catch.hpp>
#include <decide/retry_budget.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

// Returns the number of granted retries for `attempts` requests that always
// fail, each of which asks for up to two retries.
unsigned count_retries(retry_budget& b, time_point& now, unsigned attempts,
                       duration gap)
{
    unsigned retries = 0;
    for (unsigned i = 0; i < attempts; ++i)
    {
        now += gap;
        record_first_attempt(b, now);
        for (int retry = 0; retry < 2; ++retry)
            if (try_take_retry(b, now))
                ++retries;
    }
    return retries;
}

}

TEST_CASE("A daemon's retries stay a fraction of the first attempts")
{
    time_point now{1000s};
    retry_budget b;

    GIVEN("a group that fails every statement")
    {
        WHEN("a thousand statements come at once")
        {
            const unsigned retries = count_retries(b, now, 1000, 0s);
            THEN("a tenth of them plus the initial budget is retried")
            {
                REQUIRE(retries <= 0.1 * 1000 + retry_reserve);
                REQUIRE(retries >= 0.1 * 1000 + retry_reserve - 1);
            }
        }
        WHEN("a thousand statements come over a hundred seconds")
        {
            const unsigned retries = count_retries(b, now, 1000, 100ms);
            THEN("one more retry per second is available")
            {
                REQUIRE(retries <= 0.1 * 1000 + retry_reserve + 100);
            }
        }
    }
    GIVEN("an idle group whose budget was used up by a failover")
    {
        count_retries(b, now, 1000, 0s);
        REQUIRE_FALSE(try_take_retry(b, now));
        THEN("the budget refills to its initial value and no further")
        {
            now += 1h;
            unsigned retries = 0;
            while (try_take_retry(b, now))
                ++retries;
            REQUIRE(retries == retry_reserve);
        }
    }
    GIVEN("a group that ran without failures for a long time")
    {
        for (int i = 0; i < 100'000; ++i)
            record_first_attempt(b, now);
        THEN("its budget is limited")
        {
            unsigned retries = 0;
            while (try_take_retry(b, now))
                ++retries;
            REQUIRE(retries == max_saved_retries);
        }
    }
}
