#include <chrono>
#include <csignal>
#include <string>
#include <thread>

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

constexpr const char* member_kind = "bluebellspoke-members";

// The same for a leader that relays the members, too.
leader_script script_with_members(site& s)
{
    leader_script script = current_script(s);
    const std::uint64_t revision = script.m_claim.m_store_revision;
    script.m_claim.m_members_revision = revision;
    script.m_settings.m_known.m_members = revision;
    for (const json& entry : s.entries(member_kind))
        script.m_settings.m_objects.push_back(
            {"member/" + entry["meta"]["name"].get<std::string>(),
             entry["meta"]["revision"].get<std::uint64_t>(),
             entry["spec"].dump()});
    return script;
}

bool knows_members(const site& s, std::size_t count)
{
    return s.metric(0, "fleet_members") == count;
}

bool is_registered(const site& s, const std::string& name)
{
    for (const json& entry : s.entries(member_kind))
        if (entry["meta"]["name"] == name)
            return true;
    return false;
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

SCENARIO("A process follows the members that its cell leader relays")
{
    using namespace std::chrono_literals;
    site s(1);
    scripted_leader leader(s.peers_of(0));
    add_cell(s, leader);
    REQUIRE(comes_true(
        [&]
        {
            return knows_members(s, min_processes_for_cells);
        }));
    leader.follow(script_with_members(s));
    // The watch of the members goes on until it ends, by a change or by its
    // time.
    s.add_member("late", {"127.0.0.1", 1});
    leader.follow(script_with_members(s));
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "relayed_watches") == 4;
        }));
    constexpr std::size_t members = min_processes_for_cells + 1;
    REQUIRE(knows_members(s, members));

    GIVEN("a member that registers")
    {
        s.add_member("later", {"127.0.0.1", 1});

        WHEN("the leader hasn't noticed")
        {
            std::this_thread::sleep_for(2s);

            THEN("the process hasn't either: it doesn't watch the store")
            {
                CHECK(knows_members(s, members));
            }
        }
        WHEN("the leader has it")
        {
            leader.follow(script_with_members(s));

            THEN("the process has it")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_members(s, members + 1);
                    }));
            }
        }
        WHEN("the leader falls silent")
        {
            leader.fall_silent();

            THEN("the process reads the members from the store")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_members(s, members + 1);
                    }));
            }
        }
        WHEN("the leader no longer reaches the store")
        {
            leader_script cut_off = script_with_members(s);
            cut_off.m_claim.m_store_is_available = false;
            leader.follow(cut_off);

            THEN("the process reads the members from the store")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_members(s, members + 1);
                    }));
            }
        }
        WHEN("the leader is replaced by one of an earlier build")
        {
            leader.follow(current_script(s));

            THEN("the process watches the members itself")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return s.metric(0, "relayed_watches") == 3 &&
                               knows_members(s, members + 1);
                    }));
            }
        }
        WHEN("the leader has it, but its list doesn't arrive")
        {
            leader_script mute = script_with_members(s);
            mute.m_settings = {};
            leader.follow(mute);

            THEN("the process reads the members from the store")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return knows_members(s, members + 1);
                    }));
            }
        }
    }
    GIVEN("a member that is removed")
    {
        s.remove_entry(member_kind, "late");
        leader.follow(script_with_members(s));

        THEN("the process forgets it")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return knows_members(s, members - 1);
                }));
        }
    }
    GIVEN("the process itself is missing from the store's list")
    {
        s.remove_entry(member_kind, "entry-0");
        REQUIRE_FALSE(is_registered(s, "entry-0"));

        WHEN("the leader relays the list without it")
        {
            leader.follow(script_with_members(s));

            THEN("it registers again")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return is_registered(s, "entry-0");
                    }));
            }
        }
        WHEN("the leader sends it nothing more, as it isn't a member")
        {
            leader.fall_silent();

            THEN("it registers again")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return is_registered(s, "entry-0");
                    }));
            }
        }
    }
}
