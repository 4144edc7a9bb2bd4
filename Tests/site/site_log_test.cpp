#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/endpoint_list.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

using nlohmann::json;

// Log lines of the events with this name.
std::vector<json> events_named(const std::string& log, const std::string& name)
{
    std::vector<json> found;
    std::size_t begin = 0;
    while (begin < log.size())
    {
        const std::size_t end = std::min(log.find('\n', begin), log.size());
        const std::size_t brace = log.find('{', begin);
        if (brace < end)
        {
            const json line =
                json::parse(log.substr(brace, end - brace), nullptr, false);
            if (line.is_object() && line.value("name", "") == name)
                found.push_back(line);
        }
        begin = end + 1;
    }
    return found;
}

std::string stop_and_read_log(site& s)
{
    s.daemon(0).send_signal(SIGTERM);
    return s.daemon(0).read_rest();
}

// Returns once the daemon has applied the changed configuration.
void configure_and_wait(site& s, const json& change)
{
    s.configure(change);
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "settings_version") ==
                   s.config()["version"].get<double>();
        }));
}

json find_request(const std::vector<json>& lines, const std::string& id)
{
    for (const json& line : lines)
        if (line.value("request", "") == id)
            return line;
    return {};
}

}

SCENARIO("An engineer finds a request by its id")
{
    site s(1);
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("intake", "ward-key") == "READY");
        REQUIRE(c.ask("WRITE one-eared-bear brown") == "COMPLETE | READY I");
        REQUIRE(c.ask("READ one-eared-bear") ==
                "ROW brown | COMPLETE | READY I");
    }
    const std::string log = stop_and_read_log(s);

    THEN("the log names its route, endpoint, settings and outcome")
    {
        const json sent =
            find_request(events_named(log, "statement_sent"), "q2");
        REQUIRE(sent.is_object());
        CHECK(sent.at("route") == "own_writes");
        CHECK(sent.at("floor") != "none");
        CHECK(sent.at("config_version") != "0");
        const json served =
            find_request(events_named(log, "statement_served"), "q2");
        REQUIRE(served.is_object());
        CHECK(served.at("endpoint") == sent.at("endpoint"));
        CHECK(served.at("session") == sent.at("session"));
        CHECK(served.at("commit") == "none");
        const json wrote =
            find_request(events_named(log, "statement_served"), "q1");
        REQUIRE(wrote.is_object());
        CHECK(wrote.at("commit") == wrote.at("own"));
        CHECK(std::stoul(wrote.at("commit_lease_ms").get<std::string>()) > 0);
        CHECK(wrote.at("commit_lease_term") == "1");
        const json chosen =
            find_request(events_named(log, "endpoint_chosen"), "q2");
        REQUIRE(chosen.is_object());
        CHECK(chosen.at("endpoint") == sent.at("endpoint"));
        const std::string candidates = chosen.at("candidates");
        CHECK(candidates.find(" of 4 slots ") != std::string::npos);
        CHECK(events_named(log, "session_started").size() == 1);
        const json opened =
            find_request(events_named(log, "connection_opened"), "q1");
        REQUIRE(opened.is_object());
        CHECK(opened.at("workspace") == "ward");
    }
    THEN("the log contains no key, no value and no statement")
    {
        CHECK(log.find("ward-key") == std::string::npos);
        CHECK(log.find("one-eared-bear") == std::string::npos);
        CHECK(log.find("brown") == std::string::npos);
    }
}

