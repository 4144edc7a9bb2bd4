#include <csignal>
#include <memory>
#include <string>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// Repeats the statement, each time in a new session, until the expected answer
// comes or the time limit of comes_true has passed.
bool eventually_answers(site& s, std::size_t daemon,
                        const std::string& database,
                        const std::string& statement, const std::string& answer)
{
    return comes_true(
        [&]
        {
            line_caller c(s.callers_of(daemon));
            return c.start(database, "ward-key") == "READY" &&
                   c.ask(statement) == answer;
        });
}

}

SCENARIO("Sessions are served on the users' platform")
{
    site s(2);
    REQUIRE(eventually_answers(s, 0, "ledger", "WRITE bear brown",
                               "COMPLETE | READY I"));
    REQUIRE(eventually_answers(s, 1, "ledger", "READ bear",
                               "ROW brown | COMPLETE | READY I"));

    GIVEN("a session that reads what it wrote")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("intake", "ward-key") == "READY");
        REQUIRE(c.ask("WRITE rabbit grey") == "COMPLETE | READY I");
        REQUIRE(c.ask("READ rabbit") == "ROW grey | COMPLETE | READY I");
    }
    GIVEN("a transaction")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE fox red") == "COMPLETE | READY T");
        REQUIRE(c.ask("READ fox") == "ROW red | COMPLETE | READY T");

        WHEN("it is rolled back")
        {
            REQUIRE(c.ask("ROLLBACK") == "COMPLETE | READY I");
            REQUIRE(c.ask("READ fox") == "ROW - | COMPLETE | READY I");
        }
        WHEN("it is committed")
        {
            REQUIRE(c.ask("COMMIT") == "COMPLETE | READY I");
            REQUIRE(c.ask("READ fox") == "ROW red | COMPLETE | READY I");
        }
        WHEN("a statement in it fails")
        {
            REQUIRE(c.ask("EXECUTE nobody 1") == "ERROR NOSTMT | READY E");
            REQUIRE(c.ask("READ fox") == "ERROR MALFORMED | READY E");
            REQUIRE(c.ask("ROLLBACK") == "COMPLETE | READY I");
            REQUIRE(c.ask("READ fox") == "ROW - | COMPLETE | READY I");
        }
    }
    GIVEN("two sessions that prepare different statements under one name")
    {
        line_caller a(s.callers_of(0));
        line_caller b(s.callers_of(0));
        REQUIRE(a.start("ledger", "ward-key") == "READY");
        REQUIRE(b.start("ledger", "ward-key") == "READY");
        REQUIRE(a.ask("PREPARE s READ q1") == "COMPLETE | READY I");
        REQUIRE(b.ask("PREPARE s WRITE q2") == "COMPLETE | READY I");
        REQUIRE(b.ask("EXECUTE s owl white") == "COMPLETE | READY I");
        REQUIRE(a.ask("EXECUTE s owl") == "ROW white | COMPLETE | READY I");
        REQUIRE(a.ask("DEALLOCATE s") == "COMPLETE | READY I");
        REQUIRE(a.ask("EXECUTE s owl") == "ERROR NOSTMT | READY I");
    }
    GIVEN("callers without access, or with malformed input")
    {
        REQUIRE(line_caller(s.callers_of(0)).start("nowhere", "ward-key") ==
                "NODB");
        REQUIRE(line_caller(s.callers_of(0)).start("ledger", "other") ==
                "UNAUTH");
        line_caller garbage(s.callers_of(0));
        garbage.send("GET / HTTP/1.1");
        REQUIRE(garbage.line() == "ERROR MALFORMED startup first");
        REQUIRE_FALSE(garbage.line());
        line_caller endless(s.callers_of(0));
        endless.send(std::string(3U << 20U, 'x'));
        REQUIRE_FALSE(endless.line());

        THEN("other callers are still served")
        {
            REQUIRE(eventually_answers(s, 0, "ledger", "READ bear",
                                       "ROW brown | COMPLETE | READY I"));
        }
    }
    GIVEN("a workspace whose keys the operator removes")
    {
        line_caller c(s.callers_of(1));
        REQUIRE(c.start("browse", "depot-key") == "READY");
        nlohmann::json change = s.config();
        change["tenants"][1]["api-keys"] = nlohmann::json::array();
        s.configure({{"tenants", change["tenants"]}});

        THEN("its open session runs no further statement")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return c.ask("READ bear") == "ERROR UNAUTH | READY I";
                }));
            REQUIRE(line_caller(s.callers_of(1)).start("browse", "ward-key") ==
                    "READY");
        }
    }
    GIVEN("a store that answers no request")
    {
        s.set_store(true);

        THEN("sessions are served from the last known state")
        {
            REQUIRE(eventually_answers(s, 0, "intake", "WRITE hen black",
                                       "COMPLETE | READY I"));
        }
        s.set_store(false);
    }
    GIVEN("metrics and probes")
    {
        const http_reply metrics =
            call_http(s.metrics_of(0), "GET", "/metrics");
        REQUIRE(metrics.m_status == 200);
        for (
            const char* line :
            {R"(bluebellspoke_session_statements_total{route="primary",outcome="served"})",
             "bluebellspoke_session_seconds_bucket{route=\"primary\"",
             "bluebellspoke_group_term_age_seconds{service=\"ledger-db\"}",
             "bluebellspoke_rate_part{workspace=\"ward\"}",
             "bluebellspoke_configuration_age_seconds",
             "bluebellspoke_store_calls_total{result=\"answered\"}"})
        {
            CAPTURE(line);
            CHECK(metrics.m_body.find(line) != std::string::npos);
        }
        REQUIRE(call_http(s.probes_of(0), "GET", "/api/readyz").m_status ==
                200);
    }
}

