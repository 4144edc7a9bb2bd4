#include <catch2/catch.hpp>
#include <decide/settings_reload.hpp>

using namespace bluebellspoke;

SCENARIO("The settings file changes while the process runs")
{
    site_settings running;
    running.m_name = "entry-1";
    running.m_region_of_zone = {{"a", "north"}};
    running.m_stop_grace = std::chrono::seconds(6);
    site_settings read = running;

    GIVEN("a file without changes")
    {
        const settings_reload reload = merge_reloaded_settings(running, read);
        REQUIRE(reload.m_followed.empty());
        REQUIRE(reload.m_kept_until_restart.empty());
    }
    GIVEN("an added zone, an added seed and a shorter grace period")
    {
        read.m_region_of_zone["b"] = "south";
        read.m_seeds.push_back({"10.0.0.1", 7});
        read.m_stop_grace = std::chrono::seconds(3);
        const settings_reload reload = merge_reloaded_settings(running, read);

        THEN("the changes are applied")
        {
            REQUIRE(reload.m_followed ==
                    std::vector<std::string_view>{"zones", "seeds", "grace"});
            REQUIRE(reload.m_settings.m_region_of_zone.at("b") == "south");
            REQUIRE(reload.m_settings.m_seeds.size() == 1);
            REQUIRE(reload.m_settings.m_stop_grace == std::chrono::seconds(3));
        }
    }
    GIVEN("another name and address of the process")
    {
        read.m_name = "entry-2";
        read.m_caller_listen = {"10.0.0.2", 8};
        const settings_reload reload = merge_reloaded_settings(running, read);

        THEN("the process keeps its old ones until it is restarted")
        {
            REQUIRE(reload.m_kept_until_restart ==
                    std::vector<std::string_view>{"name", "caller address"});
            REQUIRE(reload.m_settings.m_name == "entry-1");
            REQUIRE(reload.m_followed.empty());
        }
    }
}
