#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/load/home_choice.hpp>
#include <support/loopback.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

constexpr std::size_t daemons = 6;
constexpr std::size_t zones = 2;
// With members that don't run, in a zone of no known region, the fleet is large
// enough for zone cells and has more processes than an endpoint connections.
constexpr std::size_t fleet = 26;
constexpr std::size_t connections_an_endpoint = 20;
constexpr std::size_t many_connections = 64;

std::string row(const std::string& data)
{
    std::string line = "ROW ";
    return line.append(data).append(" | COMPLETE | READY I");
}

std::string write_of(const std::string& data)
{
    return "WRITE bear " + data;
}

double relayed_in(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "relayed_sessions{direction=\"in\"}").value_or(0);
}

double relayed_out(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "relayed_sessions{direction=\"out\"}").value_or(0);
}

std::size_t leader_of_zone(const site& s, std::size_t zone)
{
    std::size_t found = daemons;
    REQUIRE(comes_true(
        [&]
        {
            for (std::size_t i = zone; i < daemons; i += zones)
                if (s.metric(i, "cell_kept") == 1)
                    found = i;
            return found != daemons;
        }));
    return found;
}

void enlarge(site& s)
{
    for (std::size_t i = daemons; i < fleet; ++i)
        s.add_member("absent-" + std::to_string(i), free_address(), "zone-far");
    s.limit_connections(connections_an_endpoint);
    REQUIRE(comes_true(
        [&]
        {
            for (std::size_t i = 0; i < daemons; ++i)
                if (s.metric(i, "fleet_members") != fleet)
                    return false;
            return true;
        }));
    for (std::size_t zone = 0; zone < zones; ++zone)
        leader_of_zone(s, zone);
}

struct relayed_caller
{
    std::unique_ptr<line_caller> m_caller;
    std::size_t m_accepting = 0;
    std::size_t m_home = 0;
};

std::string name_of(std::size_t daemon)
{
    return "entry-" + std::to_string(daemon);
}

// The home of the first workspace's sessions. At the start, or on a busy
// machine, others may be in its place for a while.
std::size_t expected_home()
{
    std::vector<home_candidate> members;
    for (std::size_t i = 0; i < daemons; ++i)
        members.push_back({name_of(i)});
    const std::string service = "ledger-db";
    const home_table table = choose_homes(members, {service});
    const std::string_view home =
        choose_home(table.at(service), {service, "ward", {}}, {});
    std::size_t number = 0;
    while (name_of(number) != home)
        ++number;
    return number;
}

// A session that runs at another daemon than the one that accepted it. Its zone
// is another one, so that the end of the home never ends the leader that gives
// the accepting process its rate.
relayed_caller start_relayed(const site& s, const std::string& database)
{
    relayed_caller r;
    r.m_home = expected_home();
    r.m_accepting = (r.m_home + 1) % zones;
    REQUIRE(comes_true(
        [&]
        {
            r.m_caller =
                std::make_unique<line_caller>(s.callers_of(r.m_accepting));
            return r.m_caller->start(database, "ward-key") == "READY" &&
                   r.m_caller->ask("READ bear").starts_with("ROW") &&
                   relayed_in(s, r.m_home) == 1;
        }));
    return r;
}

bool runs_at_its_home(const site& s, relayed_caller& r)
{
    return comes_true(
        [&]
        {
            return r.m_caller->ask("READ bear").starts_with("ROW") &&
                   relayed_in(s, r.m_home) == 1;
        });
}

void set_all_mute(const site& s, bool mute)
{
    for (const char* id : {"i-1", "i-2", "i-3"})
        s.set_mute(id, mute);
}

// Sends a statement that no endpoint answers, and waits until it has passed its
// home.
void send_unanswered(const site& s, relayed_caller& r,
                     const std::string& statement)
{
    set_all_mute(s, true);
    r.m_caller->send("QUERY unanswered " + statement);
    constexpr std::chrono::milliseconds passing{300};
    std::this_thread::sleep_for(passing);
}

// The lines of an answer up to its last.
std::string read_answer(line_caller& c)
{
    std::string all;
    while (const auto next = c.line())
    {
        if (next->starts_with("READY"))
            return all + next->substr(0, std::string("READY I").size());
        all.append(next->substr(0, next->find(' ', 6))).append(" | ");
    }
    return all + "end";
}

bool is_served_soon(line_caller& c, const std::string& statement,
                    const std::string& answer)
{
    return comes_true(
        [&]
        {
            return c.ask(statement) == answer;
        });
}

}

