#include <catch2/catch.hpp>
#include <platform/store_value_codec.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

SCENARIO("The operator's configuration is decoded")
{
    const site_codec& codec = store_value_codec();
    const std::string text = R"({"version":7,
      "routes":[
        {"name":"r-1","host":"ledger","type":"bounded_staleness",
         "timeout-ms":3000,"target-latency-ms":1200,"priority":2,
         "service":"huvo11a","max-staleness-ms":1500,"public":false,
         "allowed-regions":["seoul"]},
        {"name":"r-2","host":"later","type":"quorum","service":"huvo11a"}],
      "services":[{"name":"huvo11a","max-connections":32,"sync-replicas":1}],
      "limits":{"tx-idle-ms":3000},
      "tenants":[{"name":"ward","api-keys":["k1","k2"],"rate-per-s":117,
                  "burst":58.5}],
      "new-field":true})";

    GIVEN("one with known and unknown fields")
    {
        const site_config_ptr c = codec.m_read_config(text);
        REQUIRE(c);
        REQUIRE(c->m_version == 7);
        REQUIRE(c->m_transaction_idle == milliseconds(3000));

        THEN("routes are indexed by database")
        {
            const site_route& r = c->m_routes.at("ledger");
            REQUIRE(r.m_consistency == read_consistency::bounded);
            REQUIRE(r.m_staleness == milliseconds(1500));
            REQUIRE(r.m_statement_timeout == milliseconds(3000));
            REQUIRE(r.m_regions.contains("seoul"));
        }
        THEN("a route's priority orders the statements, a missing one is 0")
        {
            REQUIRE(c->m_routes.at("ledger").m_priority == 2);
            REQUIRE(c->m_has_priorities);
            for (const char* odd : {"-1", "1.5", "\"1\"", "null", "0"})
            {
                std::string other = text;
                other.replace(other.find("\"priority\":2"), 12,
                              "\"priority\":" + std::string(odd));
                const site_config_ptr read = codec.m_read_config(other);
                REQUIRE(read);
                CHECK(read->m_routes.at("ledger").m_priority == 0);
                CHECK_FALSE(read->m_has_priorities);
            }
        }
        THEN("a route of unknown type is skipped")
        {
            REQUIRE_FALSE(c->m_routes.contains("later"));
        }
        THEN("API keys map to workspaces")
        {
            REQUIRE(c->m_keys.at("k2") == "ward");
            REQUIRE(c->m_workspaces.at("ward").m_burst == 58);
        }
        THEN("the limits of services are read")
        {
            REQUIRE(c->m_services.at("huvo11a").m_connections == 32);
            REQUIRE(c->m_services.at("huvo11a").m_sync_replicas == 1);
        }
    }
    GIVEN("malformed values")
    {
        REQUIRE_FALSE(codec.m_read_config("{"));
        REQUIRE_FALSE(codec.m_read_config(R"({"version":"x"})"));
        REQUIRE_FALSE(codec.m_read_config("[]"));
    }
}

SCENARIO("An endpoint's entry is decoded")
{
    const site_codec& codec = store_value_codec();
    const std::string entry =
        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"seoul-a",
            "version":"v1","capacity":5,"state":"draining","born":1700,
            "db-role":"primary","sequence":4})";

    GIVEN("a draining endpoint")
    {
        const auto e = codec.m_read_endpoint("i-1", entry);
        REQUIRE(e);
        REQUIRE(e->m_id == "i-1");
        REQUIRE(e->m_draining);
        REQUIRE(e->m_claims_primary);
        REQUIRE(e->m_started_ms == 1700);
        REQUIRE(e->m_slots == 5);
        REQUIRE(to_string(e->m_address) == "10.128.0.9:8080");
    }
    GIVEN("slots that are missing, or no whole number that makes sense")
    {
        THEN("the endpoint is used all the same, with unknown slots")
        {
            for (const char* slots :
                 {"", R"("capacity":-1,)", R"("capacity":2.5,)",
                  R"("capacity":"4",)", R"("capacity":null,)",
                  R"("capacity":4294967300,)"})
            {
                CAPTURE(slots);
                const auto e = codec.m_read_endpoint(
                    "i-1", std::string("{") + slots +
                               R"("service":"a","address":"10.0.0.1:1",
                                  "zone":"z","state":"ready"})");
                REQUIRE(e);
                CHECK(e->m_slots == 0);
            }
        }
    }
    GIVEN("entries that don't follow the schema")
    {
        REQUIRE_FALSE(codec.m_read_endpoint("i-1", "\"text\""));
        REQUIRE_FALSE(codec.m_read_endpoint("i-1", R"({"service":5})"));
        REQUIRE_FALSE(codec.m_read_endpoint(
            "i-1", R"({"service":"a","address":"x","zone":"z",
                       "state":"ready"})"));
        REQUIRE_FALSE(codec.m_read_endpoint(
            "i-1", R"({"service":"a","address":"10.0.0.1:1","zone":"z",
                       "state":"asleep"})"));
    }
}

