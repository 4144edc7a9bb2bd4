#include <chrono>
#include <csignal>
#include <string>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// The time in which a deployment has to recover.
constexpr std::chrono::seconds recovery_time{12};
// Moments in which another failover begins and ends; one takes some 4 s.
constexpr int past_a_failover = 320;

// Repeats a statement, each time in a new session, until it is answered.
bool eventually_answers(const site& s, std::size_t daemon,
                        const std::string& statement, const std::string& answer)
{
    return comes_true(
        [&]
        {
            line_caller c(s.callers_of(daemon));
            return c.start("ledger", "ward-key") == "READY" &&
                   c.ask(statement) == answer;
        });
}

bool eventually_writes(const site& s, const std::string& data,
                       std::size_t daemon = 0)
{
    return eventually_answers(s, daemon, "WRITE bear " + data,
                              "COMPLETE | READY I");
}

bool eventually_reads(const site& s, const std::string& data,
                      std::size_t daemon = 0)
{
    return eventually_answers(s, daemon, "READ bear",
                              "ROW " + data + " | COMPLETE | READY I");
}

// Waits until the daemon has stored whom it is going to promote.
std::string await_decision(const site& s)
{
    std::string successor;
    REQUIRE(comes_true(
        [&]
        {
            successor = s.decided_successor();
            return !successor.empty();
        }));
    return successor;
}

std::string other_replica(const std::string& successor)
{
    return successor == "i-2" ? "i-3" : "i-2";
}

// Sets a time limit of statements that is shorter than commit_stall_timeout.
void shorten_statements(site& s)
{
    nlohmann::json routes = s.config()["routes"];
    for (nlohmann::json& route : routes)
        route["timeout-ms"] = 800;
    s.configure({{"routes", routes}});
}

bool holds_duty(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "duty_held") == 1;
}

}

// Guards against a promotion decided on by an ended process that is carried out
// by its successor long after, when another replica has the longer log.
SCENARIO("A takeover is abandoned after its successor was stored")
{
    site s(1);
    shorten_statements(s);
    REQUIRE(eventually_writes(s, "brown"));
    s.set_dark("i-1", true);
    const std::string successor = await_decision(s);
    s.daemon(0).send_signal(SIGKILL);
    s.daemon(0).wait();
    s.start_daemon(0);
    REQUIRE(comes_true(
        [&]
        {
            return holds_duty(s, 0);
        }));
    s.set_dark("i-1", false);
    REQUIRE(eventually_writes(s, "white"));

    WHEN("a replica misses commits, and the primary is lost")
    {
        const std::string primary = s.primary();
        const std::string behind = successor == primary ? "i-1" : successor;
        s.set_deaf(behind, true);
        REQUIRE(eventually_writes(s, "black"));
        s.set_endpoint(primary, false);

        THEN("the one that has them is promoted")
        {
            CHECK(eventually_reads(s, "black"));
        }
    }
}

// Guards against a successor that lacks commits: a replica that restarts is no
// longer paused, and acknowledges commits of the old primary again.
SCENARIO("A fenced replica restarts before the promotion")
{
    site s(1);
    REQUIRE(eventually_writes(s, "brown"));

    GIVEN("a primary that the daemon doesn't reach, but others do")
    {
        s.set_dark("i-1", true);
        const std::string successor = await_decision(s);
        const std::string other = other_replica(successor);
        s.set_endpoint(other, false);
        s.set_endpoint(other, true);
        REQUIRE(s.write_directly("bear", "white"));

        THEN("its new commit is in the promoted log")
        {
            CHECK(eventually_reads(s, "white"));
            CHECK(s.primary() == other);
        }
    }
}

