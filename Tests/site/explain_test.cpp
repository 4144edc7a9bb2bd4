#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <ctl/run_line.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

using nlohmann::json;

http_reply ask_explain(const site& s, const std::string& query)
{
    return call_http(s.metrics_of(0), "GET", "/explain?" + query);
}

json explain(const site& s, const std::string& database,
             const std::string& statement)
{
    const http_reply reply = ask_explain(
        s, "database=" + database + "&key=ward-key&statement=" + statement);
    CAPTURE(reply.m_body);
    REQUIRE(reply.m_status == 200);
    CHECK(reply.m_body.find("ward-key") == std::string::npos);
    return json::parse(reply.m_body);
}

// The endpoint that would be chosen; empty: none.
std::string chosen_in(const json& explanation)
{
    for (const json& e : explanation.at("endpoints"))
        if (e.at("choice") == "would be chosen")
            return e.at("id");
    return {};
}

bool all_have_reason(const json& explanation, const std::string& reason)
{
    for (const json& e : explanation.at("endpoints"))
        if (e.at("choice") != "not allowed" || e.at("reason") != reason)
            return false;
    return explanation.at("endpoints").size() == 3;
}

bool is_served(line_caller& c, const std::string& statement,
               const std::string& answer)
{
    return comes_true(
        [&]
        {
            return c.ask(statement) == answer;
        });
}

// The endpoint to which the log says that the request was sent.
std::string endpoint_of(const std::string& log, const std::string& request)
{
    std::size_t begin = 0;
    while (begin < log.size())
    {
        const std::size_t end = std::min(log.find('\n', begin), log.size());
        const std::size_t brace = std::min(log.find('{', begin), end);
        const json line =
            json::parse(log.substr(brace, end - brace), nullptr, false);
        if (line.is_object() && line.value("name", "") == "statement_sent" &&
            line.value("request", "") == request)
            return line.at("endpoint");
        begin = end + 1;
    }
    return {};
}

std::string stop_and_read_log(site& s)
{
    s.daemon(0).send_signal(SIGTERM);
    return s.daemon(0).read_rest();
}

}

// Guards against an explanation that goes by other decisions or other data than
// statements do.
SCENARIO("An explanation says where the next statement goes")
{
    site s(1);
    line_caller c(s.callers_of(0));
    REQUIRE(c.start("browse", "ward-key") == "READY");
    REQUIRE(is_served(c, "WRITE bear brown", "COMPLETE | READY I"));
    REQUIRE(is_served(c, "READ bear", "ROW brown | COMPLETE | READY I"));

    GIVEN("a write")
    {
        const json e = explain(s, "browse", "write");
        REQUIRE(e.at("outcome") == "sent");
        CHECK(chosen_in(e) == s.primary());
        CHECK(e.at("group").at("primary") == s.primary());
        CHECK(e.at("route").at("service") == "ledger-db");
        CHECK(e.at("workspace").at("name") == "ward");
        CHECK(e.at("workspace").at("admission") == "admitted");
        CHECK(e.at("home").at("process").is_null());
        CHECK(e.at("config_version") == s.config().at("version"));
        for (const json& endpoint : e.at("endpoints"))
            CHECK((endpoint.at("id") == s.primary()) ==
                  (endpoint.at("reason") == "usable"));
    }
    GIVEN("reads, of which each is explained before it is sent")
    {
        // A status between the two may change the choice of one, but not of one
        // in each series; a series that agrees by chance has 1 in 2^10.
        constexpr int series = 3;
        constexpr int reads = 10;
        std::vector<std::string> expected;
        for (int i = 0; i < series * reads; ++i)
        {
            expected.push_back(chosen_in(explain(s, "browse", "read")));
            c.send("QUERY r" + std::to_string(i) + " READ bear");
            while (!c.line().value_or("READY").starts_with("READY"))
                ;
        }
        const std::string log = stop_and_read_log(s);
        int agreeing_series = 0;
        for (int first = 0; first < series * reads; first += reads)
        {
            int agreeing = 0;
            for (int i = first; i < first + reads; ++i)
                agreeing += expected[static_cast<std::size_t>(i)] ==
                                    endpoint_of(log, "r" + std::to_string(i))
                                ? 1
                                : 0;
            agreeing_series += agreeing == reads ? 1 : 0;
        }
        CHECK(agreeing_series >= 1);
        CHECK(log.find("ward-key") == std::string::npos);
    }
    GIVEN("an evacuated zone")
    {
        s.evacuate("zone-1");

        THEN("no endpoint is allowed, and a statement is refused")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return all_have_reason(explain(s, "browse", "read"),
                                           "evacuated");
                }));
            CHECK(explain(s, "browse", "read").at("outcome") == "queued");
            CHECK(c.ask("READ bear").starts_with("ERROR BUSY"));
        }
    }
    GIVEN("a workspace with a single token")
    {
        json change = s.config();
        change["tenants"][1]["rate-per-s"] = 0.001;
        change["tenants"][1]["burst"] = 1;
        s.configure({{"tenants", change["tenants"]}});
        const std::string depot = "database=browse&workspace=depot";
        const auto admission = [&]
        {
            return json::parse(ask_explain(s, depot).m_body)
                .at("workspace")
                .at("admission");
        };
        REQUIRE(comes_true(
            [&]
            {
                return json::parse(ask_explain(s, depot).m_body)
                           .at("workspace")
                           .at("burst") == 1;
            }));

        THEN("explanations leave it to the statement")
        {
            for (int i = 0; i < 3; ++i)
                REQUIRE(admission() == "admitted");
            line_caller d(s.callers_of(0));
            REQUIRE(d.start("browse", "depot-key") == "READY");
            REQUIRE(d.ask("READ bear") == "ROW brown | COMPLETE | READY I");
            CHECK(admission() == "refused");
            CHECK(d.ask("READ bear").starts_with("ERROR BUSY"));
        }
    }
}

