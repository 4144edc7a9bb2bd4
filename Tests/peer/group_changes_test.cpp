#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <peer/peer_codec.hpp>

using namespace bluebellspoke;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

template <class Message>
Message round_trip(const Message& m)
{
    return std::get<Message>(decode_peer_message(encode_peer_message(m)));
}

peer_message decode(const json& tagged)
{
    std::string bytes;
    json::to_cbor(tagged, bytes);
    return decode_peer_message(bytes);
}

json fields_of(const peer_message& m)
{
    return json::from_cbor(encode_peer_message(m)).at(1);
}

}

SCENARIO("Changes of groups survive a round trip")
{
    relayed_change c;
    c.m_index = 2;
    c.m_primary_seen_ago = microseconds(20'001);
    c.m_lease_proven_ago = milliseconds(40);
    c.m_position = log_position{7, 1207};
    c.m_position_asked_ago = milliseconds(5);
    c.m_endpoints = {{0xfeed5eed, {milliseconds(10), 9, 3, milliseconds(12)}}};
    const peer_groups read =
        round_trip(peer_groups{true, {}, 0xfeed'0000'0000'0001, 41, {c, {}}});

    GIVEN("a change of everything")
    {
        REQUIRE(read.m_changes.size() == 2);
        const relayed_change& r = read.m_changes.front();

        THEN("everything is kept, with spans rounded up")
        {
            CHECK(read.m_source == 0xfeed'0000'0000'0001);
            CHECK(read.m_version == 41);
            CHECK(r.m_index == 2);
            CHECK(r.m_primary_seen_ago == milliseconds(21));
            CHECK(r.m_lease_proven_ago == duration(milliseconds(40)));
            CHECK(r.m_position == log_position{7, 1207});
            CHECK(r.m_position_asked_ago == milliseconds(5));
            REQUIRE(r.m_endpoints.size() == 1);
            CHECK(r.m_endpoints.front().m_id_hash == 0xfeed5eed);
            CHECK(r.m_endpoints.front().m_endpoint.m_connections == 9);
            CHECK(r.m_endpoints.front().m_endpoint.m_busy == 3U);
            CHECK(r.m_endpoints.front().m_endpoint.m_busy_ago ==
                  milliseconds(12));
        }
    }
    GIVEN("a change without a lease and a position")
    {
        THEN("they stay unknown")
        {
            CHECK_FALSE(read.m_changes.back().m_lease_proven_ago);
            CHECK_FALSE(read.m_changes.back().m_position);
            CHECK(read.m_changes.back().m_endpoints.empty());
        }
    }
    GIVEN("a request that names the answers that it has")
    {
        const auto request =
            round_trip(peer_group_request{{"a", "b"}, true, 77, {41, 0}, {1}});

        THEN("they are kept")
        {
            CHECK(request.m_from_other_cell);
            CHECK(request.m_source == 77);
            CHECK(request.m_versions == std::vector<std::uint64_t>{41, 0});
            CHECK(request.m_leases == std::vector<std::uint32_t>{1});
        }
    }
}

// During an upgrade both builds run in one fleet.
SCENARIO("Changes of groups and earlier builds understand each other")
{
    relayed_group g;
    g.m_service = "ledger-db";
    g.m_primary = "i-1";

    GIVEN("a request of an earlier build")
    {
        const auto request = std::get<peer_group_request>(
            decode({"groups_wanted", {{"a", "b"}, false}}));

        THEN("it has no answer, so that it is told everything")
        {
            CHECK(request.m_services == std::vector<std::string>{"a", "b"});
            CHECK(request.m_source == 0);
            CHECK(request.m_versions.empty());
        }
    }
    GIVEN("an answer of an earlier build")
    {
        json fields = fields_of(peer_groups{true, {g}});
        REQUIRE(fields.size() == 2);
        const auto answer = std::get<peer_groups>(decode({"groups", fields}));

        THEN("its groups are read, and it is no base of a later one")
        {
            CHECK(answer.m_groups.size() == 1);
            CHECK(answer.m_source == 0);
            CHECK(answer.m_changes.empty());
        }
    }
    GIVEN("messages of this build")
    {
        const json request =
            fields_of(peer_group_request{{"a"}, false, 77, {41}});
        const json answer = fields_of(peer_groups{true, {g}, 77, 42, {{}}});

        THEN("the first two elements are what earlier builds read")
        {
            CHECK(request.at(0) == json::array({"a"}));
            CHECK(request.at(1) == json(false));
            CHECK(answer.at(0) == json(true));
            CHECK(answer.at(1) == fields_of(peer_groups{true, {g}}).at(1));
        }
        THEN("a request without a base is that of earlier builds")
        {
            CHECK(fields_of(peer_group_request{{"a"}, false, 0, {0}}).size() ==
                  2);
        }
    }
    GIVEN("changes with fields that are missing or of another type")
    {
        const auto answer_with = [&](const json& changes)
        {
            return decode({"groups", json::array({true, json::array(), 77, 42,
                                                  changes})});
        };

        THEN("they are a typed error")
        {
            CHECK_THROWS_AS(answer_with(json::array({json::array({1})})),
                            peer_protocol_error);
            CHECK_THROWS_AS(
                answer_with(json::array({json::array(
                    {"one", 20, nullptr, nullptr, json::array()})})),
                peer_protocol_error);
            CHECK_THROWS_AS(
                decode({"groups", json::array({true, json::array(), 77})}),
                peer_protocol_error);
        }
        THEN("a negative span is taken for a long one, never for a recent one")
        {
            const auto read = std::get<peer_groups>(answer_with(json::array(
                {json::array({1, -20, -40, nullptr, json::array()})})));
            CHECK(read.m_changes.front().m_lease_proven_ago ==
                  duration(std::chrono::hours(1)));
        }
    }
}

// The seed is that of the test run (--rng-seed); CAPTURE prints it on failure.
SCENARIO("Changes of groups that are changed at random decode, or are a typed "
         "error")
{
    constexpr int rounds = 4000;
    CAPTURE(Catch::rngSeed());
    std::mt19937_64 random(Catch::rngSeed());
    relayed_change c;
    c.m_lease_proven_ago = milliseconds(40);
    c.m_position = log_position{7, 1207};
    c.m_endpoints = {{0xfeed5eed, {milliseconds(10), 9, 3, milliseconds(12)}}};
    const std::vector<std::string> valid{
        encode_peer_message(peer_groups{true, {}, 77, 41, {c, {}}}),
        encode_peer_message(peer_group_request{{"a"}, false, 77, {41}, {0}})};
    std::size_t decoded = 0;
    std::size_t refused = 0;

    for (const std::string& bytes : valid)
        for (int i = 0; i < rounds; ++i)
        {
            std::string changed = bytes;
            changed[random() % changed.size()] = static_cast<char>(random());
            try
            {
                decode_peer_message(changed);
                ++decoded;
            }
            catch (const peer_protocol_error&)
            {
                ++refused;
            }
        }
    CHECK(decoded > 0);
    CHECK(refused > 0);
}
