#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/endpoints_change.hpp>

using namespace bluebellspoke;

namespace
{

std::vector<endpoint_setting> endpoints(const std::string& names)
{
    std::vector<endpoint_setting> settings;
    for (const char name : names)
        settings.push_back({std::string(1, name),
                            "127.0.0.1:70" + std::to_string(name), "zone-1",
                            false});
    return settings;
}

}

TEST_CASE("Majorities before and after a safe change intersect")
{
    const std::vector<endpoint_setting> group = endpoints("abc");

    SECTION("one endpoint is added or removed")
    {
        REQUIRE(classify_change(group, endpoints("abcd")) ==
                endpoints_change::safe);
        REQUIRE(classify_change(group, endpoints("ab")) ==
                endpoints_change::safe);
    }
    SECTION("two endpoints are removed, or one is replaced by another")
    {
        REQUIRE(classify_change(group, endpoints("a")) ==
                endpoints_change::too_large);
        REQUIRE(classify_change(group, endpoints("abd")) ==
                endpoints_change::too_large);
    }
    SECTION("a changed address counts as another endpoint, with another log")
    {
        std::vector<endpoint_setting> moved = group;
        moved[0].m_address = "127.0.0.1:7000";
        REQUIRE(classify_change(group, moved) == endpoints_change::too_large);
    }
    SECTION("other attributes don't change the majorities")
    {
        std::vector<endpoint_setting> leaving = group;
        leaving[0].m_leaving = true;
        REQUIRE(classify_change(group, leaving) == endpoints_change::none);
    }
    SECTION("a group is created or removed")
    {
        REQUIRE(classify_change({}, group) == endpoints_change::none);
        REQUIRE(classify_change(group, {}) == endpoints_change::none);
    }
}
