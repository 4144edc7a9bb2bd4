#include <catch2/catch.hpp>
#include <decide/endpoint_list.hpp>

using namespace bluebellspoke;

SCENARIO("Entries of endpoints go missing around an outage of the store")
{
    constexpr time_point start{std::chrono::hours(1)};
    endpoint_list l;
    site_endpoint a;
    a.m_id = "i-1";
    put_endpoint(l, a);
    const auto has = [&]
    {
        return l.m_entries.contains("i-1");
    };

    GIVEN("a store that answers")
    {
        WHEN("the entry is removed")
        {
            remove_endpoint(l, "i-1", start);

            THEN("the endpoint is gone")
            {
                REQUIRE_FALSE(has());
            }
        }
    }
    GIVEN("a store that has come back")
    {
        note_store_return(l, start);

        WHEN("the entry is missing from its list")
        {
            replace_endpoints(l, {}, start);
            REQUIRE(has());

            THEN("it is gone if it stays missing")
            {
                REQUIRE_FALSE(
                    expire_missing(l, start + std::chrono::seconds(2)));
                REQUIRE(has());
                REQUIRE(expire_missing(l, start + lapse_hold));
                REQUIRE_FALSE(has());
            }
            THEN("it stays if it is back in time")
            {
                put_endpoint(l, a);
                REQUIRE_FALSE(expire_missing(l, start + lapse_hold));
                REQUIRE(has());
            }
        }
    }
}
