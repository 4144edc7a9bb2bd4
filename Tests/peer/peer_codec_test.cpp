#include <chrono>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <peer/peer_codec.hpp>

using namespace bluebellspoke;

namespace
{

template <class Message>
Message round_trip(const Message& m)
{
    return std::get<Message>(decode_peer_message(encode_peer_message(m)));
}

}

SCENARIO("Messages between the processes of a cell survive a round trip")
{
    GIVEN("a vote request")
    {
        peer_vote_request m{
            "vm-1", "10.1.0.26:8462", 7, true, false, true, 90, 12, 88, 86, 87};
        const peer_vote_request read = round_trip(m);

        THEN("the sender and its knowledge of the store are kept")
        {
            CHECK(read.m_name == "vm-1");
            CHECK(read.m_address == "10.1.0.26:8462");
            CHECK(read.m_incarnation == 7);
            CHECK(read.m_leads_cell);
            CHECK_FALSE(read.m_shutting_down);
            CHECK(read.m_store_is_available);
            CHECK(read.m_store_revision == 90);
            CHECK(read.m_config_version == 12);
            CHECK(read.m_content_revision == 88);
            CHECK(read.m_endpoints_revision == 86);
            CHECK(read.m_evacuations_revision == 87);
        }
    }
    GIVEN("a vote request of a leader that relays the members")
    {
        peer_vote_request m;
        m.m_name = "vm-1";
        m.m_members_revision = 85;

        THEN("their revision is kept, with true time and without it")
        {
            CHECK(round_trip(m).m_members_revision == 85);
            CHECK(round_trip(m).m_true_ms == 0);
            m.m_true_ms = 1'800'000'000'000;
            CHECK(round_trip(m).m_members_revision == 85);
            CHECK(round_trip(m).m_true_ms == 1'800'000'000'000);
        }
        THEN("the receiver's confirmed incarnation is kept behind it")
        {
            m.m_confirmed_incarnation = 77;
            CHECK(round_trip(m).m_confirmed_incarnation == 77);
            CHECK(round_trip(m).m_members_revision == 85);
        }
        THEN("an earlier build reads the time where it expects it")
        {
            const nlohmann::json sent =
                nlohmann::json::from_cbor(encode_peer_message(m));
            CHECK(sent.at(1).at(11) == 0);
        }
    }
    GIVEN("a vote request of a build that sends one revision for both lists")
    {
        const nlohmann::json fields{
            "vm-1", "10.1.0.26:8462", 7, true, false, true, 90, 12, 88};
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({"vote_wanted", fields}),
                                bytes);
        const auto read =
            std::get<peer_vote_request>(decode_peer_message(bytes));

        THEN("it stands for each of them")
        {
            CHECK(read.m_config_version == 12);
            CHECK(read.m_endpoints_revision == 88);
            CHECK(read.m_evacuations_revision == 88);
            CHECK(read.m_members_revision == 0);
        }
    }
    GIVEN("what a process says of its start")
    {
        const peer_restart read =
            round_trip(peer_restart{"vm-1", 7, true, false});

        THEN("all of it is kept")
        {
            CHECK(read.m_name == "vm-1");
            CHECK(read.m_incarnation == 7);
            CHECK(read.m_is_unused);
            CHECK_FALSE(read.m_was_member);
        }
    }
    GIVEN("the settings that a process knows")
    {
        peer_settings m;
        m.m_version = 80;
        m.m_objects = {{"config", 70, "{}"}};
        m.m_known = {80, 81, 82};
        const peer_settings read = round_trip(m);

        THEN("each kind has a revision of its own")
        {
            CHECK(read.m_known.m_configuration == 80);
            CHECK(read.m_known.m_endpoints == 81);
            CHECK(read.m_known.m_evacuations == 82);
            CHECK(read.m_known.m_members == 0);
        }
        THEN("changes of the members belong to the list that they change")
        {
            m.m_known.m_members = 83;
            m.m_members = {79, {"vm-2"}};
            CHECK(round_trip(m).m_known.m_members == 83);
            CHECK(round_trip(m).m_members.m_since == 79);
            CHECK(round_trip(m).m_members.m_removed ==
                  std::vector<std::string>{"vm-2"});
        }
    }
    GIVEN("a request for the members")
    {
        peer_settings_request m;
        m.m_part = peer_settings_part::members;
        m.m_known = {80, 81, 82, 83};

        THEN("it names the list that the sender has")
        {
            CHECK(round_trip(m).m_part == peer_settings_part::members);
            CHECK(round_trip(m).m_known->m_members == 83);
        }
    }
    GIVEN("a digest")
    {
        peer_site_digest m;
        m.m_name = "vm-1";
        m.m_weights = {{"ward", 30}};
        m.m_leads_cell = true;

        THEN("it says whether its weights are those of a cell")
        {
            CHECK(round_trip(m).m_leads_cell);
            m.m_leads_cell = false;
            CHECK_FALSE(round_trip(m).m_leads_cell);
        }
        THEN("that of an earlier build, which doesn't say it, counts as a "
             "leader's")
        {
            const nlohmann::json fields{"vm-1",
                                        "10.1.0.26:8462",
                                        "seoul-a",
                                        true,
                                        90,
                                        12,
                                        7,
                                        3,
                                        8,
                                        2,
                                        nlohmann::json::array(),
                                        false};
            std::string bytes;
            nlohmann::json::to_cbor(nlohmann::json::array({"site", fields}),
                                    bytes);
            const auto read =
                std::get<peer_site_digest>(decode_peer_message(bytes));
            CHECK(read.m_leads_cell);
            CHECK_FALSE(read.m_shutting_down);
        }
    }
    GIVEN("a vote")
    {
        const peer_vote read = round_trip(peer_vote{"vm-2", true, false, 5, 3});
        CHECK(read.m_name == "vm-2");
        CHECK(read.m_granted);
        CHECK_FALSE(read.m_store_is_available);
        CHECK(read.m_store_revision == 5);
        CHECK(read.m_config_version == 3);
    }
    GIVEN("a referral without a known leader")
    {
        CHECK(round_trip(peer_referral()).m_leader_address.empty());
    }
    GIVEN("a token request and a token grant")
    {
        const peer_token_request request =
            round_trip(peer_token_request{{{"ward", 3, 0}, {"depot", 1, 0}}});
        REQUIRE(request.m_tokens.size() == 2);
        CHECK(request.m_tokens[0].m_workspace == "ward");
        CHECK(request.m_tokens[0].m_count == 3);
        const peer_token_grant grant =
            round_trip(peer_token_grant{true, {{"ward", 2, 140}}});
        CHECK(grant.m_from_leader);
        REQUIRE(grant.m_tokens.size() == 1);
        CHECK(grant.m_tokens[0].m_retry_after_ms == 140);
    }
    GIVEN("a truncated message")
    {
        const std::string whole = encode_peer_message(peer_vote{"vm-2"});
        CHECK_THROWS_AS(decode_peer_message(whole.substr(0, whole.size() / 2)),
                        peer_protocol_error);
    }
}

