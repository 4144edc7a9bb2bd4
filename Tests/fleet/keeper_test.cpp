#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

using namespace std::chrono_literals;
using test_clock = std::chrono::steady_clock;

constexpr site_size two_cells{
    .m_daemons = 26, .m_zones = 2, .m_workspaces = 4, .m_rate = 20};

bool keeps(const site& s, std::size_t daemon)
{
    return call_http(s.metrics_of(daemon), "GET", "/metrics")
               .m_body.find("\nbluebellspoke_cell_kept 1") != std::string::npos;
}

// Daemons are spread over the zones in turn.
std::vector<std::size_t> keepers_of(const site& s, std::size_t zone)
{
    std::vector<std::size_t> found;
    for (std::size_t i = zone; i < two_cells.m_daemons; i += two_cells.m_zones)
        if (keeps(s, i))
            found.push_back(i);
    return found;
}

bool is_served(const site& s, std::size_t daemon, std::size_t workspace)
{
    line_caller c(s.callers_of(daemon));
    return c.start("browse", key_of(workspace)) == "READY" &&
           c.ask("READ bear") == "ROW - | COMPLETE | READY I";
}

// Answers of the store that a daemon has counted.
double store_answers(const site& s, std::size_t daemon)
{
    const std::string text =
        call_http(s.metrics_of(daemon), "GET", "/metrics").m_body;
    const std::string name =
        "bluebellspoke_store_calls_total{result=\"answered\"} ";
    const std::size_t at = text.find(name);
    REQUIRE(at != std::string::npos);
    return std::stod(text.substr(at + name.size()));
}

// Longer than a watch of the store.
void wait_a_while()
{
    std::this_thread::sleep_for(4s);
}

// Every daemon but one refuses the key.
bool all_refuse(const site& s, const std::string& key, std::size_t but)
{
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        if (i != but &&
            line_caller(s.callers_of(i)).start("browse", key) != "UNAUTH")
            return false;
    return true;
}

void withdraw_key(site& s, std::size_t workspace)
{
    nlohmann::json change = s.config();
    change["tenants"][workspace]["api-keys"] = nlohmann::json::array();
    s.configure({{"tenants", change["tenants"]}});
}

// Statements that were served of as many as can be asked within the span.
std::size_t flood(const site& s, std::size_t workspace,
                  test_clock::duration span)
{
    std::vector<std::unique_ptr<line_caller>> crowd;
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
    {
        crowd.push_back(std::make_unique<line_caller>(s.callers_of(i)));
        REQUIRE(crowd.back()->start("browse", key_of(workspace)) == "READY");
    }
    const auto end = test_clock::now() + span;
    std::size_t served = 0;
    while (test_clock::now() < end)
    {
        for (auto& c : crowd)
            c->send("QUERY flood READ bear");
        for (auto& c : crowd)
        {
            const auto answer = c->line();
            REQUIRE(answer);
            if (answer->starts_with("ROW"))
            {
                ++served;
                REQUIRE(c->line()); // The completion.
            }
            REQUIRE(c->line()); // How the session stands.
        }
    }
    return served;
}

}

SCENARIO("One process of each zone keeps its rates")
{
    site s(two_cells);
    REQUIRE(comes_true(
        [&]
        {
            return keepers_of(s, 0).size() == 1 && keepers_of(s, 1).size() == 1;
        }));
    const std::size_t keeper = keepers_of(s, 0).front();
    const std::size_t other =
        (keeper + two_cells.m_zones) % two_cells.m_daemons;
    REQUIRE(comes_true(
        [&]
        {
            return is_served(s, other, 2);
        }));

    GIVEN("callers everywhere who ask for more than their workspace's limit")
    {
        // The deployments' rule: the limit over a window of 5 s, a tenth and 20
        // operations more.
        constexpr double window = 5;
        constexpr double most =
            (two_cells.m_rate * window + two_cells.m_rate) * 1.1 + 20;
        // The first window holds what was saved up.
        const std::size_t first = flood(s, 3, 5s);
        const std::size_t second = flood(s, 3, 5s);

        THEN("all processes together serve what it allows, and no more")
        {
            CHECK(static_cast<double>(first) <= most);
            CHECK(static_cast<double>(second) <= most);
            CHECK(static_cast<double>(second) >=
                  two_cells.m_rate * window * 0.7);
        }
    }
    GIVEN("a keeper that is killed")
    {
        s.daemon(keeper).send_signal(SIGKILL);

        THEN("another one keeps the rates, and its zone is served")
        {
            REQUIRE(comes_true(
                [&]
                {
                    const auto now = keepers_of(s, 0);
                    return now.size() == 1 && now.front() != keeper;
                }));
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, other, 2);
                }));
            REQUIRE(is_served(s, keepers_of(s, 1).front(), 2));
        }
    }
    GIVEN("a keeper that is told to end")
    {
        s.daemon(keeper).send_signal(SIGTERM);
        REQUIRE(s.daemon(keeper).wait() == 0);

        THEN("another one keeps the rates, and its zone is served")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return keepers_of(s, 0).size() == 1;
                }));
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, other, 2);
                }));
        }
    }
    GIVEN("a keeper that is suspended past its votes")
    {
        s.daemon(keeper).send_signal(SIGSTOP);
        REQUIRE(comes_true(
            [&]
            {
                std::size_t found = 0;
                for (std::size_t i = 0; i < two_cells.m_daemons; i += 2)
                    found += i != keeper && keeps(s, i) ? 1 : 0;
                return found == 1;
            }));
        s.daemon(keeper).send_signal(SIGCONT);

        THEN("it follows the one that was chosen meanwhile")
        {
            REQUIRE_FALSE(keeps(s, keeper));
            REQUIRE(keepers_of(s, 0).size() == 1);
            REQUIRE(comes_true(
                [&]
                {
                    return is_served(s, keeper, 2);
                }));
        }
    }
    GIVEN("a keeper that passes the store's changes on")
    {
        wait_a_while();
        const double before = store_answers(s, other);
        wait_a_while();

        THEN("its cell hardly asks the store, and follows all the same")
        {
            // One watch of the members.
            CHECK(store_answers(s, other) - before <= 1);
            withdraw_key(s, 3);
            REQUIRE(comes_true(
                [&]
                {
                    return all_refuse(s, key_of(3), two_cells.m_daemons);
                }));
        }
        WHEN("it is killed just before a change")
        {
            s.daemon(keeper).send_signal(SIGKILL);
            withdraw_key(s, 3);

            THEN("the others hear of it from the store")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return all_refuse(s, key_of(3), keeper);
                    }));
            }
        }
        WHEN("the store is away for a while, and a change comes after it")
        {
            s.set_store(true);
            wait_a_while();
            s.set_store(false);
            withdraw_key(s, 3);

            THEN("all hear of it")
            {
                REQUIRE(comes_true(
                    [&]
                    {
                        return all_refuse(s, key_of(3), two_cells.m_daemons);
                    }));
            }
        }
    }
}