// Guards against replicas that stay paused when the process that paused them
// has ended and its successor finds the primary alive: no commit is possible.
SCENARIO("The holder of the duty ends during a takeover")
{
    site s(2);
    shorten_statements(s);
    REQUIRE(eventually_writes(s, "brown"));
    s.set_dark("i-1", true);
    await_decision(s);
    const std::size_t holder = holds_duty(s, 0) ? 0 : 1;
    const std::size_t other = 1 - holder;
    s.daemon(holder).send_signal(SIGKILL);
    s.daemon(holder).wait();

    WHEN("the primary answers before the other process has the duty")
    {
        s.set_dark("i-1", false);
        const auto begin = std::chrono::steady_clock::now();

        // Without a commit, whose stall would start another takeover.
        THEN("the replicas are resumed, and writes are served again")
        {
            CHECK(comes_true(
                [&]
                {
                    return !s.is_paused("i-2") && !s.is_paused("i-3");
                }));
            CHECK(eventually_writes(s, "white", other));
            CHECK(std::chrono::steady_clock::now() - begin <= recovery_time);
        }
    }
}

// Guards against a replica that stays paused, while the other one alone keeps
// the group writable until it is lost too.
SCENARIO("A replica is paused without a takeover")
{
    site s(1);
    REQUIRE(eventually_writes(s, "brown"));
    s.pause("i-2");

    THEN("it receives commits again")
    {
        REQUIRE(comes_true(
            [&]
            {
                return !s.is_paused("i-2");
            }));
    }
}

// Guards against a failover that isn't begun while an earlier primary hasn't
// answered the order to step down, and against such an order to the present
// primary after a failover that was given up.
SCENARIO("A failover is given up before an earlier primary has stepped down")
{
    site s(1);
    REQUIRE(eventually_writes(s, "brown"));
    s.set_dark("i-1", true);
    const std::string primary = await_decision(s);
    REQUIRE(eventually_writes(s, "white"));
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "promotions_total") == 1;
        }));
    // Two of three don't answer, so that nobody can be promoted.
    s.set_dark(primary, true);
    const std::string replica = other_replica(primary);
    REQUIRE(comes_true(
        [&]
        {
            return s.is_paused(replica);
        },
        past_a_failover));
    s.set_dark(primary, false);

    THEN("the present primary goes on")
    {
        CHECK(eventually_writes(s, "black"));
        CHECK_FALSE(comes_true(
            [&]
            {
                return s.metric(0, "promotions_total") > 1;
            },
            past_a_failover));
        CHECK(eventually_writes(s, "green"));
    }
}

// Guards against a primary that is never replaced although it acknowledges no
// commit, as each commit's time is over before it counts as stalled.
SCENARIO("Commits stall on a route with a short time limit")
{
    site s(1);
    shorten_statements(s);
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "settings_version") == s.config()["version"];
        }));
    REQUIRE(eventually_writes(s, "brown"));
    s.set_deaf("i-2", true);
    s.set_deaf("i-3", true);

    WHEN("one caller writes once")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("WRITE bear white") == "ERROR TIMEOUT | READY I");

        THEN("the primary is replaced")
        {
            CHECK(comes_true(
                [&]
                {
                    return s.metric(0, "promotions_total") == 1;
                }));
            s.set_deaf("i-2", false);
            s.set_deaf("i-3", false);
            CHECK(eventually_writes(s, "black"));
        }
    }
    WHEN("one caller commits a transaction")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE bear white") == "COMPLETE | READY T");
        REQUIRE(c.ask("COMMIT") == "ERROR UNKNOWN | READY I");

        THEN("the primary is replaced, and the session goes on")
        {
            CHECK(comes_true(
                [&]
                {
                    return s.metric(0, "promotions_total") == 1;
                }));
            s.set_deaf("i-2", false);
            s.set_deaf("i-3", false);
            CHECK(eventually_writes(s, "black"));
            CHECK(c.ask("BEGIN") == "COMPLETE | READY T");
            CHECK(c.ask("COMMIT") == "COMPLETE | READY I");
        }
    }
    WHEN("a commit is acknowledged after the one that timed out")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("WRITE bear white") == "ERROR TIMEOUT | READY I");
        s.set_deaf("i-2", false);
        s.set_deaf("i-3", false);
        REQUIRE(eventually_writes(s, "black"));

        THEN("the primary stays")
        {
            CHECK_FALSE(comes_true(
                [&]
                {
                    return s.metric(0, "promotions_total") > 0;
                },
                past_a_failover));
        }
    }
}
