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

double metric_of(const site& s, const std::string& name)
{
    const std::string text =
        call_http(s.metrics_of(0), "GET", "/metrics").m_body;
    const std::string line = "\nbluebellspoke_" + name + " ";
    const std::size_t at = text.find(line);
    return at == std::string::npos ? -1
                                   : std::stod(text.substr(at + line.size()));
}

// The daemon's fleet is large enough for cells; the leader's is the only
// address at which anybody answers.
void add_cell(const site& s, const scripted_leader& leader)
{
    s.add_member("leader", leader.local());
    for (std::size_t i = 2; i < min_processes_for_cells; ++i)
        s.add_member("absent-" + std::to_string(i), {"127.0.0.1", 1});
}

// What a leader says that knows all that is in the store.
leader_script current_script(site& s)
{
    leader_script script;
    peer_vote_request& claim = script.m_claim;
    claim.m_store_is_available = true;
    claim.m_store_revision = s.store_revision();
    claim.m_content_revision = claim.m_store_revision;
    claim.m_config_version = s.config()["version"].get<std::uint64_t>();
    peer_settings& settings = script.m_settings;
    settings.m_version = claim.m_store_revision;
    settings.m_content_revision = claim.m_content_revision;
    settings.m_objects = {
        {"config", claim.m_store_revision, s.config().dump()}};
    return script;
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
            return metric_of(s, "relayed_watches") == 3;
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
    }
}
