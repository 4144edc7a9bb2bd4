#include <algorithm>
#include <memory>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <peer/peer_codec.hpp>
#include <platform/store_value_codec.hpp>
#include <session/site_task_state.hpp>

using namespace bluebellspoke;
using nlohmann::json;

namespace
{

object_store silent_store(loop&)
{
    return {[](stored_kind, bool, const store_callback&) {},
            [](stored_kind, std::uint64_t, duration, const store_callback&) {},
            [](stored_kind, const stored_object&, const write_callback&) {},
            [](stored_kind, const stored_object&, const write_callback&) {}};
}

json route(const std::string& name)
{
    return {{"name", "route of " + name}, {"host", name},
            {"service", "ledger"},        {"type", "primary"},
            {"timeout-ms", 800},          {"target-latency-ms", 500}};
}

std::string configuration(std::uint64_t version, std::size_t routes)
{
    json c{{"version", version},
           {"services", json::array({{{"name", "ledger"}}})}};
    for (std::size_t i = 0; i < routes; ++i)
        c["routes"].push_back(route("db" + std::to_string(i)));
    return c.dump();
}

std::string endpoint(std::size_t number, std::string_view state)
{
    return json{{"service", "ledger"},
                {"address", "10.0.0." + std::to_string(number % 250) + ":5432"},
                {"zone", "zone-1"},
                {"state", state},
                {"db-role", "replica"}}
        .dump();
}

// The site task's state in one process, as if the store had answered it.
struct process
{
    site_charts m_charts = load_site_charts(TEST_CHARTS);
    site_mailboxes m_boxes;
    site_task_state m_state{
        {}, store_value_codec(), m_charts, silent_store, m_boxes};

    process()
    {
        constexpr std::array kinds{
            stored_kind::configuration, stored_kind::endpoints,
            stored_kind::evacuations, stored_kind::members};
        for (std::size_t i = 0; i < kinds.size(); ++i)
            m_state.m_watches[i].m_kind = kinds[i];
    }

    void change(stored_kind kind, std::uint64_t revision,
                const std::vector<stored_change>& changes, bool complete)
    {
        store_watch& w = watch_of(m_state, kind);
        w.m_revision = revision;
        w.m_changed_revision = revision;
        apply_objects(m_state, kind, changes, complete);
    }
    void configure(std::uint64_t revision, std::size_t routes)
    {
        change(stored_kind::configuration, revision,
               {{{"main", revision, configuration(revision, routes)}, false}},
               true);
    }
    peer_settings_request request(peer_settings_part part) const
    {
        peer_known_revisions known{
            watch_of(m_state, stored_kind::configuration).m_revision,
            watch_of(m_state, stored_kind::endpoints).m_revision,
            watch_of(m_state, stored_kind::evacuations).m_revision};
        if (part == peer_settings_part::members &&
            !m_state.m_wants_full_members)
            known.m_members =
                watch_of(m_state, stored_kind::members).m_revision;
        return {m_state.m_config_object.m_revision, part, known,
                m_state.m_members.empty()};
    }
};

stored_change member(std::size_t number, std::uint64_t revision)
{
    const std::string name = "vm" + std::to_string(number);
    return {
        {name, revision,
         store_value_codec().m_write_member(
             {name, {"10.1.0.1", 8462}, "zone-" + std::to_string(number % 6)})},
        false};
}

// A fleet of this size: its endpoints and routes grow with it.
void fill(process& p, std::size_t members)
{
    std::vector<stored_change> endpoints;
    for (std::size_t i = 0; i < members; ++i)
        endpoints.push_back(
            {{"e" + std::to_string(i), 10, endpoint(i, "ready")}, false});
    p.change(stored_kind::endpoints, 10, endpoints, true);
    p.change(stored_kind::evacuations, 10, {}, true);
    std::vector<stored_change> registered;
    for (std::size_t i = 0; i < members; ++i)
        registered.push_back(member(i, 10));
    p.change(stored_kind::members, 10, registered, true);
    p.configure(10, members * 4);
}

// What the leader sends for a request; the follower applies it.
std::size_t fetch(process& leader, process& follower, peer_settings_part part)
{
    const std::string bytes = encode_peer_message(
        make_peer_settings(leader.m_state, follower.request(part)));
    const peer_message answer = decode_peer_message(bytes);
    adopt_from_peer(follower.m_state, std::get<peer_settings>(answer));
    return bytes.size();
}

// The bytes that a node may spend on control in a second.
constexpr std::size_t control_bytes_per_second = 3'000;

}

