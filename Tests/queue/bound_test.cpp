#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

session add_workspace(const fleet& f, const std::string& name,
                      const json& further)
{
    json node{{"kind", "workspace"},
              {"service", "group"},
              {"rate", 100'000},
              {"burst", 100'000}};
    node.update(further);
    put_node(f, name, node);
    return {grant_key(f, name, "clerk"), {}};
}

json read_of(std::size_t i)
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"park-" + std::to_string(i)}}};
}

std::vector<http2_request>
many_writes(const session& s, const std::string& prefix, std::size_t count)
{
    std::vector<http2_request> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(statement_request(
            s, {{"statement", "insert into bears values ($1, $2)"},
                {"parameters", {prefix + std::to_string(i), "lost"}},
                {"kind", "write"}}));
    return all;
}

std::map<std::string, unsigned> count_errors(const std::vector<reply>& replies)
{
    std::map<std::string, unsigned> counts;
    for (const reply& r : replies)
        ++counts[r.m_status == 200 ? "served" : r.error()];
    return counts;
}

bool all_not_run(const std::vector<reply>& replies, const std::string& error)
{
    for (const reply& r : replies)
        if (r.error() == error &&
            (r.outcome() != "not_run" || r.m_status != 503))
            return false;
    return true;
}

}

TEST_CASE("A workspace's queue at a daemon is bounded")
{
    GIVEN("a park that may have 50 statements waiting, and a ward")
    {
        const fleet f({.m_daemons = 1, .m_service_us = 20'000, .m_slots = 5});
        const session park = add_workspace(f, "park", {{"queue_limit", 50}});
        const session ward = add_workspace(f, "ward", json::object());
        caller calls(f.m_daemons[0].m_callers);
        session clerk = park;

        WHEN("the park sends 400 at once, and the ward 10 after them")
        {
            std::vector<http2_request> all = many_writes(park, "park-", 400);
            for (http2_request& r : many_writes(ward, "ward-", 10))
                all.push_back(std::move(r));
            const std::vector<reply> replies = calls.send_all(std::move(all));
            const std::vector<reply> of_park(replies.begin(),
                                             replies.begin() + 400);
            const std::vector<reply> of_ward(replies.begin() + 400,
                                             replies.end());
            const auto park_counts = count_errors(of_park);

            THEN("what is beyond the park's bound is refused as not run")
            {
                REQUIRE(park_counts.at("queue_full") > 0);
                REQUIRE(all_not_run(of_park, "queue_full"));
                REQUIRE(park_counts.at("served") >= 50);
                REQUIRE(park_counts.at("served") +
                            park_counts.at("queue_full") ==
                        400);
            }
            THEN("the ward is served")
            {
                REQUIRE(count_errors(of_ward).at("served") == 10);
            }
            THEN("just what was served took effect")
            {
                for (std::size_t i = 0; i < of_park.size(); ++i)
                {
                    const reply row = run_statement(calls, clerk, read_of(i));
                    const bool found = !row.json().at("rows").empty();
                    REQUIRE(found == (of_park[i].m_status == 200));
                }
            }
        }
    }
}
