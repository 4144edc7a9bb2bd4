#include <memory>
#include <new>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <platform/line_codec.hpp>
#include <session/session_charts.hpp>
#include <session/session_messages.hpp>
#include <session/session_task.hpp>
#include <support/child_process.hpp>
#include <support/loopback.hpp>
#include <support/site.hpp>
#include <task/task_thread.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using std::chrono::seconds;

namespace
{

const std::string service = "ledger-db";

// As the codec of the deployments, on a process without memory for one answer.
session_codec failing_codec()
{
    session_codec c = line_codec();
    c.m_read_endpoint = [](std::string_view line)
    {
        if (line.starts_with("ROW ") &&
            line.find("unreadable") != std::string_view::npos)
            throw std::bad_alloc();
        return line_codec().m_read_endpoint(line);
    };
    return c;
}

site_config_ptr make_config()
{
    auto* config = new site_config;
    site_config_ptr owned(config);
    config->m_version = 1;
    site_route& route = config->m_routes["ledger"];
    route.m_database = "ledger";
    route.m_service = service;
    route.m_statement_timeout = seconds(2);
    route.m_latency_objective = seconds(4);
    config->m_services[service] = {service, 64, 1};
    config->m_workspaces["ward"] = {"ward", 1000, 1000, {}};
    config->m_keys["ward-key"] = "ward";
    return owned;
}

/// The session task, with endpoints in a process of their own.
class failing_process
{
public:
    failing_process()
    {
        m_settings.m_name = "entry-0";
        m_settings.m_zone = "zone-1";
        m_settings.m_caller_listen = free_address();
        m_settings.m_rate_window = seconds(5);
        m_settings.m_rate_overage = 0.1;
        m_settings.m_rate_tolerance = 20;
        std::vector<std::string> command{TEST_SITE, "--listen",
                                         to_string(free_address()), "--service",
                                         service};
        auto* endpoints = new endpoint_snapshot;
        const endpoint_snapshot_ptr owned(endpoints);
        for (const std::string id : {"i-1", "i-2", "i-3"})
        {
            const address at = free_address();
            command.push_back(to_string(at));
            site_endpoint& e = endpoints->m_endpoints[id];
            e.m_id = id;
            e.m_service = service;
            e.m_address = at;
            e.m_zone = "zone-1";
        }
        m_standin = std::make_unique<child_process>(command, "");
        REQUIRE(m_standin->read_line() == "serving");
        m_boxes.m_session.post(config_changed{make_config()});
        m_boxes.m_session.post(endpoints_changed{owned});
        m_boxes.m_session.post(fleet_changed{"entry-0", {"entry-0"}, 1, false});
        m_task = std::make_unique<task_thread>(
            "session",
            [this]
            {
                run_session_task(m_settings, m_codec, m_charts, m_boxes);
            });
    }
    ~failing_process()
    {
        m_boxes.m_session.post(task_stop());
    }
    failing_process(const failing_process&) = delete;
    failing_process& operator=(const failing_process&) = delete;

    /// A session that has been served.
    std::unique_ptr<line_caller> start()
    {
        std::unique_ptr<line_caller> c;
        REQUIRE(comes_true(
            [&]
            {
                try
                {
                    c = std::make_unique<line_caller>(
                        m_settings.m_caller_listen);
                    return c->start("ledger", "ward-key") == "READY" &&
                           c->ask("READ bear").starts_with("ROW ");
                }
                catch (const std::runtime_error&)
                {
                    return false;
                }
            }));
        return c;
    }

private:
    site_settings m_settings;
    session_codec m_codec = failing_codec();
    session_charts m_charts = load_session_charts(TEST_CHARTS);
    site_mailboxes m_boxes;
    std::unique_ptr<child_process> m_standin;
    std::unique_ptr<task_thread> m_task;
};

}

SCENARIO("An answer of an endpoint meets an unexpected exception")
{
    failing_process p;
    const auto c = p.start();
    REQUIRE(c->ask("WRITE fox unreadable").starts_with("COMPLETE"));

    // The task ended, and the process with it.
    WHEN("it answers a read")
    {
        THEN("the caller learns that it failed, and all others are served")
        {
            CHECK(c->ask("READ fox") == "ERROR FAILED | READY I");
            CHECK(c->ask("READ bear").starts_with("ROW "));
            CHECK(p.start());
        }
    }
    WHEN("it answers a transaction")
    {
        REQUIRE(c->ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c->ask("WRITE bear 1").starts_with("COMPLETE"));

        THEN("the caller learns that it was aborted, and may go on")
        {
            CHECK(c->ask("READ fox") == "ERROR ABORTED | READY E");
            CHECK(c->ask("ROLLBACK") == "COMPLETE | READY I");
            CHECK(c->ask("WRITE bear 2").starts_with("COMPLETE"));
        }
    }
}