SCENARIO("The cost of a relayed change doesn't grow with the fleet")
{
    const auto members =
        GENERATE(std::size_t{30}, std::size_t{100}, std::size_t{300});
    process leader;
    process follower;
    fill(leader, members);
    fill(follower, members);
    const site_task_state& f = follower.m_state;

    GIVEN("an endpoint that drains and one that is gone")
    {
        leader.change(stored_kind::endpoints, 20,
                      {{{"e1", 20, endpoint(1, "draining")}, false},
                       {{"e2", 20, {}}, true}},
                      false);

        THEN("a follower gets these two")
        {
            const std::size_t bytes =
                fetch(leader, follower, peer_settings_part::lists);
            CHECK(bytes < control_bytes_per_second);
            CHECK(f.m_list.m_entries.at("e1").m_endpoint.m_draining);
            CHECK_FALSE(f.m_endpoint_objects.contains("e2"));
            CHECK(f.m_endpoint_objects.size() == members - 1);
        }
        THEN("a follower that has them already gets nothing")
        {
            fetch(leader, follower, peer_settings_part::lists);
            CHECK(fetch(leader, follower, peer_settings_part::lists) < 200);
        }
        THEN("a process that has just started gets everything")
        {
            process started;
            fetch(leader, started, peer_settings_part::all);
            CHECK(started.m_state.m_endpoint_objects.size() == members - 1);
            CHECK(started.m_state.m_members.size() == members);
            CHECK(started.m_state.m_config->m_routes.size() == members * 4);
        }
        THEN("so does one of an earlier build, which doesn't say what it has")
        {
            const peer_settings all = make_peer_settings(
                leader.m_state, {10, peer_settings_part::all, {}, true});
            CHECK(all.m_endpoints.m_since == 0);
            CHECK(all.m_vms.size() == members);
        }
    }
    GIVEN("a member that registers and one that is removed")
    {
        leader.change(stored_kind::members, 20,
                      {member(members, 20), {{"vm2", 10, {}}, true}}, false);

        THEN("a follower gets these two")
        {
            const std::size_t bytes =
                fetch(leader, follower, peer_settings_part::members);
            CHECK(bytes < 600);
            CHECK(f.m_members.size() == members);
            CHECK_FALSE(f.m_members.contains("vm2"));
            CHECK(f.m_members.at("vm" + std::to_string(members)) ==
                  leader.m_state.m_members.at("vm" + std::to_string(members)));
        }
        THEN("a follower that has them already gets nothing")
        {
            fetch(leader, follower, peer_settings_part::members);
            CHECK(fetch(leader, follower, peer_settings_part::members) < 200);
            CHECK(f.m_members.size() == members);
        }
        WHEN("the leader reads the list again")
        {
            std::vector<stored_change> list;
            for (const auto& [name, o] : leader.m_state.m_member_objects)
                list.push_back({o, false});
            CHECK(lists_same_members(leader.m_state, list));
            CHECK_FALSE(lists_same_members(f, list));
            list.pop_back();
            leader.change(stored_kind::members, 30, list, true);

            THEN("a follower still gets only what changed")
            {
                CHECK(fetch(leader, follower, peer_settings_part::members) <
                      600);
                CHECK(f.m_members == leader.m_state.m_members);
            }
        }
        WHEN("a follower gets changes of a list that it doesn't have")
        {
            peer_settings later = make_peer_settings(
                leader.m_state, follower.request(peer_settings_part::members));
            later.m_members.m_since = 15;
            adopt_from_peer(follower.m_state, later);

            THEN("it keeps its own, and asks for the complete list")
            {
                CHECK(f.m_members.contains("vm2"));
                CHECK(f.m_wants_full_members);
                fetch(leader, follower, peer_settings_part::members);
                CHECK(f.m_members == leader.m_state.m_members);
                CHECK_FALSE(f.m_wants_full_members);
            }
        }
        THEN("a process of an earlier build, which doesn't name them, isn't "
             "sent them")
        {
            const peer_settings all = make_peer_settings(
                leader.m_state, {10, peer_settings_part::all, {}, false});
            CHECK(all.m_known.m_members == 0);
            CHECK(std::ranges::none_of(all.m_objects,
                                       [](const peer_object& o)
                                       {
                                           return o.m_name.starts_with(
                                               "member/");
                                       }));
        }
    }
    GIVEN("a route that is added")
    {
        leader.configure(30, members * 4 + 1);

        THEN("a follower gets that route")
        {
            const std::size_t bytes =
                fetch(leader, follower, peer_settings_part::configuration);
            CHECK(bytes < control_bytes_per_second);
            CHECK(f.m_config->m_routes.size() == members * 4 + 1);
            CHECK(f.m_config_object.m_value ==
                  leader.m_state.m_config_object.m_value);
        }
        WHEN("the follower's own configuration reads differently")
        {
            follower.m_state.m_config_object.m_value += " ";
            fetch(leader, follower, peer_settings_part::configuration);

            THEN("it isn't changed, and the next request is for the whole")
            {
                CHECK(f.m_config->m_version == 10);
                CHECK(f.m_wants_full_config);
                follower.m_state.m_config_object.m_revision = 0;
                fetch(leader, follower, peer_settings_part::configuration);
                CHECK(f.m_config->m_version == 30);
                CHECK_FALSE(f.m_wants_full_config);
            }
        }
    }
}
