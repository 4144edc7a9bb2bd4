#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "stories.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

json in_transaction(json body, const std::string& transaction)
{
    body.erase("request_id");
    body["transaction"] = transaction;
    return body;
}

// A transaction keeps the first connection, so the read opens another.
void open_two_connections(caller& c, session& s)
{
    const std::string id = c.send(begin_request(s)).json().at("transaction");
    REQUIRE(run_statement(c, s, find_bear("box-0")).m_status == 200);
    REQUIRE(c.send(end_request(s, id, "rollback")).m_status == 200);
}

std::size_t bears_in(caller& c, session& s, const std::string& box)
{
    return run_statement(c, s, find_bear(box)).json().at("rows").size();
}

}

SCENARIO("A write is in doubt when its primary is lost")
{
    GIVEN("a ward whose replicas no longer hear the primary in time")
    {
        // Longer than a failover: nothing confirms before it.
        ward w({.m_daemons = 2, .m_lag_ms = 3000, .m_relays = true});
        caller clerk(w.m_fleet.m_daemons[0].m_callers);
        caller other(w.m_fleet.m_daemons[1].m_callers);
        endpoint_node& primary = w.m_fleet.m_endpoints[0];

        WHEN("writes reach a primary that was just frozen")
        {
            open_two_connections(clerk, w.m_clerk);
            json named = insert_bear("box-1", "r-1");
            json unnamed = insert_bear("box-2", "");
            std::vector<http2_request> both;
            both.push_back(statement_request(w.m_clerk, named));
            both.push_back(statement_request(w.m_clerk, unnamed));
            primary.m_process->send_signal(SIGSTOP);
            std::vector<reply> replies;
            std::thread later(
                [&]
                {
                    eventually(
                        [&]
                        {
                            return primary_moves_from(w.m_fleet.m_daemons[1],
                                                      0);
                        },
                        failover_target);
                });
            replies = clerk.send_all(std::move(both));
            later.join();

            THEN("the one with a request id ran once on the new primary")
            {
                CAPTURE(replies[0].m_body);
                const bool known = replies[0].m_status == 200 ||
                                   replies[0].outcome() == "outcome_unknown";
                REQUIRE(known);
                const reply again = run_statement(other, w.m_clerk, named);
                CAPTURE(again.m_body);
                REQUIRE(again.m_status == 200);
                REQUIRE(bears_in(other, w.m_clerk, "box-1") == 1);

                // It has yet to read the writes, in a term that is over.
                primary.m_process->send_signal(SIGCONT);
                REQUIRE(eventually(
                    [&]
                    {
                        const json e =
                            endpoint_seen_by(w.m_fleet.m_daemons[0], 0);
                        return e.value("role", "") == "replica" &&
                               e.value("fence", 0) > 1;
                    },
                    failover_target));
                REQUIRE(bears_in(other, w.m_clerk, "box-1") == 1);
            }
            THEN("the other never says that it did not run")
            {
                CAPTURE(replies[1].m_body);
                REQUIRE(replies[1].outcome() == "outcome_unknown");
            }
        }
        WHEN("a write finds no connection to a primary that was just frozen")
        {
            const std::string id =
                clerk.send(begin_request(w.m_clerk)).json().at("transaction");
            primary.m_process->send_signal(SIGSTOP);
            const reply waited =
                run_statement(clerk, w.m_clerk, insert_bear("box-3", ""));

            THEN("it was never handed over, and runs at most once elsewhere")
            {
                CAPTURE(waited.m_body);
                const bool ran = waited.m_status == 200;
                const bool not_run = waited.outcome() == "not_run";
                REQUIRE(
                    (ran || not_run || waited.outcome() == "outcome_unknown"));
                REQUIRE(eventually(
                    [&]
                    {
                        return run_statement(other, w.m_clerk,
                                             find_bear("box-3"))
                                   .m_status == 200;
                    },
                    failover_target));
                const std::size_t found = bears_in(other, w.m_clerk, "box-3");
                REQUIRE(found <= 1);
                if (ran)
                    REQUIRE(found == 1);
                if (not_run)
                    REQUIRE(found == 0);
            }
        }
    }
}

