#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

TEST_CASE("A withdrawn key stops working")
{
    ward w({.m_daemons = 2, .m_endpoints = 1, .m_service_us = 3'000'000});
    fleet& f = w.m_fleet;
    caller& c = *w.m_callers[0];

    GIVEN("an open transaction of the key")
    {
        const std::string id =
            c.send(begin_request(w.m_clerk)).json().at("transaction");

        WHEN("the key is withdrawn")
        {
            REQUIRE(ctl(f, {"withdraw", "ward", "clerk"}).m_code == 0);
            THEN("the transaction ends without a word from its caller")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        return dump_of(f.m_daemons[0])
                                   .at("pool")
                                   .at("transactions") == 0;
                    }));
                const reply late = c.send(end_request(w.m_clerk, id, "commit"));
                REQUIRE(late.error() == "key_withdrawn");
                REQUIRE(late.outcome() == "not_run");
            }
        }
    }

    GIVEN("statements that run and wait while the key is withdrawn")
    {
        std::vector<http2_request> requests;
        for (int i = 0; i < 12; ++i)
            requests.push_back(statement_request(
                w.m_clerk, write_bear("bear-" + std::to_string(i))));
        // The withdrawal goes by the same platform while the caller waits.
        std::vector<reply> replies;
        int withdrawn = -1;
        std::thread operators(
            [&]
            {
                const bool busy = eventually(
                    [&]
                    {
                        return dump_of(f.m_daemons[0])
                                   .at("pool")
                                   .at("requests") == 12;
                    });
                withdrawn =
                    busy ? ctl(f, {"withdraw", "ward", "clerk"}).m_code : -1;
            });
        replies = c.send_all(std::move(requests));
        operators.join();
        REQUIRE(withdrawn == 0);

        THEN("each is refused, and what did not run is told apart")
        {
            std::size_t unsent = 0;
            for (const reply& r : replies)
            {
                REQUIRE(r.error() == "key_withdrawn");
                unsent += r.outcome() == "not_run" ? 1 : 0;
            }
            REQUIRE(unsent >= 12 - f.m_options.m_slots);
        }
    }
}

namespace
{

std::string read_all(const std::filesystem::path& folder)
{
    std::ostringstream text;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        text << std::ifstream(entry.path()).rdbuf();
    return text.str();
}

}

TEST_CASE("No log, dump or metric shows a key")
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("bluebellspoke-keys-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::string shown;
    std::string key;
    {
        const char* name = "BLUEBELLSPOKE_TEST_LOGS";
        const char* before = std::getenv(name);
        const std::string kept = before == nullptr ? "" : before;
        setenv(name, folder.c_str(), 1);
        ward w({});
        if (kept.empty())
            unsetenv(name);
        else
            setenv(name, kept.c_str(), 1);
        key = w.m_clerk.m_key;
        const std::string wrong = "bbs_no-such-key";
        caller& c = *w.m_callers[0];
        REQUIRE(c.send(statement_request({wrong, {}}, read_bears())).error() ==
                "unknown_key");
        REQUIRE(c.send({"POST",
                        "/v1/" + key,
                        {{"authorization", "Bearer " + key}},
                        key})
                    .error() == "not_found");
        REQUIRE(ctl(w.m_fleet, {"withdraw", "ward", "clerk"}).m_code == 0);
        REQUIRE(read_through(w, 0).error() == "key_withdrawn");
        for (const daemon_node& d : w.m_fleet.m_daemons)
            for (const char* path : {"/dump", "/metrics", "/ready"})
                shown += admin_get(d, path).m_body;
        shown += ctl(w.m_fleet, {"show"}).m_output;
        shown += ctl(w.m_fleet, {"history", "ward"}).m_output;
    }
    shown += read_all(folder);
    std::filesystem::remove_all(folder);

    REQUIRE(shown.find("settings_in_force") != std::string::npos);
    REQUIRE(shown.find("buckets") != std::string::npos);
    REQUIRE(shown.find(key) == std::string::npos);
    REQUIRE(shown.find(key.substr(4, 16)) == std::string::npos);
    REQUIRE(shown.find("bbs_no-such-key") == std::string::npos);
}