SCENARIO("A request that can't be explained has a typed answer")
{
    site s(1);
    struct refusal
    {
        const char* m_query;
        int m_status;
        const char* m_error;
    };
    for (const refusal& r : {
             refusal{"database=nowhere&key=ward-key", 404, "unknown_database"},
             refusal{"database=ledger&workspace=x", 404, "unknown_workspace"},
             refusal{"database=ledger&key=other", 403, "unauthorized"},
             refusal{"database=ledger", 403, "unauthorized"},
             refusal{"key=ward-key", 400, "malformed"},
             refusal{"database=ledger&key=a&workspace=b", 400, "malformed"},
             refusal{"database=%zz", 400, "malformed"},
             refusal{"database=ledger&statement=drop", 400, "malformed"},
         })
    {
        CAPTURE(r.m_query);
        const http_reply reply = ask_explain(s, r.m_query);
        CHECK(reply.m_status == r.m_status);
        CHECK(reply.m_body == json{{"error", r.m_error}}.dump());
    }
    REQUIRE(call_http(s.metrics_of(0), "GET", "/metrics").m_status == 200);
}

SCENARIO("An operator asks where a request would go")
{
    site s(1);
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(is_served(c, "WRITE bear brown", "COMPLETE | READY I"));
    }
    operator_session session({});
    const auto run = [&](const std::vector<std::string>& rest, bool as_json)
    {
        std::vector<std::string> line{"explain", to_string(s.metrics_of(0))};
        line.insert(line.end(), rest.begin(), rest.end());
        return run_line(session, line, as_json);
    };

    THEN("the table names the outcome, the route and the endpoints")
    {
        const printed table = run({"ledger", "ward", "write"}, false);
        CAPTURE(table.m_output, table.m_errors);
        REQUIRE(table.m_code == exit_code::ok);
        for (const std::string& part :
             {std::string("outcome    sent\n"),
              std::string("route      r-ledger: service ledger-db, primary"),
              std::string("workspace  ward: admitted"),
              std::string("home       this process (not needed)"),
              s.primary() + "            primary   would be chosen",
              std::string("not allowed       not primary")})
        {
            CAPTURE(part);
            CHECK(table.m_output.find(part) != std::string::npos);
        }
    }
    THEN("scripts get the answer's JSON")
    {
        const printed text = run({"ledger", "ward"}, true);
        REQUIRE(text.m_code == exit_code::ok);
        CHECK(json::parse(text.m_output).at("statement") == "read");
    }
    THEN("a name that the process doesn't know is named")
    {
        const printed failed = run({"nowhere", "ward"}, false);
        CHECK(failed.m_code == exit_code::usage);
        CHECK(failed.m_errors.starts_with("unknown_database: nowhere\n"));
        CHECK(run({"ledger", "x"}, false)
                  .m_errors.starts_with("unknown_workspace: x\n"));
    }
}
