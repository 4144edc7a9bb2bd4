#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

using namespace std::chrono_literals;
using test_clock = std::chrono::steady_clock;

constexpr std::size_t fleet_size = 6;
constexpr unsigned rate_per_s = 40;

// False, and said so, when no old build is named.
bool has_old_build()
{
    if (old_build())
        return true;
    std::cout << "skipped: BLUEBELLSPOKE_OLD_BUILD names no build\n";
    return false;
}

bool answers(site& s, std::size_t daemon, const std::string& statement,
             const std::string& answer)
{
    return comes_true(
        [&]
        {
            line_caller c(s.callers_of(daemon));
            return c.start("ledger", "ward-key") == "READY" &&
                   c.ask(statement) == answer;
        });
}

// Statements served to callers of every daemon who ask without a pause.
std::size_t served_within(const site& s, test_clock::duration span)
{
    std::vector<std::unique_ptr<line_caller>> callers;
    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        callers.push_back(std::make_unique<line_caller>(s.callers_of(i)));
        REQUIRE(callers.back()->start("browse", key_of(1)) == "READY");
    }
    const auto end = test_clock::now() + span;
    std::size_t served = 0;
    while (test_clock::now() < end)
        for (auto& c : callers)
            served += c->ask("READ bear").starts_with("ROW") ? 1 : 0;
    return served;
}

void replace_all(site& s, const daemon_build& build)
{
    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        s.daemon(i).send_signal(SIGKILL);
        s.daemon(i).wait();
        s.set_build(i, build);
    }
    for (std::size_t i = 0; i < fleet_size; ++i)
        s.start_daemon(i);
    for (std::size_t i = 0; i < fleet_size; ++i)
        REQUIRE(comes_true(
            [&]
            {
                return s.is_ready(i);
            }));
}

json write_of(const std::string& key, const std::string& id)
{
    return {{"kind", "write"},
            {"request_id", id},
            {"statement", "insert into bears values ($1, $2)"},
            {"parameters", {key, "brown bear"}}};
}

json read_of(const std::string& key)
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {key}}};
}

bool serves(const fleet& f, std::size_t daemon, const session& s)
{
    caller c(f.m_daemons[daemon].m_callers);
    return eventually(
        [&]
        {
            return c.send(statement_request(s, read_of("none"))).m_status ==
                   200;
        });
}

}

SCENARIO("Three processes of an old build and three of this one form a fleet")
{
    if (!has_old_build())
        return;
    const std::array builds{*old_build(), current_build()};
    site s({.m_daemons = fleet_size, .m_rate = rate_per_s, .m_builds = builds});

    THEN("sessions at each build read what the other one wrote")
    {
        REQUIRE(answers(s, 0, "WRITE bear brown", "COMPLETE | READY I"));
        REQUIRE(answers(s, 1, "READ bear", "ROW brown | COMPLETE | READY I"));
        REQUIRE(answers(s, 1, "WRITE bear white", "COMPLETE | READY I"));
        REQUIRE(answers(s, 0, "READ bear", "ROW white | COMPLETE | READY I"));
    }
    THEN("all of them together keep a workspace's limit")
    {
        REQUIRE(answers(s, 0, "WRITE bear brown", "COMPLETE | READY I"));
        // The deployments' rule: the limit over a window of 5 s, a tenth and 20
        // operations more.
        constexpr double window = 5;
        constexpr double most = (rate_per_s * window + rate_per_s) * 1.1 + 20;
        served_within(s, 5s);
        const auto served = static_cast<double>(served_within(s, 5s));
        CHECK(served <= most);
        CHECK(served >= rate_per_s * window * 0.7);
    }
    THEN("a key that is withdrawn is refused by all of them")
    {
        json change = s.config();
        change["tenants"][1]["api-keys"] = json::array();
        s.configure({{"tenants", change["tenants"]}});
        for (std::size_t i = 0; i < fleet_size; ++i)
            CHECK(comes_true(
                [&]
                {
                    return line_caller(s.callers_of(i))
                               .start("browse", key_of(1)) == "UNAUTH";
                }));
    }
    WHEN("the primary is lost")
    {
        REQUIRE(answers(s, 0, "WRITE bear brown", "COMPLETE | READY I"));
        s.set_endpoint("i-1", false);

        THEN("processes of both builds follow the same new one")
        {
            REQUIRE(answers(s, 0, "WRITE bear white", "COMPLETE | READY I"));
            REQUIRE(
                answers(s, 1, "READ bear", "ROW white | COMPLETE | READY I"));
        }
    }
}

