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
                      const json& settings)
{
    json node{{"kind", "workspace"},
              {"service", "group"},
              {"rate", 100'000},
              {"burst", 100'000}};
    node.update(settings);
    put_node(f, name, node);
    return {grant_key(f, name, "clerk"), {}};
}

json read_of(std::size_t i)
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"park-" + std::to_string(i)}}};
}

// Each writes a row of its own, so that a read shows which of them took effect.
std::vector<http2_request>
many_writes(const session& s, const std::string& prefix, std::size_t count)
{
    std::vector<http2_request> requests;
    for (std::size_t i = 0; i < count; ++i)
        requests.push_back(statement_request(
            s, {{"statement", "insert into bears values ($1, $2)"},
                {"parameters", {prefix + std::to_string(i), "lost"}},
                {"kind", "write"}}));
    return requests;
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
    GIVEN("a park with a queue limit of 50 statements, and a ward")
    {
        const fleet f({.m_daemons = 1, .m_service_us = 20'000, .m_slots = 5});
        const session park = add_workspace(f, "park", {{"queue_limit", 50}});
        const session ward = add_workspace(f, "ward", json::object());
        caller client(f.m_daemons[0].m_callers);
        session clerk = park;

        WHEN("the park sends 400 statements at once, then the ward sends 10")
        {
            std::vector<http2_request> requests =
                many_writes(park, "park-", 400);
            for (http2_request& r : many_writes(ward, "ward-", 10))
                requests.push_back(std::move(r));
            const std::vector<reply> replies =
                client.send_all(std::move(requests));
            const std::vector<reply> park_replies(replies.begin(),
                                                  replies.begin() + 400);
            const std::vector<reply> ward_replies(replies.begin() + 400,
                                                  replies.end());
            const auto park_counts = count_errors(park_replies);

            THEN(
                "the park's statements beyond its limit are refused as not run")
            {
                REQUIRE(park_counts.at("queue_full") > 0);
                REQUIRE(all_not_run(park_replies, "queue_full"));
                REQUIRE(park_counts.at("served") >= 50);
                REQUIRE(park_counts.at("served") +
                            park_counts.at("queue_full") ==
                        400);
            }
            THEN("all statements of the ward are served")
            {
                REQUIRE(count_errors(ward_replies).at("served") == 10);
            }
            THEN("exactly the served statements took effect")
            {
                for (std::size_t i = 0; i < park_replies.size(); ++i)
                {
                    const reply row = run_statement(client, clerk, read_of(i));
                    const bool found = !row.json().at("rows").empty();
                    REQUIRE(found == (park_replies[i].m_status == 200));
                }
            }
        }
    }
}