SCENARIO("An odd entry names no endpoint")
{
    const site_codec& codec = store_value_codec();
    const auto entry = [](const std::string& address, const std::string& more)
    {
        return R"({"service":"huvo11a","zone":"seoul-a","state":"ready",)"
               R"("address":")" +
               address + "\"" + more + "}";
    };
    const std::string good_address = "10.128.0.9:8080";
    REQUIRE(codec.m_read_endpoint("i-1", entry(good_address, "")));

    GIVEN("a port out of range")
    {
        for (const char* port : {"0", "-1", "65536", "8080000000000000000000"})
            CHECK_FALSE(codec.m_read_endpoint(
                "i-1", entry("10.128.0.9:" + std::string(port), "")));
    }
    GIVEN("a number that isn't what it should be")
    {
        for (const char* born :
             {"-5", "1e999", "1.5", "18446744073709551616", "\"1700\"", "[]"})
            CHECK_FALSE(codec.m_read_endpoint(
                "i-1", entry(good_address, R"(,"born":)" + std::string(born))));
    }
    GIVEN("a field that is too large")
    {
        CHECK_FALSE(codec.m_read_endpoint(
            "i-1", entry(good_address,
                         R"(,"x":")" + std::string(70'000, 'x') + "\"")));
    }
    GIVEN("a field that is nested as deeply as its size allows")
    {
        constexpr std::size_t depth = 30'000;
        CHECK(codec.m_read_endpoint(
            "i-1", entry(good_address, R"(,"x":)" + std::string(depth, '[') +
                                           std::string(depth, ']'))));
    }
}

SCENARIO("Duty and member records survive a round trip")
{
    const site_codec& codec = store_value_codec();

    GIVEN("a duty record")
    {
        duty_record r;
        r.m_holder = "vm-1";
        r.m_incarnation = 1ULL << 62U;
        r.m_token = 3;
        r.m_renewals = 9;
        r.m_pending_promotions["huvo11a"] = {"i-1", 4};
        r.m_group_sizes["huvo11a"] = 3;
        const auto decoded = codec.m_read_duty(codec.m_write_duty(r));
        REQUIRE(decoded);
        REQUIRE(decoded->m_holder == r.m_holder);
        REQUIRE(decoded->m_incarnation == r.m_incarnation);
        REQUIRE(decoded->m_token == r.m_token);
        REQUIRE(decoded->m_pending_promotions == r.m_pending_promotions);
        REQUIRE(decoded->m_group_sizes == r.m_group_sizes);
        REQUIRE_FALSE(codec.m_read_duty("{}"));
        REQUIRE_FALSE(decoded->m_report);
        r.m_report = usage_report{353'445'120, {{"miny420", 412}}, false};
        REQUIRE(codec.m_read_duty(codec.m_write_duty(r))->m_report ==
                r.m_report);
    }
    GIVEN("a member record")
    {
        member_record r{"vm-1", parse_address("10.1.0.26:8462"), "a"};
        REQUIRE(codec.m_read_member("vm-1", codec.m_write_member(r)) == r);
        r.m_session_address = parse_address("10.1.0.26:7500");
        REQUIRE(codec.m_read_member("vm-1", codec.m_write_member(r)) == r);
        REQUIRE_FALSE(codec.m_read_member("vm-1", "7"));
    }
}