SCENARIO("Sessions run at the home process of their workspace")
{
    site s(site_size{.m_daemons = daemons, .m_zones = zones});
    enlarge(s);
    relayed_caller r = start_relayed(s, "intake");
    line_caller& c = *r.m_caller;

    THEN("a session reads its own writes")
    {
        for (int i = 0; i < 10; ++i)
        {
            const std::string data = "d" + std::to_string(i);
            REQUIRE(c.ask(write_of(data)) == "COMPLETE | READY I");
            REQUIRE(c.ask("READ bear") == row(data));
        }
        CHECK(s.metric(r.m_accepting, "relayed_statements_total") >= 20);
        CHECK(s.metric(r.m_accepting, "endpoint_links_opened_total") <=
              s.metric(r.m_home, "endpoint_links_opened_total"));
    }
    THEN("transactions end as they do elsewhere")
    {
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE bear one") == "COMPLETE | READY T");
        REQUIRE(c.ask("READ bear") == "ROW one | COMPLETE | READY T");
        REQUIRE(c.ask("COMMIT") == "COMPLETE | READY I");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE bear two") == "COMPLETE | READY T");
        REQUIRE(c.ask("ROLLBACK") == "COMPLETE | READY I");
        REQUIRE(c.ask("READ bear") == row("one"));
        REQUIRE(c.ask("BEGIN READ") == "COMPLETE | READY T");
        REQUIRE(c.ask("EXECUTE none bear") == "ERROR NOSTMT | READY E");
        REQUIRE(c.ask("COMMIT") == "ERROR ABORTED | READY I");
        REQUIRE(c.ask("READ bear") == row("one"));
    }
    THEN("its prepared names are its own")
    {
        REQUIRE(c.ask("SET zone a") == "COMPLETE | READY I");
        REQUIRE(c.ask("PREPARE p WRITE q") == "COMPLETE | READY I");
        REQUIRE(c.ask("EXECUTE p bear one") == "COMPLETE | READY I");
        REQUIRE(c.ask("PREPARE p READ q") == "COMPLETE | READY I");
        REQUIRE(c.ask("EXECUTE p bear") == row("one"));
        REQUIRE(c.ask("DEALLOCATE p") == "COMPLETE | READY I");
        REQUIRE(c.ask("EXECUTE p bear") == "ERROR NOSTMT | READY I");
    }
    THEN("an explanation names the home, and the home itself")
    {
        const auto home_at = [&](std::size_t daemon)
        {
            return nlohmann::json::parse(
                       call_http(s.metrics_of(daemon), "GET",
                                 "/explain?database=intake&key=ward-key")
                           .m_body)
                .at("home");
        };
        const std::string home = "entry-" + std::to_string(r.m_home);
        CHECK(home_at(r.m_accepting).at("process") == home);
        CHECK(home_at(r.m_accepting).at("reason") == "passed on");
        CHECK(home_at(r.m_home).at("process").is_null());
        CHECK(home_at(r.m_home).at("reason") == "is the home");
    }
    THEN("callers can't send what processes send each other")
    {
        c.send("RESUME vm 1 9.9");
        REQUIRE(read_answer(c) == "ERROR MALFORMED | READY I");
        c.send("QUERY - READ bear");
        REQUIRE(read_answer(c) == "ERROR MALFORMED | READY I");
    }
    WHEN("the route is restricted to another region")
    {
        nlohmann::json routes = s.config()["routes"];
        routes[2]["allowed-regions"] = {"far"};
        s.configure({{"routes", routes}});

        // Another process of the region was sent them, and refused them.
        THEN("its statements are no longer passed on")
        {
            REQUIRE(comes_true(
                [&]
                {
                    c.ask("READ bear");
                    return relayed_out(s, r.m_accepting) == 0;
                },
                past_a_statement));
        }
    }
    WHEN("each process gets a connection of its own")
    {
        s.limit_connections(many_connections);

        THEN("it runs where it was accepted")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return c.ask("READ bear").starts_with("ROW") &&
                           relayed_out(s, r.m_accepting) == 0;
                }));
        }
    }
    GIVEN("a session with a write, a value and a prepared name")
    {
        // One replica is behind by more than the route allows.
        s.set_deaf("i-3", true);
        REQUIRE(c.ask("SET zone a") == "COMPLETE | READY I");
        REQUIRE(c.ask("PREPARE p READ q") == "COMPLETE | READY I");
        REQUIRE(c.ask("EXECUTE p bear").starts_with("ROW"));
        REQUIRE(c.ask("WRITE bear mine") == "COMPLETE | READY I");
        REQUIRE(runs_at_its_home(s, r));

        WHEN("its home is killed")
        {
            s.daemon(r.m_home).send_signal(SIGKILL);

            THEN("it goes on elsewhere with all of them")
            {
                REQUIRE(is_served_soon(c, "EXECUTE p bear", row("mine")));
                for (int i = 0; i < 10; ++i)
                    REQUIRE(c.ask("READ bear") == row("mine"));
                REQUIRE(relayed_in(s, r.m_accepting) == 0);
            }
            AND_WHEN("it is started again")
            {
                s.start_daemon(r.m_home);

                THEN("the session moves back")
                {
                    REQUIRE(comes_true(
                        [&]
                        {
                            return c.ask("READ bear") == row("mine") &&
                                   relayed_in(s, r.m_home) == 1;
                        }));
                }
            }
        }
        // The last process of that zone becomes the home of some sessions, but
        // gets no tokens of their rates.
        WHEN("its home and the leader of the home's zone are killed")
        {
            const std::size_t leader = leader_of_zone(s, r.m_home % zones);
            s.daemon(r.m_home).send_signal(SIGKILL);
            s.daemon(leader).send_signal(SIGKILL);

            THEN("no statement is refused")
            {
                constexpr int statements = 40;
                for (int i = 0; i < statements; ++i)
                {
                    REQUIRE(c.ask("READ bear") == row("mine"));
                    wait_a_moment();
                }
            }
        }
        WHEN("its home is told to end")
        {
            s.daemon(r.m_home).send_signal(SIGTERM);

            THEN("no statement is lost")
            {
                for (int i = 0; i < 20; ++i)
                {
                    const std::string data = "d" + std::to_string(i);
                    REQUIRE(c.ask(write_of(data)) == "COMPLETE | READY I");
                    REQUIRE(c.ask("EXECUTE p bear") == row(data));
                    wait_a_moment();
                }
                CHECK(s.daemon(r.m_home).wait() == 0);
            }
        }
        WHEN("its home is suspended")
        {
            s.daemon(r.m_home).send_signal(SIGSTOP);

            THEN("a statement ends in time, and the next ones run elsewhere")
            {
                REQUIRE(c.ask("WRITE bear other") == "ERROR TIMEOUT | READY I");
                REQUIRE(is_served_soon(c, "READ dog", row("-")));
            }
            s.daemon(r.m_home).send_signal(SIGCONT);
        }
    }
    GIVEN("a write that is running")
    {
        REQUIRE(runs_at_its_home(s, r));
        send_unanswered(s, r, "WRITE bear late");
        s.daemon(r.m_home).send_signal(SIGKILL);

        THEN("it isn't promised that nothing was kept")
        {
            REQUIRE(read_answer(c) == "ERROR UNKNOWN | READY I");
        }
    }
    GIVEN("a read that is running")
    {
        REQUIRE(runs_at_its_home(s, r));
        send_unanswered(s, r, "READ bear");
        set_all_mute(s, false);
        s.daemon(r.m_home).send_signal(SIGKILL);

        THEN("it runs again elsewhere")
        {
            const std::string answer = read_answer(c);
            CAPTURE(answer);
            REQUIRE(answer.starts_with("ROW"));
        }
    }
    GIVEN("an open transaction that has written")
    {
        REQUIRE(runs_at_its_home(s, r));
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE bear lost") == "COMPLETE | READY T");

        WHEN("its home is killed")
        {
            s.daemon(r.m_home).send_signal(SIGKILL);

            THEN("it is aborted, and nothing of it is kept")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return relayed_out(s, r.m_accepting) == 0;
                    }));
                REQUIRE(c.ask("WRITE bear more") == "ERROR ABORTED | READY E");
                REQUIRE(c.ask("ROLLBACK") == "COMPLETE | READY I");
                REQUIRE(is_served_soon(c, "READ bear", row("-")));
            }
        }
        WHEN("its home is killed while it commits")
        {
            send_unanswered(s, r, "COMMIT");
            s.daemon(r.m_home).send_signal(SIGKILL);

            THEN("the outcome is said to be unknown")
            {
                REQUIRE(read_answer(c) == "ERROR UNKNOWN | READY I");
            }
        }
        WHEN("the process that accepted the session is told to end")
        {
            s.daemon(r.m_accepting).send_signal(SIGTERM);
            wait_a_moment();

            THEN("it can be finished")
            {
                REQUIRE(c.ask("WRITE bear kept") == "COMPLETE | READY T");
                REQUIRE(c.ask("COMMIT") == "COMPLETE | READY I");
                REQUIRE_FALSE(c.line());
                CHECK(s.daemon(r.m_accepting).wait() == 0);
            }
            THEN("it is aborted if it isn't finished in time")
            {
                constexpr std::chrono::milliseconds half_grace{3300};
                std::this_thread::sleep_for(half_grace);
                REQUIRE(c.ask("WRITE bear late") == "ERROR ABORTED | READY E");
                REQUIRE(relayed_in(s, r.m_home) == 1);
            }
        }
        WHEN("its home is told to end")
        {
            s.daemon(r.m_home).send_signal(SIGTERM);
            wait_a_moment();

            THEN("it can be finished")
            {
                REQUIRE(c.ask("WRITE bear kept") == "COMPLETE | READY T");
                REQUIRE(c.ask("COMMIT") == "COMPLETE | READY I");
                REQUIRE(is_served_soon(c, "READ bear", row("kept")));
                CHECK(s.daemon(r.m_home).wait() == 0);
            }
        }
    }
}
