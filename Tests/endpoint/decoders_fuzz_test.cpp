#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>
#include <endpoint/endpoint_sql.hpp>
#include <endpoint/statement_text.hpp>
#include <front/statement_codec.hpp>
#include <model/refusal.hpp>
#include <peer/peer_codec.hpp>
#include <store/settings_codec.hpp>

using namespace bluebellspoke;

namespace
{

// Texts near to valid ones: pieces of these in a random order, cut and altered.
std::string near_text(std::mt19937& random,
                      const std::vector<std::string_view>& pieces)
{
    std::string text;
    const std::size_t parts = random() % 8;
    for (std::size_t i = 0; i <= parts; ++i)
        text.append(pieces[random() % pieces.size()]);
    const std::size_t changes = random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i)
        text[random() % text.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
        text.resize(random() % (text.size() + 1));
    return text;
}

std::vector<sql_value> some_values(std::mt19937& random)
{
    const std::vector<sql_value> choices{std::monostate(), true,
                                         std::int64_t{-5}, 1.5,
                                         std::string("a'b\\c;--")};
    std::vector<sql_value> values;
    for (std::size_t i = random() % 3; i > 0; --i)
        values.push_back(choices[random() % choices.size()]);
    return values;
}

// What was bound is one statement still: binding it again changes nothing of
// what the scanner sees as its end.
void check_bound(const std::string& bound)
{
    const std::string again = bind_parameters(bound, {});
    REQUIRE(bind_parameters(again, {}) == again);
}

constexpr int rounds = 20'000;

}

TEST_CASE("Random statements bind or are refused")
{
    const std::vector<std::string_view> pieces{
        "select ", "$1", "$2", "'",      "''",      "\"",
        "E'",      "\\", "$$", "$q$",    "--",      "\n",
        "/*",      "*/", ";",  "commit", " ",       "insert into b ",
        "1",       "-",  "(",  ")",      "\xc3\xa9"};
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::string text = near_text(random, pieces);
        const std::vector<sql_value> values = some_values(random);
        CAPTURE(seed, i, text);
        try
        {
            check_bound(bind_parameters(text, values));
        }
        catch (const refusal_error& r)
        {
            REQUIRE(r.m_code == refusal::statement_not_allowed);
        }
    }
}

TEST_CASE("Random bodies decode or are refused")
{
    const std::vector<std::string_view> pieces{"{",
                                               "}",
                                               "\"statement\":",
                                               "\"select 1\"",
                                               ",",
                                               "\"parameters\":",
                                               "[1,null,\"a\"]",
                                               "\"kind\":",
                                               "\"write\"",
                                               "\"max_age_ms\":",
                                               "1e99",
                                               "-1",
                                               "18446744073709551615",
                                               "{\"statement\":\"select 1\"}",
                                               "true"};
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::string text = near_text(random, pieces);
        CAPTURE(seed, i, text);
        try
        {
            const statement decoded = decode_statement(text);
            REQUIRE_FALSE(decoded.m_text.empty());
        }
        catch (const refusal_error& r)
        {
            REQUIRE(r.m_code == refusal::malformed_request);
        }
    }
}

TEST_CASE("Random nodes of the settings tree decode or are refused")
{
    const std::vector<std::string_view> pieces{"{",
                                               "}",
                                               "\"rate\":",
                                               "5",
                                               ",",
                                               "\"kind\":\"workspace\"",
                                               "-1",
                                               "\"keys\":[{\"id\":\"a\"}]",
                                               "\"endpoints\":[{}]",
                                               "1e400",
                                               "[",
                                               "\"slots\":4294967296",
                                               "\"open\":true",
                                               "\"surprise\":1"};
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::string text = near_text(random, pieces);
        CAPTURE(seed, i, text);
        try
        {
            decode_node("ward", text);
        }
        catch (const settings_error& e)
        {
            REQUIRE(e.m_path == "ward");
        }
    }
}

TEST_CASE("Random bytes of a peer decode or are refused")
{
    peer_heartbeat heartbeat;
    heartbeat.m_name = "vm-1";
    heartbeat.m_settings_version = 2;
    const std::string whole = encode_peer_message(heartbeat);
    REQUIRE(std::get<peer_heartbeat>(decode_peer_message(whole)).m_name ==
            "vm-1");
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::string bytes = near_text(random, {whole});
        CAPTURE(seed, i);
        try
        {
            decode_peer_message(bytes);
        }
        catch (const peer_protocol_error&)
        {
            SUCCEED();
        }
    }
}

TEST_CASE("Tables that no endpoint should answer are a typed error")
{
    const time_point now{};
    REQUIRE_THROWS_AS(parse_state({}, now), endpoint_protocol_error);
    result_table table;
    table.m_columns = {"role",          "fence",    "received_term", "received",
                       "replayed_term", "replayed", "age_ms"};
    table.m_rows = {{"primary", "1", "1", "2", "1", "2", std::nullopt}};
    REQUIRE(parse_state(table, now).m_received == log_position{1, 2});
    for (std::size_t i = 0; i + 1 < table.m_columns.size(); ++i)
    {
        for (const auto& bad :
             {std::optional<std::string>(), std::optional<std::string>("x"),
              std::optional<std::string>("-1"),
              std::optional<std::string>("99999999999999999999")})
        {
            result_table broken = table;
            broken.m_rows[0][i] = bad;
            REQUIRE_THROWS_AS(parse_state(broken, now),
                              endpoint_protocol_error);
        }
    }
    result_table outcome;
    outcome.m_columns = {"first_outcome", "outcome"};
    for (const char* bad : {"", "[]", "{}", "{\"affected\":-1}",
                            "{\"affected\":1,\"columns\":[1],\"rows\":[]}",
                            "{\"affected\":1,\"columns\":[],\"rows\":[[1]]}"})
    {
        outcome.m_rows = {{"t", bad}};
        REQUIRE_THROWS_AS(parse_write(outcome), endpoint_protocol_error);
    }
}
