#include <catch2/catch.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

bool has_line(const daemon_node& d, const std::string& line)
{
    const std::string text = admin_get(d, "/metrics").m_body;
    return text.find(line + "\n") != std::string::npos;
}

}

TEST_CASE("A daemon's metrics say what became of its requests")
{
    const fleet f({.m_daemons = 1, .m_lag_ms = 10});
    put_node(f, "ward", {{"kind", "workspace"}, {"service", "group"}});
    session clerk{grant_key(f, "ward", "clerk"), {}};
    const daemon_node& d = f.m_daemons.front();
    caller c(d.m_callers);
    const json write{{"kind", "write"},
                     {"statement", "insert into bears values ($1, $2)"},
                     {"parameters", {"box-12", "brown bear"}}};
    REQUIRE(eventually(
        [&]
        {
            return run_statement(c, clerk, write).m_status == 200;
        }));

    SECTION("a read counts by the role of the endpoint that served it")
    {
        json read{{"statement", "select value from bears where key = 'a'"}};
        REQUIRE(run_statement(c, clerk, read).m_status == 200);
        read["max_age_ms"] = 60'000;
        clerk.m_token.clear();
        REQUIRE(run_statement(c, clerk, read).json().at("from") == "replica");
        CHECK(has_line(d, "bluebellspoke_statements_total{kind=\"read\","
                          "role=\"replica\"} 1") !=
              has_line(d, "bluebellspoke_statements_total{kind=\"read\","
                          "role=\"replica\"} 2"));
    }
    SECTION("a refusal counts by its code")
    {
        session stranger{"no such key", {}};
        REQUIRE(run_statement(c, stranger, write).error() == "unknown_key");
        CHECK(has_line(d, "bluebellspoke_refusals_total{error=\"unknown_key\","
                          "outcome=\"not_run\"} 1"));
    }
    SECTION("a write counts for its workspace")
    {
        CHECK(has_line(d, "bluebellspoke_requests_total{workspace=\"ward\","
                          "result=\"served\"} 1"));
        CHECK(has_line(d, "bluebellspoke_statements_total{kind=\"write\","
                          "role=\"primary\"} 1"));
        CHECK(has_line(d, "bluebellspoke_confirm_seconds_count 1"));
    }
    SECTION("endpoints count by state")
    {
        CHECK(has_line(d, "bluebellspoke_endpoints{state=\"primary\"} 1"));
        CHECK(has_line(d, "bluebellspoke_endpoints{state=\"replica\"} 2"));
    }
}