SCENARIO("A primary on the platform is lost")
{
    site s(2);
    REQUIRE(eventually_answers(s, 0, "ledger", "WRITE bear brown",
                               "COMPLETE | READY I"));
    s.set_endpoint("i-1", false);

    THEN("another endpoint becomes primary with every acknowledged write")
    {
        REQUIRE(eventually_answers(s, 1, "ledger", "WRITE bear white",
                                   "COMPLETE | READY I"));
        REQUIRE(eventually_answers(s, 0, "ledger", "READ bear",
                                   "ROW white | COMPLETE | READY I"));

        WHEN("the former primary returns")
        {
            s.set_endpoint("i-1", true);
            REQUIRE(eventually_answers(s, 0, "ledger", "READ bear",
                                       "ROW white | COMPLETE | READY I"));
        }
    }
}

SCENARIO("A daemon on the platform is told to end")
{
    site s(2);
    REQUIRE(eventually_answers(s, 0, "ledger", "WRITE bear brown",
                               "COMPLETE | READY I"));
    line_caller idle(s.callers_of(0));
    REQUIRE(idle.start("ledger", "ward-key") == "READY");
    line_caller in_transaction(s.callers_of(0));
    REQUIRE(in_transaction.start("ledger", "ward-key") == "READY");
    REQUIRE(in_transaction.ask("BEGIN") == "COMPLETE | READY T");
    REQUIRE(in_transaction.ask("WRITE fox red") == "COMPLETE | READY T");
    s.daemon(0).send_signal(SIGTERM);

    THEN("it isn't ready, and an open transaction can finish")
    {
        REQUIRE(comes_true(
            [&]
            {
                return !s.is_ready(0);
            }));
        REQUIRE(in_transaction.ask("COMMIT") == "COMPLETE | READY I");

        AND_THEN("idle sessions are closed, and it exits")
        {
            REQUIRE_FALSE(idle.line());
            REQUIRE(s.daemon(0).wait() == 0);
            REQUIRE(eventually_answers(s, 1, "ledger", "READ fox",
                                       "ROW red | COMPLETE | READY I"));
        }
    }
}

SCENARIO("A caller leaves while nobody answers the begin of its transaction")
{
    site s(1);
    REQUIRE(eventually_answers(s, 0, "ledger", "WRITE bear brown",
                               "COMPLETE | READY I"));
    s.set_mute("i-1", true);
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        c.send("QUERY left READ bear");
        wait_a_moment();
    }

    THEN("the daemon still runs after the statement's deadline")
    {
        REQUIRE_FALSE(comes_true(
            [&]
            {
                return !s.daemon(0).running();
            },
            past_a_statement));
        s.set_mute("i-1", false);
        REQUIRE(eventually_answers(s, 0, "ledger", "READ bear",
                                   "ROW brown | COMPLETE | READY I"));
    }
}

SCENARIO("A connection is lost while a statement waits to be sent on it again")
{
    site s(1);
    REQUIRE(eventually_answers(s, 0, "ledger", "WRITE bear brown",
                               "COMPLETE | READY I"));
    line_caller c(s.callers_of(0));
    REQUIRE(c.start("ledger", "ward-key") == "READY");
    REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");

    GIVEN("a transaction that has run a statement on it")
    {
        REQUIRE(c.ask("WRITE fox red") == "COMPLETE | READY T");
        s.set_full("i-1", true);
        c.send("QUERY second READ fox");
        wait_a_moment();
        s.set_full("i-1", false);
        s.set_endpoint("i-1", false);
        s.set_endpoint("i-1", true);

        THEN("it is aborted, and doesn't continue on another connection")
        {
            const auto answer = c.line();
            REQUIRE(answer);
            CHECK(answer->starts_with("ERROR ABORTED"));
            CHECK(c.line()->starts_with("READY E"));
            CHECK(c.ask("COMMIT").starts_with("ERROR ABORTED"));
            CHECK(eventually_answers(s, 0, "ledger", "READ fox",
                                     "ROW - | COMPLETE | READY I"));
        }
    }
}