SCENARIO("What a cell leader knows of groups survives a round trip")
{
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    GIVEN("a group with a lease, a position and an endpoint that replied")
    {
        relayed_group g;
        g.m_service = "ledger-db";
        g.m_term = 7;
        g.m_primary = "i-1";
        g.m_primary_seen_ago = milliseconds(20);
        g.m_lease_proven_ago = microseconds(40'001);
        g.m_position = log_position{7, 1207};
        g.m_position_asked_ago = milliseconds(5);
        g.m_endpoints["i-2"] = {milliseconds(900), 44};
        g.m_endpoints["i-3"] = {milliseconds(10), 9, 3, microseconds(250'001)};
        const peer_groups read = round_trip(peer_groups{true, {g}});

        THEN("everything is kept, with spans rounded up")
        {
            REQUIRE(read.m_from_leader);
            REQUIRE(read.m_groups.size() == 1);
            const relayed_group& r = read.m_groups.front();
            CHECK(r.m_service == "ledger-db");
            CHECK(r.m_term == 7);
            CHECK(r.m_primary == "i-1");
            CHECK(r.m_primary_seen_ago == milliseconds(20));
            CHECK(r.m_lease_proven_ago == duration(milliseconds(41)));
            CHECK(r.m_position == log_position{7, 1207});
            CHECK(r.m_position_asked_ago == milliseconds(5));
            REQUIRE(r.m_endpoints.contains("i-2"));
            CHECK(r.m_endpoints.at("i-2").m_ago == milliseconds(900));
            CHECK(r.m_endpoints.at("i-2").m_connections == 44);
            CHECK(r.m_endpoints.at("i-3").m_connections == 9);
        }
        THEN("busy slots keep their own age, and unknown ones stay unknown")
        {
            const relayed_group& r = read.m_groups.front();
            CHECK_FALSE(r.m_endpoints.at("i-2").m_busy);
            CHECK(r.m_endpoints.at("i-3").m_busy == 3U);
            CHECK(r.m_endpoints.at("i-3").m_busy_ago == milliseconds(251));
        }
    }
    GIVEN("requests of the own cell and of another one's leader")
    {
        THEN("they are told apart, so that leaders don't keep each other "
             "asking for a group that no statement uses")
        {
            const auto own = round_trip(peer_group_request{{"a", "b"}, false});
            CHECK(own.m_services == std::vector<std::string>{"a", "b"});
            CHECK_FALSE(own.m_from_other_cell);
            CHECK(
                round_trip(peer_group_request{{"a"}, true}).m_from_other_cell);
        }
    }
    GIVEN("a group of which nothing is known")
    {
        relayed_group g;
        g.m_service = "ledger-db";
        const peer_groups read = round_trip(peer_groups{true, {g}});

        THEN("it has no lease and no position")
        {
            CHECK_FALSE(read.m_groups.front().m_lease_proven_ago);
            CHECK_FALSE(read.m_groups.front().m_position);
        }
    }
    GIVEN("an odd message from another process")
    {
        const auto decode = [](const nlohmann::json& groups)
        {
            std::string bytes;
            nlohmann::json::to_cbor(
                nlohmann::json::array(
                    {"groups", nlohmann::json::array({true, groups})}),
                bytes);
            return std::get<peer_groups>(decode_peer_message(bytes));
        };

        THEN("fields that are missing or of another type are a typed error")
        {
            using nlohmann::json;
            CHECK_THROWS_AS(decode(json::array({json::array({"ledger-db"})})),
                            peer_protocol_error);
            CHECK_THROWS_AS(decode(json::array({json::array(
                                {"ledger-db", "seven", "i-1", 20, nullptr,
                                 nullptr, json::array()})})),
                            peer_protocol_error);
            CHECK_THROWS_AS(decode(json{{"ledger-db", 7}}),
                            peer_protocol_error);
        }
        THEN("a negative span is taken for a long one, never for a recent one")
        {
            using nlohmann::json;
            const peer_groups read = decode(json::array({json::array(
                {"ledger-db", 7, "i-1", -20, -40, nullptr, json::array()})}));
            CHECK(read.m_groups.front().m_primary_seen_ago ==
                  std::chrono::hours(1));
            CHECK(read.m_groups.front().m_lease_proven_ago ==
                  duration(std::chrono::hours(1)));
        }
    }
    GIVEN("a message that is nested more deeply than any stack is")
    {
        // Each byte begins an array of one element.
        constexpr std::size_t levels = 1'000'000;
        const std::string nested(levels, '\x81');

        THEN("it is a typed error")
        {
            CHECK_THROWS_AS(decode_peer_message(nested), peer_protocol_error);
            CHECK_THROWS_AS(decode_peer_message(nested + '\xf6'),
                            peer_protocol_error);
        }
    }
    GIVEN("every message cut off after some bytes")
    {
        relayed_group g;
        g.m_service = "ledger-db";
        g.m_position = log_position{7, 1207};
        const std::string whole =
            encode_peer_message(peer_groups{true, {g, g}});

        THEN("none of the beginnings is accepted")
        {
            for (std::size_t length = 0; length < whole.size(); ++length)
                CHECK_THROWS_AS(
                    decode_peer_message(std::string_view(whole.data(), length)),
                    peer_protocol_error);
        }
    }
}

SCENARIO("Usage travels between processes of this build and earlier ones")
{
    GIVEN("the windows of a cell")
    {
        const peer_usage m{
            {"zone-1",
             7,
             3,
             11,
             {{10, {{{"ward", 5}, {"depot", 70'000}}, 2}}, {11, {}}}}};
        const usage_summary read = round_trip(m).m_summary;

        THEN("counts and missing processes are kept")
        {
            CHECK(read.m_source == "zone-1");
            CHECK(read.m_incarnation == 7);
            CHECK(read.m_version == 3);
            CHECK(read.m_final_before == 11);
            CHECK(read.m_windows == m.m_summary.m_windows);
        }
    }
    GIVEN("a question for them")
    {
        const peer_usage_request read =
            round_trip(peer_usage_request{true, 7, 11});

        THEN("it names what is known already")
        {
            CHECK(read.m_of_cell);
            CHECK(read.m_incarnation == 7);
            CHECK(read.m_from == 11);
        }
    }
    GIVEN("messages that carry a time")
    {
        peer_vote vote{"vm-1", true, true, 90, 12};
        peer_vote_request request;
        peer_site_digest digest;
        const std::string without[] = {encode_peer_message(vote),
                                       encode_peer_message(request),
                                       encode_peer_message(digest)};
        vote.m_wall_ms = request.m_true_ms = digest.m_wall_ms =
            1'767'225'600'000;

        THEN("it is kept, and is sent only where there is one")
        {
            CHECK(round_trip(vote).m_wall_ms == vote.m_wall_ms);
            CHECK(round_trip(request).m_true_ms == vote.m_wall_ms);
            CHECK(round_trip(digest).m_wall_ms == vote.m_wall_ms);
            constexpr std::size_t time_size = 9;
            CHECK(encode_peer_message(vote).size() ==
                  without[0].size() + time_size);
            CHECK(encode_peer_message(request).size() ==
                  without[1].size() + time_size);
            CHECK(encode_peer_message(digest).size() ==
                  without[2].size() + time_size);
            CHECK(std::get<peer_vote>(decode_peer_message(without[0]))
                      .m_wall_ms == 0);
        }
    }
}