SCENARIO("A transaction meets a failure")
{
    GIVEN("a transaction with a statement in it")
    {
        ward w({.m_daemons = 2, .m_lag_ms = 10, .m_relays = true});
        caller clerk(w.m_fleet.m_daemons[0].m_callers);
        caller other(w.m_fleet.m_daemons[1].m_callers);
        const std::string id =
            clerk.send(begin_request(w.m_clerk)).json().at("transaction");
        REQUIRE(run_statement(clerk, w.m_clerk,
                              in_transaction(insert_bear("box-1", ""), id))
                    .m_status == 200);

        WHEN("another statement of it fails and it is committed all the same")
        {
            json broken{{"statement", "select nonsense"}, {"transaction", id}};
            REQUIRE(run_statement(clerk, w.m_clerk, broken).outcome() ==
                    "not_run");
            const reply ended =
                clerk.send(end_request(w.m_clerk, id, "commit"));

            THEN("the commit is refused, for the endpoint rolled back")
            {
                CAPTURE(ended.m_body);
                REQUIRE(ended.outcome() == "not_run");
                REQUIRE(bears_in(clerk, w.m_clerk, "box-1") == 0);
            }
        }
        WHEN("the primary is replaced before its commit")
        {
            w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);
            REQUIRE(primary_moves_from(w.m_fleet.m_daemons[0], 0));
            const reply ended =
                clerk.send(end_request(w.m_clerk, id, "commit"));

            THEN("nothing of it is acknowledged or kept")
            {
                CAPTURE(ended.m_body);
                REQUIRE(ended.m_status != 200);
                REQUIRE(bears_in(other, w.m_clerk, "box-1") == 0);
            }
        }
        WHEN("its daemon is killed")
        {
            w.m_fleet.m_daemons[0].m_process->send_signal(SIGKILL);

            THEN("nothing of it is kept, and others go on")
            {
                REQUIRE(
                    run_statement(other, w.m_clerk, insert_bear("box-2", "r-2"))
                        .m_status == 200);
                REQUIRE(bears_in(other, w.m_clerk, "box-1") == 0);
            }
        }
    }
}

SCENARIO("Endpoints are removed while they work")
{
    GIVEN("a ward with reads under way at every endpoint")
    {
        ward w({.m_daemons = 1, .m_service_us = 20'000});
        // The rate isn't what this is about.
        ctl(w.m_fleet, {"set", "ward", "rate", "100000"});
        ctl(w.m_fleet, {"set", "ward", "burst", "100000"});
        caller clerk(w.m_fleet.m_daemons[0].m_callers);
        constexpr std::size_t count = 60;
        std::vector<http2_request> reads;
        reads.reserve(count);
        json read = find_bear("box-1");
        read["max_age_ms"] = 10'000;
        for (std::size_t i = 0; i < count; ++i)
            reads.push_back(statement_request(w.m_clerk, read));

        WHEN("two of them leave the settings at once")
        {
            std::thread edit(
                [&]
                {
                    json node{{"kind", "service"}, {"slots", 5}};
                    const endpoint_node& kept = w.m_fleet.m_endpoints[0];
                    node["endpoints"] = {
                        {{"name", kept.m_name},
                         {"address", to_string(kept.m_address)},
                         {"zone", kept.m_zone}}};
                    put_node_unchecked(w.m_fleet, "group", node);
                });
            const std::vector<reply> replies = clerk.send_all(std::move(reads));
            edit.join();

            THEN("every read is answered by what is left")
            {
                for (const reply& r : replies)
                    REQUIRE(r.m_status == 200);
            }
        }
    }
}
