#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <peer/peer_codec.hpp>
#include <peer/text_delta.hpp>

using namespace bluebellspoke;

namespace
{

std::vector<std::string> valid_messages()
{
    peer_settings settings;
    settings.m_objects = {{"config", 70, "{}"}};
    settings.m_vms = {{"vm-1", "10.1.0.26:8462", "a", false}};
    settings.m_config_delta = peer_config_delta{7, 8, {9, {{0, 1, "x"}}}};
    peer_site_digest digest;
    digest.m_weights = {{"ward", 30}};
    relayed_group group;
    group.m_service = "ledger-db";
    group.m_position = log_position{7, 1207};
    peer_loan_request loan;
    loan.m_renewals = {{1, 2}};
    return {encode_peer_message(settings),
            encode_peer_message(digest),
            encode_peer_message(peer_groups{true, {group}}),
            encode_peer_message(loan),
            encode_peer_message(peer_heartbeat{}),
            encode_peer_message(peer_vote_request{"vm-1", "10.1.0.26:8462"}),
            encode_peer_message(peer_token_grant{true, {{"ward", 2, 140}}}),
            encode_peer_message(peer_usage_request{true, 7, 11}),
            encode_peer_message(
                peer_usage{{"zone-1", 7, 3, 11, {{10, {{{"ward", 5}}, 2}}}}})};
}

std::string mutate(std::string bytes, std::mt19937_64& random)
{
    for (auto changes = 1 + random() % 4; changes > 0; --changes)
        bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
        bytes.resize(random() % bytes.size() + 1);
    return bytes;
}

}

// The seed is that of the test run (--rng-seed); CAPTURE prints it on failure.
SCENARIO("Messages that are changed at random decode, or are a typed error")
{
    constexpr int rounds = 4000;
    CAPTURE(Catch::rngSeed());
    std::mt19937_64 random(Catch::rngSeed());
    std::size_t decoded = 0;
    std::size_t refused = 0;

    for (const std::string& valid : valid_messages())
        for (int i = 0; i < rounds; ++i)
        {
            const std::string bytes = mutate(valid, random);
            CAPTURE(i, valid.size());
            try
            {
                const peer_message m = decode_peer_message(bytes);
                ++decoded;
                // Text of any bytes is passed on as it came.
                REQUIRE_NOTHROW(encode_peer_message(m));
                const auto* const s = std::get_if<peer_settings>(&m);
                if (s != nullptr && s->m_config_delta)
                    apply_text_delta("xyz", s->m_config_delta->m_delta);
            }
            catch (const peer_protocol_error&)
            {
                ++refused;
            }
        }
    CHECK(decoded > 0);
    CHECK(refused > 0);
}
