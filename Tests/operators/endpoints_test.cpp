#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

json group_of_first(const fleet& f, std::size_t count)
{
    json endpoints = json::array();
    for (std::size_t i = 0; i < count; ++i)
        endpoints.push_back({{"name", f.m_endpoints[i].m_name},
                             {"address", to_string(f.m_endpoints[i].m_address)},
                             {"zone", f.m_endpoints[i].m_zone}});
    return {{"kind", "service"}, {"endpoints", std::move(endpoints)}};
}

finished_program put_group(const fleet& f, std::size_t count)
{
    return ctl(f, {"put", "group", group_of_first(f, count).dump()});
}

}

TEST_CASE("A group's endpoints change one at a time")
{
    constexpr int refused = 5;
    ward w({.m_daemons = 1});
    const fleet& f = w.m_fleet;

    GIVEN("a group of three")
    {
        WHEN("an operator takes two endpoints away at once")
        {
            THEN("the edit is refused, and the group is as it was")
            {
                REQUIRE(put_group(f, 1).m_code == refused);
                REQUIRE(put_group(f, 3).m_code == 0);
            }
        }
        WHEN("one goes after the other")
        {
            THEN("both edits are in force")
            {
                REQUIRE(put_group(f, 2).m_code == 0);
                REQUIRE(put_group(f, 1).m_code == 0);
                REQUIRE(read_through(w, 0).m_status == 200);
            }
        }
    }
}
