#include <csignal>
#include <string>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <support/scripted_leader.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

// The daemon's fleet is large enough for cells; the leader's is the only
// address at which anybody answers.
void add_cell(const site& s, const scripted_leader& leader)
{
    s.add_member("leader", leader.local());
    for (std::size_t i = 2; i < min_processes_for_cells; ++i)
        s.add_member("absent-" + std::to_string(i), {"127.0.0.1", 1});
}

// What a leader says that knows all that is in the store, up to a revision.
leader_script script_at(site& s, std::uint64_t revision)
{
    leader_script script;
    peer_vote_request& claim = script.m_claim;
    claim.m_store_is_available = true;
    claim.m_store_revision = revision;
    claim.m_content_revision = revision;
    claim.m_endpoints_revision = revision;
    claim.m_evacuations_revision = revision;
    claim.m_config_version = s.config()["version"].get<std::uint64_t>();
    peer_settings& settings = script.m_settings;
    settings.m_version = revision;
    settings.m_content_revision = revision;
    settings.m_known = {revision, revision, revision};
    settings.m_objects = {{"config", revision, s.config().dump()}};
    return script;
}

leader_script current_script(site& s)
{
    return script_at(s, s.store_revision());
}

void add_route(site& s, const std::string& database)
{
    json change = s.config();
    json route = change["routes"][0];
    route["name"] = "route of " + database;
    route["host"] = database;
    change["routes"].push_back(route);
    s.configure({{"routes", change["routes"]}});
}

std::string stop_and_read_log(site& s)
{
    s.daemon(0).send_signal(SIGTERM);
    return s.daemon(0).read_rest();
}

bool knows_route(const site& s, const std::string& database)
{
    return line_caller(s.callers_of(0)).start(database, "ward-key") == "READY";
}

}

SCENARIO("A process serves what its cell leader relays")
{
    site s(1);
    scripted_leader leader(s.peers_of(0));
    add_cell(s, leader);
    leader.follow(current_script(s));
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "relayed_watches") == 3;
        }));
    REQUIRE_FALSE(knows_route(s, "attic"));

    GIVEN("a route that is added")
    {
        add_route(s, "attic");

        WHEN("the leader has it")
        {
            leader.follow(current_script(s));

            THEN("the route is served")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_route(s, "attic");
                    }));
            }
        }
        WHEN("the process's connection to the leader has gone silent")
        {
            leader.silence_connections();
            leader.follow(current_script(s));

            THEN("the route is served all the same")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_route(s, "attic");
                    }));
            }
        }
        WHEN("the leader relays a later change of other objects before it")
        {
            s.add_member("late", {"127.0.0.1", 1});
            const std::uint64_t revision = s.store_revision();
            leader_script without_route = script_at(s, revision);
            without_route.m_claim.m_config_version = 0;
            without_route.m_settings.m_objects.clear();
            without_route.m_settings.m_known.m_configuration = 1;
            leader.follow(without_route);
            REQUIRE(comes_true(
                [&]
                {
                    return leader.fetches() > 0;
                }));
            leader.follow(script_at(s, revision));

            THEN("the route is served once the leader has it")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_route(s, "attic");
                    }));
            }
        }
    }

    GIVEN("a zone that is evacuated, as the leader relays")
    {
        s.add_member("late", {"127.0.0.1", 1});
        leader_script evacuated = current_script(s);
        evacuated.m_settings.m_objects.push_back(
            {"evacuation/zone-1", 0, "{}"});
        leader.follow(evacuated);
        REQUIRE(comes_true(
            [&]
            {
                return leader.fetches() > 0;
            }));

        WHEN("a leader has newer endpoints and older evacuated zones")
        {
            s.add_member("later", {"127.0.0.1", 1});
            leader_script half = current_script(s);
            half.m_claim.m_evacuations_revision = 1;
            half.m_settings.m_known.m_evacuations = 1;
            leader.follow(half);
            REQUIRE(comes_true(
                [&]
                {
                    return leader.fetches() > 0;
                }));

            THEN("the zone stays evacuated")
            {
                const std::string log = stop_and_read_log(s);
                CHECK(log.find(R"("state":"evacuated")") != std::string::npos);
                CHECK(log.find(R"("state":"in")") == std::string::npos);
            }
        }
    }
}
