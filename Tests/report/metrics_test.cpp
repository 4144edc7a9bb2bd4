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

/// A sample's value; 0 when it isn't there.
double sample(const daemon_node& d, const std::string& name)
{
    const std::string text = admin_get(d, "/metrics").m_body;
    const std::size_t at = text.find(name + " ");
    return at == std::string::npos ? 0
                                   : std::stod(text.substr(at + name.size()));
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
        const std::string reads =
            "bluebellspoke_statements_total{kind=\"read\",role=\"replica\"}";
        json read{{"statement", "select value from bears where key = 'a'"}};
        REQUIRE(run_statement(c, clerk, read).m_status == 200);
        const double before = sample(d, reads);
        read["max_age_ms"] = 60'000;
        clerk.m_token.clear();
        REQUIRE(run_statement(c, clerk, read).json().at("from") == "replica");
        CHECK(sample(d, reads) == before + 1);
    }
    SECTION("a refusal counts by its code")
    {
        // The clerk may have come before the key was in force.
        const std::string refusals =
            "bluebellspoke_refusals_total{error=\"unknown_key\","
            "outcome=\"not_run\"}";
        const double before = sample(d, refusals);
        session stranger{"no such key", {}};
        REQUIRE(run_statement(c, stranger, write).error() == "unknown_key");
        CHECK(sample(d, refusals) == before + 1);
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
