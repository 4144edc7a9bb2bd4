#include <catch2/catch.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

const json one_bear{{"columns", {"value"}}, {"rows", {{"brown bear"}}}};

json report_bear(const std::string& id)
{
    return {{"kind", "write"},
            {"request_id", id},
            {"statement", "insert into bears values ($1, $2)"},
            {"parameters", {"box-12", "brown bear"}}};
}

json read_bear()
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"box-12"}}};
}

}

TEST_CASE("A workspace's statements go through the whole system")
{
    const fleet f({.m_daemons = 2, .m_lag_ms = 20});
    put_node(f, "ward", {{"kind", "workspace"}, {"service", "group"}});
    session clerk{grant_key(f, "ward", "clerk"), {}};
    caller first(f.m_daemons[0].m_callers);
    caller second(f.m_daemons[1].m_callers);
    REQUIRE(eventually(
        [&]
        {
            return first.send(statement_request(clerk, read_bear())).m_status ==
                       200 &&
                   second.send(statement_request(clerk, read_bear()))
                           .m_status == 200;
        }));

    SECTION("a clerk reports a bear through one daemon")
    {
        const reply reported = run_statement(first, clerk, report_bear("r-1"));
        REQUIRE(reported.m_status == 200);

        SECTION("and the same session finds it through another")
        {
            const reply found = run_statement(second, clerk, read_bear());
            REQUIRE(found.json().at("rows") == json{{"brown bear"}});
        }
        SECTION("and repeating the report does not double it")
        {
            const reply again =
                run_statement(second, clerk, report_bear("r-1"));
            REQUIRE(again.json().at("first_outcome") == true);
            const reply found = run_statement(first, clerk, read_bear());
            REQUIRE(found.json().at("rows").size() == 1);
        }
    }

    SECTION("a transaction's statements stay together")
    {
        const reply begun = first.send(begin_request(clerk));
        REQUIRE(begun.m_status == 200);
        const std::string id = begun.json().at("transaction");
        json claim = report_bear("");
        claim.erase("request_id");
        claim["transaction"] = id;
        REQUIRE(run_statement(first, clerk, claim).m_status == 200);

        SECTION("nobody sees them before the commit, everybody after it")
        {
            REQUIRE(run_statement(first, clerk, read_bear())
                        .json()
                        .at("rows")
                        .empty());
            const reply done = first.send(end_request(clerk, id, "commit"));
            REQUIRE(done.m_status == 200);
            keep_token(clerk, done);
            REQUIRE(run_statement(first, clerk, read_bear())
                        .json()
                        .at("rows")
                        .size() == 1);
        }
        SECTION("a rollback leaves nothing")
        {
            REQUIRE(first.send(end_request(clerk, id, "rollback")).m_status ==
                    200);
            REQUIRE(run_statement(first, clerk, read_bear())
                        .json()
                        .at("rows")
                        .empty());
        }
        SECTION("another daemon says that it is elsewhere")
        {
            const reply lost = second.send(end_request(clerk, id, "commit"));
            REQUIRE(lost.error() == "transaction_elsewhere");
            REQUIRE(lost.outcome() == "not_run");
        }
    }

    SECTION("bad input gets a typed refusal and the daemon goes on")
    {
        const std::string path = "/v1/statement";
        const header_list key{{"authorization", "Bearer " + clerk.m_key}};
        REQUIRE(first.send({"POST", path, key, "{"}).error() ==
                "malformed_request");
        REQUIRE(first.send({"POST", path, {}, read_bear().dump()}).error() ==
                "unknown_key");
        REQUIRE(first.send({"POST", path, key, std::string(2 << 20, ' ')})
                    .error() == "body_too_large");
        REQUIRE(first.send({"POST", "/v1/elsewhere", key, "{}"}).error() ==
                "not_found");
        REQUIRE(first.send(end_request(clerk, "vm-1.99", "commit")).error() ==
                "unknown_transaction");
        session forged = clerk;
        forged.m_token = std::string(64, '0');
        REQUIRE(run_statement(first, forged, read_bear()).error() ==
                "foreign_session");
        json two = read_bear();
        two["statement"] = "select 1; select 1";
        two.erase("parameters");
        REQUIRE(run_statement(first, clerk, two).error() ==
                "statement_not_allowed");
        REQUIRE(run_statement(first, clerk, read_bear()).m_status == 200);
    }
}
