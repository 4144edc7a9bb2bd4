#include <csignal>
#include <optional>
#include <string>
#include <variant>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <peer/peer_call.hpp>
#include <support/scripted_leader.hpp>
#include <support/site.hpp>
#include <task/loop.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

// With the daemons' own entries the fleet is large enough for cells.
void fill_fleet(const site& s, const std::string& zone)
{
    for (std::size_t i = 0; i < min_processes_for_cells; ++i)
        s.add_member("absent-" + std::to_string(i), {"127.0.0.1", 1}, zone);
}

void withdraw_key_of_depot(site& s)
{
    json change = s.config();
    change["tenants"][1]["api-keys"] = json::array();
    s.configure({{"tenants", change["tenants"]}});
}

std::string start_session(const site& s, std::size_t daemon,
                          const std::string& key)
{
    return line_caller(s.callers_of(daemon)).start("intake", key);
}

void stop_daemon(site& s, std::size_t number)
{
    s.daemon(number).send_signal(SIGKILL);
    s.daemon(number).wait();
}

std::optional<peer_message> ask_peer(const address& at,
                                     const peer_message& message)
{
    loop l = make_loop();
    http2_client client(l, at);
    std::optional<peer_message> answer;
    call_peer(client, message,
              [&](std::optional<peer_message>& a)
              {
                  answer = a;
                  stop(l);
              });
    run(l);
    return answer;
}

// A digest of a process with this much demand.
peer_site_digest digest_from_zone_2()
{
    peer_site_digest d;
    d.m_name = "entry-9";
    d.m_address = "127.0.0.1:1";
    d.m_zone = "zone-2";
    d.m_incarnation = 77;
    d.m_weights_version = 5;
    d.m_weights = {{"ward", 1000}};
    return d;
}

bool leads_cell(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "cell_kept") == 1;
}

}

SCENARIO("A process of a large fleet starts while the store turns it away")
{
    GIVEN("a key that was withdrawn, and another process that isn't a leader")
    {
        site s(2);
        fill_fleet(s, "zone-1");
        scripted_leader leader(s.peers_of(0));
        s.add_member("leader", leader.local());
        leader.follow({});
        withdraw_key_of_depot(s);
        REQUIRE(comes_true(
            [&]
            {
                return start_session(s, 0, "depot-key") == "UNAUTH";
            }));

        WHEN("the process ends and starts again, and only knows the other one")
        {
            stop_daemon(s, 1);
            s.set_store(true);
            s.set_seed(1, s.peers_of(0));
            s.start_daemon(1);

            THEN("it serves by what the other one knows")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return s.is_ready(1);
                    }));
                CHECK(start_session(s, 1, "ward-key") == "READY");
                CHECK(start_session(s, 1, "depot-key") == "UNAUTH");
            }
        }
    }
    GIVEN("a process whose list of members has an odd entry")
    {
        site s(1);
        scripted_leader other(s.peers_of(0));
        leader_script script;
        script.m_claim.m_config_version = s.config()["version"];
        script.m_settings.m_objects = {{"config", 1, s.config().dump()}};
        script.m_settings.m_vms = {{"absent", "nowhere", "zone-1", false},
                                   {"other", "127.0.0.1:1", "zone-1", false}};

        WHEN("the starting process hears of the fleet from it")
        {
            stop_daemon(s, 0);
            s.set_store(true);
            s.set_seed(0, other.local());
            s.start_daemon(0);
            other.follow(script);

            THEN("it serves")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return s.is_ready(0);
                    }));
                CHECK(s.daemon(0).running());
            }
        }
    }
}

SCENARIO("A process that doesn't know the fleet yet asks a cell leader")
{
    site s(site_size{.m_daemons = 2, .m_zones = 2});
    fill_fleet(s, "zone-3");
    REQUIRE(comes_true(
        [&]
        {
            return leads_cell(s, 0) && leads_cell(s, 1);
        }));
    const auto ask = [&](const peer_site_digest& d)
    {
        const auto answer = ask_peer(s.peers_of(0), d);
        REQUIRE(answer);
        REQUIRE(std::holds_alternative<peer_site_digest>(*answer));
        return std::get<peer_site_digest>(*answer);
    };

    THEN("its weights aren't taken for those of its zone")
    {
        const peer_site_digest answer = ask(digest_from_zone_2());
        CHECK(answer.m_seen_incarnation == 0);
        CHECK(answer.m_seen_weights_version == 0);
        CHECK(answer.m_config_version == s.config()["version"]);
    }
    THEN("those of a leader are")
    {
        peer_site_digest leader = digest_from_zone_2();
        leader.m_leads_cell = true;
        CHECK(ask(leader).m_seen_weights_version == 5);
    }
}
