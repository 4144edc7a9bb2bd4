#include <string>

#include <catch2/catch.hpp>
#include <front/statement_codec.hpp>

using namespace bluebellspoke;

namespace
{

/// The field that a statement's JSON was refused for.
std::string refused_field(const std::string& json)
{
    try
    {
        decode_statement(json);
    }
    catch (const refusal_error& r)
    {
        REQUIRE(r.m_code == refusal::malformed_request);
        REQUIRE(r.m_outcome == refusal_outcome::not_run);
        return r.m_detail;
    }
    return "taken";
}

}

TEST_CASE("A statement comes as JSON")
{
    SECTION("with everything a caller may say")
    {
        const statement s = decode_statement(R"({
            "statement": "select $1", "kind": "write", "request_id": "r-1",
            "parameters": [null, true, -7, 1.5, "bear"], "repeatable": true,
            "max_age_ms": 250, "transaction": "vm-1.3",
            "time_limit_ms": 1000})");
        REQUIRE(s.m_text == "select $1");
        REQUIRE(s.m_kind == statement_kind::write);
        REQUIRE(s.m_request_id == "r-1");
        REQUIRE(s.m_parameters.size() == 5);
        REQUIRE(std::get<std::int64_t>(s.m_parameters[2]) == -7);
        REQUIRE(s.m_idempotent);
        REQUIRE(s.m_max_age == std::chrono::milliseconds(250));
        REQUIRE(s.m_time_limit == std::chrono::seconds(1));
    }
    SECTION("a read unless it says otherwise")
    {
        REQUIRE(decode_statement(R"({"statement": "select 1"})").m_kind ==
                statement_kind::read);
    }
    SECTION("its parameters whatever they hold")
    {
        const statement s = decode_statement(
            R"({"parameters": ["kind", "]"], "parameters": ["\u00e9", 2],
                "statement": "s"})");
        REQUIRE(s.m_parameters.size() == 2);
        REQUIRE(std::get<std::string>(s.m_parameters[0]) == "\xc3\xa9");
    }
    SECTION("and what is wrong with it is named")
    {
        REQUIRE(refused_field("") == "body");
        REQUIRE(refused_field("7") == "body");
        REQUIRE(refused_field("18446744073709551615") == "body");
        REQUIRE(refused_field("null") == "body");
        REQUIRE(refused_field(R"(["statement", "s"])") == "body");
        REQUIRE(refused_field(R"({"colour": "red", "statement": )") == "body");
        REQUIRE(refused_field(R"({"statement": "s"} more)") == "body");
        REQUIRE(refused_field(R"({"statement": {"kind": "read"}})") ==
                "statement");
        REQUIRE(refused_field(R"({"kind": ["read"], "statement": "s"})") ==
                "kind");
        REQUIRE(
            refused_field(
                R"({"statement": "s", "parameters": [{"kind": "both"}]})") ==
            "parameters");
        REQUIRE(refused_field(R"({"statement": "s", "parameters": "none"})") ==
                "parameters");
        REQUIRE(
            refused_field(
                R"({"statement": "s", "parameters": [9223372036854775808]})") ==
            "parameters");
        REQUIRE(refused_field(R"({"statement": "s", "max_age_ms": 600001})") ==
                "max_age_ms");
        REQUIRE(refused_field(R"({"statement": "s", "time_limit_ms": 1.5})") ==
                "time_limit_ms");
        REQUIRE(refused_field(R"({"statement": "s", "repeatable": 1})") ==
                "repeatable");
        REQUIRE(refused_field("{") == "body");
        REQUIRE(refused_field("[]") == "body");
        REQUIRE(refused_field("{}") == "statement");
        REQUIRE(refused_field(R"({"statement": 1})") == "statement");
        REQUIRE(refused_field(R"({"statement": "s", "kind": "both"})") ==
                "kind");
        REQUIRE(refused_field(R"({"statement": "s", "max_age_ms": -1})") ==
                "max_age_ms");
        REQUIRE(refused_field(R"({"statement": "s", "colour": "red"})") ==
                "colour");
        REQUIRE(refused_field(R"({"statement": "s", "parameters": [[]]})") ==
                "parameters");
        REQUIRE(refused_field(R"({"statement": "s", "parameters": [1e400]})") ==
                "body");
        REQUIRE(refused_field(R"({"statement": "s", "request_id": ")" +
                              std::string(129, 'r') + "\"}") == "request_id");
    }
}

TEST_CASE("A refusal says whether anything ran")
{
    const http2_response unknown = encode_refusal(refusal_error(
        refusal::endpoint_lost, refusal_outcome::outcome_unknown));
    REQUIRE(unknown.m_status == 502);
    REQUIRE(unknown.m_body.find(R"("outcome":"outcome_unknown")") !=
            std::string::npos);
    const http2_response not_run =
        encode_refusal(refusal_error(refusal::rate_exceeded));
    REQUIRE(not_run.m_status == 429);
    REQUIRE(not_run.m_body.find(R"("outcome":"not_run")") != std::string::npos);
}

TEST_CASE("A key comes as a bearer token")
{
    REQUIRE(bearer_key({{"authorization", "Bearer bbs_1"}}) == "bbs_1");
    REQUIRE(bearer_key({{"authorization", "Basic bbs_1"}}).empty());
    REQUIRE(bearer_key({}).empty());
}