SCENARIO("One build takes over what the other one wrote into the store")
{
    if (!has_old_build())
        return;
    const bool to_current = GENERATE(true, false);
    CAPTURE(to_current);
    const std::array before{to_current ? *old_build() : current_build()};
    const daemon_build after = to_current ? current_build() : *old_build();
    site s({.m_daemons = fleet_size, .m_builds = before});
    REQUIRE(answers(s, 0, "WRITE bear brown", "COMPLETE | READY I"));
    s.set_endpoint("i-1", false);
    REQUIRE(answers(s, 0, "WRITE bear white", "COMPLETE | READY I"));

    WHEN("all processes are replaced")
    {
        replace_all(s, after);

        THEN("they serve the group as it was left, and can promote in it")
        {
            REQUIRE(
                answers(s, 3, "READ bear", "ROW white | COMPLETE | READY I"));
            s.set_endpoint("i-1", true);
            s.set_endpoint("i-2", false);
            REQUIRE(answers(s, 3, "WRITE bear black", "COMPLETE | READY I"));
        }
    }
}

SCENARIO("Daemons of both builds serve one session")
{
    if (!has_old_build())
        return;
    const bool old_first = GENERATE(true, false);
    CAPTURE(old_first);
    const daemon_build one = old_first ? *old_build() : current_build();
    const daemon_build other = old_first ? current_build() : *old_build();
    const std::array builds{one, other};
    const fleet_options options{
        .m_daemons = fleet_size, .m_lag_ms = 20, .m_builds = builds};
    fleet f(options);
    put_node(f, "ward", {{"kind", "workspace"}, {"service", "group"}});
    session clerk{grant_key(f, "ward", "clerk"), {}};
    REQUIRE(serves(f, 0, clerk));
    REQUIRE(serves(f, 1, clerk));
    caller first(f.m_daemons[0].m_callers);
    caller second(f.m_daemons[1].m_callers);

    GIVEN("a write through one build")
    {
        REQUIRE(
            run_statement(first, clerk, write_of("box-1", "r-1")).m_status ==
            200);

        THEN("the other build takes its session token and reads the write")
        {
            const reply found = run_statement(second, clerk, read_of("box-1"));
            REQUIRE(found.m_status == 200);
            REQUIRE(found.json().at("rows") == json{{"brown bear"}});
        }
        THEN("the other build knows its request id")
        {
            const reply again =
                run_statement(second, clerk, write_of("box-1", "r-1"));
            REQUIRE(again.json().at("first_outcome") == true);
        }
        WHEN("the daemon restarts with the other build")
        {
            daemon_node& d = f.m_daemons[0];
            d.m_process->send_signal(SIGKILL);
            d.m_process->wait();
            d.m_command.front() = other.m_program;
            *std::next(std::find(d.m_command.begin(), d.m_command.end(),
                                 "--charts")) = other.m_charts;
            start_daemon(d);
            REQUIRE(serves(f, 0, clerk));

            THEN("it reads the settings, the key and the session token")
            {
                caller again(d.m_callers);
                const reply found =
                    run_statement(again, clerk, read_of("box-1"));
                REQUIRE(found.m_status == 200);
                REQUIRE(found.json().at("rows") == json{{"brown bear"}});
            }
        }
    }
}