// Guards against an endpoint that comes or goes unseen: which endpoints a
// process knew when decides what it may have sent to them, and passed on.
SCENARIO("An engineer follows an endpoint through a process's list")
{
    site s(1);
    const auto put = [&](const std::string& state)
    {
        s.put_entry("servers", "i-late",
                    {{"service", "ledger-db"},
                     {"address", to_string(s.address_of("i-1"))},
                     {"zone", "zone-1"},
                     {"version", "v1"},
                     {"capacity", 4},
                     {"state", state},
                     {"db-role", "replica"},
                     {"sequence", 1},
                     {"born", 1}});
    };
    std::string log;
    const auto await_event = [&](const std::string& name)
    {
        std::string line;
        do
        {
            line = s.daemon(0).read_line();
            REQUIRE_FALSE(line.empty());
            log.append(line).append("\n");
        } while (line.find("\"" + name + "\"") == std::string::npos ||
                 line.find("\"i-late\"") == std::string::npos);
        return events_named(line, name).at(0);
    };
    put("ready");
    const json listed = await_event("endpoint_listed");
    // Until then an entry that is missing may come back, as after an outage.
    std::this_thread::sleep_for(missing_entry_hold);
    s.remove_entry("servers", "i-late");
    const json removed = await_event("endpoint_unlisted");
    put("draining");
    const json returned = await_event("endpoint_listed");

    THEN("each change has one line, with the store's revision")
    {
        CHECK(listed.at("service") == "ledger-db");
        CHECK(listed.at("draining") == "no");
        CHECK(removed.at("cause") == "entry removed");
        CHECK(returned.at("draining") == "yes");
        const auto revision = [](const json& line)
        {
            return std::stoul(line.at("revision").get<std::string>());
        };
        CHECK(revision(listed) > 0);
        CHECK(revision(removed) > revision(listed));
        CHECK(revision(returned) > revision(removed));
    }
    THEN("heartbeats, and the first list, aren't logged one by one")
    {
        CHECK(events_named(log, "endpoint_list_known").size() == 1);
        CHECK(events_named(log, "endpoint_listed").size() == 2);
        CHECK(events_named(log, "endpoint_unlisted").size() == 1);
    }
}

SCENARIO("Each refusal has its line")
{
    site s(1);
    json change = s.config();
    change["tenants"][1]["rate-per-s"] = 1;
    change["tenants"][1]["burst"] = 1;
    configure_and_wait(s, {{"tenants", change["tenants"]}});
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("EXECUTE nobody 1") == "ERROR NOSTMT | READY I");
        REQUIRE(c.ask("COMMIT") == "ERROR MALFORMED | READY I");
        REQUIRE(line_caller(s.callers_of(0)).start("nowhere", "ward-key") ==
                "NODB");

        // More statements at once than the rate and its burst allow.
        std::vector<std::unique_ptr<line_caller>> callers(4);
        for (auto& caller : callers)
        {
            caller = std::make_unique<line_caller>(s.callers_of(0));
            REQUIRE(caller->start("ledger", "depot-key") == "READY");
        }
        for (auto& caller : callers)
            caller->send("QUERY crowd READ bear");
        for (auto& caller : callers)
            REQUIRE(caller->line());
    }
    const std::string log = stop_and_read_log(s);
    const std::vector<json> failed = events_named(log, "statement_failed");

    THEN("the line has the request id, evidence, age and outcome")
    {
        const json unknown = find_request(failed, "q1");
        REQUIRE(unknown.is_object());
        CHECK(unknown.at("detail") == "execute");
        CHECK(find_request(failed, "q2").at("evidence") == "no transaction");
        bool rate_seen = false;
        for (const json& line : failed)
        {
            CHECK(line.contains("session"));
            CHECK(line.contains("age_ms"));
            CHECK(line.contains("outcome"));
            CHECK(line.contains("config_version"));
            CHECK(line.at("sent_ms_ago") == "never");
            if (line.at("request") == "crowd" && line.at("detail") == "rate")
                rate_seen =
                    line.at("evidence").get<std::string>().find(" tokens") !=
                    std::string::npos;
        }
        CHECK(rate_seen);
        CHECK(events_named(log, "session_refused").size() == 1);
    }
}

