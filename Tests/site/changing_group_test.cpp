#include <chrono>
#include <string>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// Longer than an endpoint needs to join, within promotion_timeout.
constexpr std::chrono::milliseconds promotion_delay{800};
// Moments in which another failover begins and ends; one takes some 4 s.
constexpr int past_a_failover = 320;
// Moments in which a statement reaches the primary, if it may.
constexpr int past_a_sending = 20;
// Moments past the expiry of a drained endpoint's log, 5 s, and past two
// attempts to replace the primary, 8 s each.
constexpr int past_drained_logs = 840;

bool eventually_writes(const site& s, const std::string& item,
                       const std::string& data)
{
    return comes_true(
        [&]
        {
            line_caller c(s.callers_of(0));
            return c.start("ledger", "ward-key") == "READY" &&
                   c.ask("WRITE " + item + " " + data) == "COMPLETE | READY I";
        });
}

// Statements may take longer than a failover.
void lengthen_statements(site& s)
{
    nlohmann::json routes = s.config()["routes"];
    for (nlohmann::json& route : routes)
        route["timeout-ms"] = 6000;
    s.configure({{"routes", routes}});
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "settings_version") == s.config()["version"];
        }));
}

// Removes the primary's entry, and waits until a successor is chosen.
void begin_failover_without_entry(const site& s)
{
    s.set_listed("i-1", false);
    REQUIRE(comes_true(
        [&]
        {
            return !s.decided_successor().empty();
        }));
}

// Waits until the promotion is ordered, or the failover is given up.
void await_order(const site& s)
{
    REQUIRE(comes_true(
        [&]
        {
            return s.is_promotion_pending() || s.decided_successor().empty();
        },
        past_a_failover));
}

// Demands that the write is in the log of whoever leads after the failover, if
// it was acknowledged. An unknown outcome promises nothing.
void check_promoted_log(const site& s, bool is_acknowledged)
{
    REQUIRE(comes_true(
        [&]
        {
            return s.decided_successor().empty() && !s.is_promotion_pending();
        }));
    REQUIRE(eventually_writes(s, "bear", "black"));
    if (!is_acknowledged)
        return;
    comes_true(
        [&]
        {
            return s.read_directly("wolf") == "white";
        },
        past_a_failover);
    CHECK(s.read_directly("wolf") == "white");
}

}

// Guards against LOST: a primary that is listed again during a failover isn't
// fenced, and a replica that joins completes its commits.
SCENARIO("A primary's entry returns while a failover is in progress")
{
    site s(1);
    lengthen_statements(s);
    s.set_promotion_delay(promotion_delay);
    REQUIRE(eventually_writes(s, "bear", "brown"));

    GIVEN("a failover that began without it, and a write that waits")
    {
        begin_failover_without_entry(s);
        s.set_listed("i-1", true);
        const std::string before = s.position_of("i-1");
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        c.begin("WRITE wolf white");
        comes_true(
            [&]
            {
                return s.position_of("i-1") != before;
            },
            past_a_sending);

        WHEN("a replica joins that isn't listed yet")
        {
            s.start_unlisted_endpoint("i-4");

            THEN("the promoted log has the write if it was acknowledged")
            {
                check_promoted_log(s, c.answer() == "COMPLETE | READY I");
            }
        }
        WHEN("a replica joins after the promotion was ordered")
        {
            await_order(s);
            s.start_endpoint("i-4");

            THEN("the promoted log has the write if it was acknowledged")
            {
                check_promoted_log(s, c.answer() == "COMPLETE | READY I");
            }
        }
    }
}

// Guards against LOST: a primary whose entry has expired goes on unfenced, and
// other processes have their commits acknowledged by it.
SCENARIO("A primary stays unlisted during a failover, and a replica joins")
{
    site s(1);
    s.set_promotion_delay(promotion_delay);
    REQUIRE(eventually_writes(s, "bear", "brown"));

    GIVEN("a failover that began without its entry")
    {
        begin_failover_without_entry(s);

        WHEN("a replica joins that isn't listed yet")
        {
            s.start_unlisted_endpoint("i-4");

            THEN("the promoted log has a write that is acknowledged then")
            {
                check_promoted_log(s, s.write_directly("wolf", "white"));
            }
        }
        WHEN("a replica joins after the promotion was ordered")
        {
            await_order(s);
            s.start_endpoint("i-4");

            THEN("the promoted log has a write that is acknowledged then")
            {
                check_promoted_log(s, s.write_directly("wolf", "white"));
            }
        }
    }
}

// Guards against LOST: endpoints that never held a commit count as logs that
// could, and those that ended are forgotten before they are replaced.
SCENARIO("Replicas join while nobody leads")
{
    site s(1);
    REQUIRE(eventually_writes(s, "bear", "brown"));

    GIVEN("a commit that the primary and one of the replicas have")
    {
        s.set_deaf("i-3", true);
        REQUIRE(eventually_writes(s, "wolf", "white"));

        WHEN("both end after they drained, and empty endpoints join")
        {
            s.drain_endpoint("i-1");
            s.drain_endpoint("i-2");
            s.set_endpoint("i-1", false);
            s.set_endpoint("i-2", false);
            REQUIRE(comes_true(
                [&]
                {
                    return s.is_paused("i-3");
                },
                past_a_failover));
            s.end_endpoint("i-1");
            s.end_endpoint("i-2");
            s.start_endpoint("i-4");
            s.start_endpoint("i-5");

            THEN("none that lacks the commit is promoted")
            {
                std::string promoted;
                comes_true(
                    [&]
                    {
                        promoted = s.primary();
                        return !promoted.empty();
                    },
                    past_drained_logs);
                INFO("promoted: " << promoted);
                CHECK(promoted.empty());
            }
        }
        WHEN("the primary alone ends, and empty endpoints join")
        {
            s.drain_endpoint("i-1");
            s.end_endpoint("i-1");
            s.start_endpoint("i-4");
            s.start_endpoint("i-5");

            THEN("the replica that has the commit is promoted")
            {
                CHECK(eventually_writes(s, "bear", "black"));
                CHECK(s.read_directly("wolf") == "white");
            }
        }
    }
}
