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
        return {m_state.m_config_object.m_revision, part,
                peer_known_revisions{
                    watch_of(m_state, stored_kind::configuration).m_revision,
                    watch_of(m_state, stored_kind::endpoints).m_revision,
                    watch_of(m_state, stored_kind::evacuations).m_revision},
                m_state.m_members.empty()};
    }
};

// A fleet of this size: its endpoints and routes grow with it.
void fill(process& p, std::size_t members)
{
    std::vector<stored_change> endpoints;
    for (std::size_t i = 0; i < members; ++i)
        endpoints.push_back(
            {{"e" + std::to_string(i), 10, endpoint(i, "ready")}, false});
    p.change(stored_kind::endpoints, 10, endpoints, true);
    p.change(stored_kind::evacuations, 10, {}, true);
    for (std::size_t i = 0; i < members; ++i)
    {
        const std::string name = "vm" + std::to_string(i);
        p.m_state.m_members[name] = {
            name, {"10.1.0.1", 8462}, "zone-" + std::to_string(i % 6)};
    }
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
