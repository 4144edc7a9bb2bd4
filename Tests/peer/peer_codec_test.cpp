#include <string>

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
