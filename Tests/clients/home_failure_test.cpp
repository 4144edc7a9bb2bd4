#include <atomic>
#include <chrono>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/load/home_choice.hpp>
#include <platform/line_codec.hpp>
#include <session/session_charts.hpp>
#include <session/session_messages.hpp>
#include <session/session_task.hpp>
#include <support/child_process.hpp>
#include <support/loopback.hpp>
#include <support/site.hpp>
#include <task/boot_clock.hpp>
#include <task/task_thread.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using std::chrono::seconds;

namespace
{

const std::string service = "ledger-db";
const std::string workspace = "ward";
// More than an endpoint has connections, so that sessions run at homes.
constexpr std::size_t fleet = 100;
constexpr std::uint32_t connections = 64;

// What the accepting process has no memory for, once.
std::atomic<bool> fails_reading = false;
std::atomic<bool> fails_sending = false;
std::atomic<bool> fails_answering = false;

// As the codec of the deployments; the home marks its next answer, so that the
// accepting process doesn't take an endpoint's for it.
session_codec home_codec()
{
    session_codec c = line_codec();
    c.m_write_position = [](std::string& out, transaction_status state,
                            const std::optional<log_position>& position)
    {
        // Not at the start of the session, which has no position.
        if (fails_reading && position)
            out.append("ROW unreadable\r\n");
        line_codec().m_write_position(out, state, position);
    };
    return c;
}

session_codec failing_codec()
{
    session_codec c = line_codec();
    c.m_read_endpoint = [](std::string_view line)
    {
        if (line == "ROW unreadable" && fails_reading.exchange(false))
            throw std::bad_alloc();
        return line_codec().m_read_endpoint(line);
    };
    c.m_write_prepare = [](std::string& out, std::string_view name, bool writes,
                           std::string_view shape)
    {
        if (fails_sending.exchange(false))
            throw std::bad_alloc();
        line_codec().m_write_prepare(out, name, writes, shape);
    };
    c.m_write_ready = [](std::string& out, transaction_status state)
    {
        if (fails_answering.exchange(false))
            throw std::bad_alloc();
        line_codec().m_write_ready(out, state);
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
    config->m_services[service] = {service, connections, 1};
    config->m_workspaces[workspace] = {workspace, 1000, 1000, {}};
    config->m_keys["ward-key"] = workspace;
    return owned;
}

/// Endpoints in a process of their own.
struct endpoint_group
{
    endpoint_group()
    {
        std::vector<std::string> command{TEST_SITE, "--listen",
                                         to_string(free_address()), "--service",
                                         service};
        auto* endpoints = new endpoint_snapshot;
        m_endpoints.reset(endpoints);
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
    }

    endpoint_snapshot_ptr m_endpoints;
    std::unique_ptr<child_process> m_standin;
};

/// A session task that leads its cell.
class session_process
{
public:
    session_process(const session_member& self, const session_codec& codec,
                    const endpoint_group& group,
                    const std::vector<session_member>& members)
        : m_codec(codec)
    {
        m_settings.m_name = self.m_name;
        m_settings.m_zone = self.m_zone;
        m_settings.m_region = "region-1";
        m_settings.m_region_of_zone[self.m_zone] = "region-1";
        m_settings.m_caller_listen = free_address();
        m_settings.m_session_listen = self.m_address;
        m_settings.m_rate_window = seconds(5);
        m_settings.m_rate_overage = 0.1;
        m_settings.m_rate_tolerance = 20;
        m_boxes.m_session.post(config_changed{make_config()});
        m_boxes.m_session.post(endpoints_changed{group.m_endpoints});
        m_boxes.m_session.post(
            fleet_changed{self.m_zone, {self.m_zone}, fleet, true});
        m_boxes.m_session.post(
            cell_leadership{1, boot_now() + std::chrono::hours(1)});
        m_boxes.m_session.post(members_changed{members});
        m_task = std::make_unique<task_thread>(
            "session",
            [this]
            {
                run_session_task(m_settings, m_codec, m_charts, m_boxes);
            });
    }
    ~session_process()
    {
        m_boxes.m_session.post(task_stop());
    }
    session_process(const session_process&) = delete;
    session_process& operator=(const session_process&) = delete;

    const address& callers() const
    {
        return m_settings.m_caller_listen;
    }

private:
    site_settings m_settings;
    session_codec m_codec;
    session_charts m_charts = load_session_charts(TEST_CHARTS);
    site_mailboxes m_boxes;
    std::unique_ptr<task_thread> m_task;
};

/// A process that passes the workspace's sessions on to another one.
class relaying_processes
{
public:
    relaying_processes()
    {
        const std::vector<session_member> members{
            {"entry-0", "zone-1", 0, free_address()},
            {"entry-1", "zone-1", 0, free_address()}};
        const home_table table = choose_homes(
            std::vector<home_candidate>{{"entry-0"}, {"entry-1"}}, {service});
        const bool first_is_home =
            choose_home(table.at(service), {service, workspace, {}}, {}) ==
            "entry-0";
        const session_member& home = members[first_is_home ? 0 : 1];
        const session_member& accepting = members[first_is_home ? 1 : 0];
        m_home = std::make_unique<session_process>(home, home_codec(), m_group,
                                                   members);
        m_accepting = std::make_unique<session_process>(
            accepting, failing_codec(), m_group, members);
    }

    /// A session that runs at its home.
    std::unique_ptr<line_caller> start()
    {
        std::unique_ptr<line_caller> c;
        REQUIRE(comes_true(
            [&]
            {
                try
                {
                    c = std::make_unique<line_caller>(m_accepting->callers());
                    return c->start("ledger", "ward-key") == "READY" &&
                           c->ask("WRITE bear 0").starts_with("COMPLETE") &&
                           runs_at_home(*c);
                }
                catch (const std::runtime_error&)
                {
                    return false;
                }
            }));
        return c;
    }

    /// True if it serves a read of which the home has marked the answer.
    bool runs_at_home(line_caller& c)
    {
        fails_reading = true;
        const std::string answer = c.ask("READ bear");
        const bool failed = !fails_reading.exchange(false);
        // The next one goes to the home again, over a new connection.
        return failed && answer.starts_with("ROW ") &&
               c.ask("READ bear").starts_with("ROW ");
    }

private:
    endpoint_group m_group;
    std::unique_ptr<session_process> m_home;
    std::unique_ptr<session_process> m_accepting;
};

}

// Guards against an exception that ended the process, and all sessions with it,
// and against a caller that waits for an answer without end.
SCENARIO("An answer of a home meets an unexpected exception")
{
    relaying_processes p;
    const auto c = p.start();
    REQUIRE(c->ask("WRITE bear 1").starts_with("COMPLETE"));

    WHEN("it answers a read")
    {
        fails_reading = true;

        THEN("the read runs at the accepting process")
        {
            CHECK(c->ask("READ bear") == "ROW 1 | COMPLETE | READY I");
            CHECK_FALSE(fails_reading);
            CHECK(p.start());
        }
    }
    WHEN("it answers a write")
    {
        fails_reading = true;

        THEN("the caller learns that the outcome is unknown, and may go on")
        {
            CHECK(c->ask("WRITE bear 2") == "ERROR UNKNOWN | READY I");
            CHECK_FALSE(fails_reading);
            CHECK(c->ask("WRITE bear 3").starts_with("COMPLETE"));
            CHECK(c->ask("READ bear") == "ROW 3 | COMPLETE | READY I");
        }
    }
    WHEN("it answers a transaction")
    {
        REQUIRE(c->ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c->ask("WRITE bear 4").starts_with("COMPLETE"));
        fails_reading = true;

        THEN("the caller learns that it was aborted, and nothing is kept")
        {
            CHECK(c->ask("READ bear") == "ERROR ABORTED | READY E");
            CHECK_FALSE(fails_reading);
            CHECK(c->ask("ROLLBACK") == "COMPLETE | READY I");
            CHECK(c->ask("READ bear") == "ROW 1 | COMPLETE | READY I");
        }
    }
    WHEN("the answer was taken from the connection")
    {
        fails_answering = true;

        THEN("the session ends, and all others are served")
        {
            CHECK(c->ask("READ bear").find("READY") == std::string::npos);
            CHECK(c->is_closed());
            CHECK_FALSE(fails_answering);
            CHECK(p.start());
        }
    }
}

// Guards against a home that is believed to know what it wasn't told.
SCENARIO("A statement for a home meets an unexpected exception")
{
    relaying_processes p;
    const auto c = p.start();
    REQUIRE(c->ask("WRITE bear 1").starts_with("COMPLETE"));
    REQUIRE(c->ask("PREPARE p READ q").starts_with("COMPLETE"));
    fails_sending = true;

    THEN("it runs at the accepting process, and later at the home again")
    {
        CHECK(c->ask("EXECUTE p bear") == "ROW 1 | COMPLETE | READY I");
        CHECK_FALSE(fails_sending);
        CHECK(c->ask("EXECUTE p bear") == "ROW 1 | COMPLETE | READY I");
        CHECK(p.runs_at_home(*c));
    }
}