SCENARIO("The most urgent statement gets the next token of its rate")
{
    const bool has_priorities = GENERATE(true, false);
    site s(1);
    json change = s.config();
    // A process that has just started may use a quarter of it: three a second.
    change["tenants"][1]["rate-per-s"] = 12;
    change["tenants"][1]["burst"] = 1;
    if (has_priorities)
        change["routes"][0]["priority"] = 1;
    configure_and_wait(
        s, {{"tenants", change["tenants"]}, {"routes", change["routes"]}});
    std::string metrics;
    {
        line_caller first(s.callers_of(0));
        line_caller later(s.callers_of(0));
        line_caller urgent(s.callers_of(0));
        REQUIRE(first.start("intake", "depot-key") == "READY");
        REQUIRE(later.start("ledger", "depot-key") == "READY");
        REQUIRE(urgent.start("intake", "depot-key") == "READY");
        first.send("QUERY first READ bear");
        wait_a_moment();
        later.send("QUERY later READ bear");
        wait_a_moment();
        urgent.send("QUERY urgent READ bear");
        for (line_caller* c : {&first, &urgent, &later})
        {
            const auto answer = c->line();
            REQUIRE(answer);
            CHECK(answer->starts_with("ROW"));
        }
        metrics = call_http(s.metrics_of(0), "GET", "/metrics").m_body;
    }
    std::vector<std::string> order;
    for (const json& line :
         events_named(stop_and_read_log(s), "statement_sent"))
        order.push_back(line.at("request"));

    THEN("without priorities it is the one that arrived first")
    {
        if (has_priorities)
            CHECK(order ==
                  std::vector<std::string>{"first", "urgent", "later"});
        else
            CHECK(order ==
                  std::vector<std::string>{"first", "later", "urgent"});
        const std::string waited =
            "bluebellspoke_session_turn_wait_seconds_count{priority=\"1\"} 1";
        CHECK((metrics.find(waited) != std::string::npos) == has_priorities);
    }
}

SCENARIO("The settings file of a daemon changes")
{
    const bool sends_signal = GENERATE(true, false);
    site s(1);
    s.add_zone(0, "zone-2");
    if (sends_signal)
        s.daemon(0).send_signal(SIGHUP);

    THEN("the daemon reloads it, with or without a signal")
    {
        std::string line;
        do
        {
            line = s.daemon(0).read_line();
            REQUIRE_FALSE(line.empty());
        } while (line.find("\"settings_file_read\"") == std::string::npos);
        CHECK(line.find("\"followed\":\"zones\"") != std::string::npos);
    }
}

SCENARIO("Signals arrive while a daemon starts")
{
    site s(1);
    s.daemon(0).send_signal(SIGKILL);
    s.daemon(0).wait();
    // Blocked as they are between the start of a program and its handlers, but
    // for as long as the daemon leaves them so.
    sigset_t early;
    sigset_t before;
    sigemptyset(&early);
    sigaddset(&early, SIGHUP);
    sigaddset(&early, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &early, &before);
    s.start_daemon(0);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    s.daemon(0).send_signal(SIGHUP);
    REQUIRE(comes_true(
        [&]
        {
            return s.is_ready(0);
        }));
    s.daemon(0).send_signal(SIGTERM);
    const bool ended = comes_true(
        [&]
        {
            return !s.daemon(0).running();
        });
    s.daemon(0).send_signal(SIGKILL);
    const std::string log = s.daemon(0).read_rest();

    THEN("it handles them once it can")
    {
        CHECK(events_named(log, "settings_file_read").size() == 1);
        CHECK(ended);
    }
}

SCENARIO("Nobody reads a daemon's log")
{
    site s(1);
    line_caller c(s.callers_of(0));
    REQUIRE(c.start("intake", "ward-key") == "READY");
    // Each logs three lines, in all several times the capacity of a pipe.
    constexpr int statements = 600;

    THEN("it keeps serving statements")
    {
        for (int i = 0; i < statements; ++i)
            REQUIRE(c.ask("READ bear") == "ROW - | COMPLETE | READY I");
    }
}
