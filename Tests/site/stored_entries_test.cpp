#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

json entry_of(const std::string& service, const address& at)
{
    return {{"service", service},
            {"address", to_string(at)},
            {"zone", "zone-1"},
            {"version", "v1"},
            {"capacity", 4},
            {"state", "ready"},
            {"db-role", "replica"},
            {"sequence", 1},
            {"born", 1}};
}

std::string answer_to(const site& s, std::size_t daemon,
                      const std::string& statement)
{
    line_caller c(s.callers_of(daemon));
    if (c.start("ledger", "ward-key") != "READY")
        return {};
    return c.ask(statement);
}

bool serves(const site& s, std::size_t daemon)
{
    return answer_to(s, daemon, "WRITE bear brown") == "COMPLETE | READY I";
}

bool all_serve(const site& s, std::size_t daemons)
{
    for (std::size_t i = 0; i < daemons; ++i)
        if (!comes_true(
                [&]
                {
                    return serves(s, i);
                }))
            return false;
    return true;
}

bool has_metric(const site& s, std::size_t daemon, std::string_view line)
{
    return call_http(s.metrics_of(daemon), "GET", "/metrics")
               .m_body.find(line) != std::string::npos;
}

bool both_have(const site& s, std::string_view line)
{
    return has_metric(s, 0, line) && has_metric(s, 1, line);
}

}

// Any process that reaches the store can write entries. The service of an
// endpoint is sent to that endpoint in the line that starts a session.
SCENARIO("An endpoint's entry can't make a process send statements",
         "[entries]")
{
    constexpr std::size_t daemons = 2;
    site s(daemons);
    REQUIRE(all_serve(s, daemons));

    GIVEN("an entry whose service holds the lines of a write")
    {
        s.put_entry(
            "servers", "i-forged",
            entry_of("ledger-db x i-1\r\nQUERY 77 WRITE a evil\r\nQUERY",
                     s.address_of("i-1")));

        THEN("no process sends them, and the other endpoints are served")
        {
            const auto is_written = [&]
            {
                return answer_to(s, 0, "READ a").find("evil") !=
                       std::string::npos;
            };
            CHECK(comes_true(
                [&]
                {
                    return is_written() ||
                           both_have(
                               s,
                               R"(ignored_entries_total{kind="endpoints"} 1)");
                }));
            CHECK_FALSE(is_written());
            CHECK(all_serve(s, daemons));
        }
    }
    GIVEN("an entry of a service that no configuration names")
    {
        s.put_entry("servers", "i-other",
                    entry_of("other-db", s.address_of("i-1")));

        THEN("it isn't used, and the other endpoints are served")
        {
            CHECK(comes_true(
                [&]
                {
                    return both_have(s, "unconfigured_endpoints 1");
                }));
            CHECK(all_serve(s, daemons));
        }
    }
    GIVEN("a configuration that no longer names the endpoints' service")
    {
        const json services = s.config().at("services");
        s.configure({{"services", json::array()}});
        REQUIRE(comes_true(
            [&]
            {
                return both_have(s, "unconfigured_endpoints 3");
            }));

        THEN("they are used again once one names it")
        {
            s.configure({{"services", services}});
            CHECK(all_serve(s, daemons));
            CHECK(both_have(s, "unconfigured_endpoints 0"));
        }
    }
    GIVEN("a configuration with a route and a key that fail a check")
    {
        json routes = s.config().at("routes");
        json forged = routes[0];
        forged["host"] = "forged";
        forged["service"] = "ledger-db x i-1\r\nQUERY 78 WRITE b evil";
        routes.push_back(forged);
        json workspaces = s.config().at("tenants");
        workspaces[0]["api-keys"].push_back("two words");
        s.configure({{"routes", routes}, {"tenants", workspaces}});

        THEN("they are left out, and the rest is in force")
        {
            CHECK(comes_true(
                [&]
                {
                    return both_have(
                        s, R"(ignored_entries_total{kind="configuration"} 2)");
                }));
            line_caller c(s.callers_of(0));
            CHECK(c.start("forged", "ward-key") == "NODB");
            CHECK(all_serve(s, daemons));
        }
    }
}
