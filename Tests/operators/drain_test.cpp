#include <csignal>
#include <random>
#include <thread>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

/// What one caller saw of its writes.
struct caller_log
{
    std::vector<std::string> m_acknowledged;
    std::vector<std::string> m_not_run;
    std::vector<std::string> m_unclear; ///< Any other end.
};

bool is_unprocessed(const reply& r)
{
    return r.m_failure == http2_failure::not_sent || r.outcome() == "not_run";
}

void take(caller_log& log, const std::string& id, const reply& r)
{
    if (r.m_status == 200)
        log.m_acknowledged.push_back(id);
    else if (is_unprocessed(r))
        log.m_not_run.push_back(id);
    else
        log.m_unclear.push_back(id + ": " + r.m_body);
}

// Writes in bursts until the daemon takes no more.
caller_log write_until_refused(const daemon_node& d, const session& s,
                               const std::string& name, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> burst(1, 12);
    caller c(d.m_callers);
    caller_log log;
    for (int next = 0; log.m_not_run.empty() && log.m_unclear.empty();)
    {
        std::vector<http2_request> requests;
        std::vector<std::string> ids;
        for (int i = burst(random); i > 0; --i)
        {
            ids.push_back(name + "-" + std::to_string(next++));
            requests.push_back(statement_request(s, write_bear(ids.back())));
        }
        const std::vector<reply> replies = c.send_all(std::move(requests));
        for (std::size_t i = 0; i < replies.size(); ++i)
            take(log, ids[i], replies[i]);
    }
    return log;
}

bool is_stored(ward& w, const std::string& id)
{
    const json read{{"statement", "select value from bears where key = $1"},
                    {"parameters", {id}}};
    const reply found =
        w.m_callers[1]->send(statement_request(w.m_clerk, read));
    return !found.json().at("rows").empty();
}

}

TEST_CASE("A graceful shutdown cuts no request")
{
    const unsigned seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    ward w({.m_daemons = 2, .m_service_us = 5'000});
    daemon_node& leaving = w.m_fleet.m_daemons[0];
    constexpr std::size_t callers = 6;
    std::vector<caller_log> logs(callers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i)
        threads.emplace_back(
            [&, i]
            {
                logs[i] = write_until_refused(
                    leaving, w.m_clerk, "c" + std::to_string(i),
                    seed * 100 + static_cast<unsigned>(i));
            });
    const bool busy = eventually(
        [&]
        {
            return dump_of(leaving).at("pool").at("requests") >= callers;
        });
    leaving.m_process->send_signal(SIGTERM);
    const bool unready = eventually(
        [&]
        {
            return admin_get(leaving, "/ready").m_status == 503;
        });
    for (std::thread& thread : threads)
        thread.join();
    REQUIRE(busy);
    REQUIRE(unready);
    REQUIRE(leaving.m_process->wait() == 0);

    for (const caller_log& log : logs)
    {
        REQUIRE(log.m_unclear.empty());
        REQUIRE(!log.m_acknowledged.empty());
        for (const std::string& id : log.m_acknowledged)
            REQUIRE(is_stored(w, id));
        for (const std::string& id : log.m_not_run)
            REQUIRE_FALSE(is_stored(w, id));
    }
}

TEST_CASE("A drain waits for open transactions")
{
    ward w({.m_daemons = 2});
    daemon_node& leaving = w.m_fleet.m_daemons[0];
    GIVEN("a transaction that is open when the drain begins")
    {
        caller& c = *w.m_callers[0];
        const std::string id =
            c.send(begin_request(w.m_clerk)).json().at("transaction");
        leaving.m_process->send_signal(SIGTERM);
        REQUIRE(eventually(
            [&]
            {
                return dump_of(leaving).at("front").at("draining") == true;
            }));

        THEN("its statements and its commit go through, nothing new does")
        {
            const reply refused = read_through(w, 0);
            REQUIRE(refused.error() == "draining");
            REQUIRE(refused.outcome() == "not_run");
            json claim = write_bear("claim");
            claim.erase("request_id");
            claim["transaction"] = id;
            REQUIRE(run_statement(c, w.m_clerk, claim).m_status == 200);
            REQUIRE(c.send(end_request(w.m_clerk, id, "commit")).m_status ==
                    200);
            REQUIRE(leaving.m_process->wait() == 0);
            REQUIRE(is_stored(w, "claim"));
        }
    }
}

TEST_CASE("A drain ends at its limit")
{
    ward w({.m_daemons = 2,
            .m_service_us = 8'000'000,
            .m_daemon_words = {"--drain-grace-ms", "0", "--drain-limit-ms",
                               "300"}});
    daemon_node& leaving = w.m_fleet.m_daemons[0];
    reply cut;
    std::thread clerk(
        [&]
        {
            caller c(leaving.m_callers);
            cut = c.send(statement_request(w.m_clerk, write_bear("late")));
        });
    const bool busy = eventually(
        [&]
        {
            return dump_of(leaving).at("pool").at("requests") == 1;
        });
    leaving.m_process->send_signal(SIGTERM);
    clerk.join();
    REQUIRE(busy);
    THEN("what still runs is refused with its true fate")
    {
        REQUIRE(cut.error() == "draining");
        REQUIRE(cut.outcome() == "outcome_unknown");
        REQUIRE(leaving.m_process->wait() == 0);
    }
}
