#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <decide/polling_intervals.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using namespace std::chrono_literals;

namespace
{

using test_clock = std::chrono::steady_clock;

// Calls of the watches of the store, by their result.
double store_calls(const site& s, const std::string& result)
{
    return s.metric(0, "store_calls_total{result=\"" + result + "\"}").value();
}

}

SCENARIO("The store turns a process away")
{
    site s(1);
    s.set_store(true);
    // By then the delay between calls has grown to its limit of 1.2 s.
    std::this_thread::sleep_for(4s);

    THEN("one of its watches asks for all")
    {
        const double before = store_calls(s, "failed");
        constexpr auto span = 6s;
        std::this_thread::sleep_for(span);
        CHECK(store_calls(s, "failed") - before <= span / 1200ms + 1);
    }
    WHEN("the store returns")
    {
        s.set_store(false);
        nlohmann::json change = s.config();
        change["tenants"][1]["api-keys"] = nlohmann::json::array();
        s.configure({{"tenants", change["tenants"]}});
        s.add_member("late", {"127.0.0.1", 1});

        THEN("all of them follow their objects again")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return line_caller(s.callers_of(0))
                               .start("intake", "depot-key") == "UNAUTH";
                }));
            REQUIRE(comes_true(
                [&]
                {
                    return s.metric(0, "fleet_members") == 2;
                }));
        }
    }
}

SCENARIO("Changes follow each other in a large fleet without a cell leader")
{
    site s(1);
    constexpr std::size_t members = min_processes_for_cells;
    for (std::size_t i = 1; i < members; ++i)
        s.add_member("absent-" + std::to_string(i), {"127.0.0.1", 1});
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "fleet_members") == members;
        }));

    WHEN("there are many more changes than pauses between watches")
    {
        constexpr int changes = 200;
        const double before = store_calls(s, "answered");
        const auto begin = test_clock::now();
        for (int i = 0; i < changes; ++i)
            s.configure();
        const auto span = test_clock::now() - begin;
        const double calls = store_calls(s, "answered") - before;

        THEN("several of them come with one call")
        {
            const auto pauses =
                static_cast<double>(span / members_watch_pause(members));
            // The watches of other kinds end without changes.
            constexpr double others = 6;
            CHECK(calls <= pauses + others);
            CHECK(calls < changes / 2.0);
        }
        AND_THEN("the last one is in force")
        {
            nlohmann::json change = s.config();
            change["tenants"][1]["api-keys"] = nlohmann::json::array();
            s.configure({{"tenants", change["tenants"]}});
            REQUIRE(comes_true(
                [&]
                {
                    return line_caller(s.callers_of(0))
                               .start("intake", "depot-key") == "UNAUTH";
                }));
        }
    }
}
