#include <catch2/catch.hpp>
#include <decide/followed_settings.hpp>

using namespace bluebellspoke;

SCENARIO("The settings file changes while the process runs")
{
    site_settings running;
    running.m_name = "entry-1";
    running.m_region_of_zone = {{"a", "north"}};
    running.m_stop_grace = std::chrono::seconds(6);
    site_settings read = running;

    GIVEN("nothing in it that matters")
    {
        const followed_settings f = follow_settings(running, read);
        REQUIRE(f.m_followed.empty());
        REQUIRE(f.m_kept.empty());
    }
    GIVEN("a zone, a seed and a shorter grace")
    {
        read.m_region_of_zone["b"] = "south";
        read.m_seeds.push_back({"10.0.0.1", 7});
        read.m_stop_grace = std::chrono::seconds(3);
        const followed_settings f = follow_settings(running, read);

        THEN("they are in force")
        {
            REQUIRE(f.m_followed ==
                    std::vector<std::string_view>{"zones", "seeds", "grace"});
            REQUIRE(f.m_settings.m_region_of_zone.at("b") == "south");
            REQUIRE(f.m_settings.m_seeds.size() == 1);
            REQUIRE(f.m_settings.m_stop_grace == std::chrono::seconds(3));
        }
    }
    GIVEN("another name and address for the process")
    {
        read.m_name = "entry-2";
        read.m_caller_listen = {"10.0.0.2", 8};
        const followed_settings f = follow_settings(running, read);

        THEN("it keeps its own until it is started anew")
        {
            REQUIRE(f.m_kept ==
                    std::vector<std::string_view>{"name", "caller address"});
            REQUIRE(f.m_settings.m_name == "entry-1");
            REQUIRE(f.m_followed.empty());
        }
    }
}
