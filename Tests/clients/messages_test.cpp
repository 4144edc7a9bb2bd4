#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <clients/crowd.hpp>
#include <decide/load/client_budget.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::clients;
using namespace bluebellspoke::support;

namespace
{

constexpr std::size_t message_limit = 1U << 20U;
constexpr std::size_t flood = 50'000;
constexpr int still_ms = 1000;
constexpr std::size_t bytes_per_mb = 1'000'000;
const std::string line_end = "\r\n";
const std::string startup = "STARTUP browse ward-key" + line_end;
const std::string startup_for_writes = "STARTUP ledger ward-key" + line_end;

// A message of exactly this size, filled up at its end.
std::string message(const std::string& begin, std::size_t size)
{
    return begin + std::string(size - begin.size(), 'x') + line_end;
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all.append(text);
    return all;
}

// Messages that each name something new, with a value of a kilobyte.
std::string named(const std::string& begin, const std::string& end)
{
    constexpr std::size_t names = 200'000;
    std::string all;
    for (std::size_t i = 0; i < names; ++i)
        all.append("QUERY q ")
            .append(begin)
            .append(std::to_string(i))
            .append(end)
            .append(1000, 'x')
            .append(line_end);
    return all;
}

double closed_by(const site& s, const std::string& cause)
{
    return metric_value(s, "bluebellspoke_clients_closed_total{cause=\"" +
                               cause + "\"}");
}

double shared_bytes(const site& s)
{
    return metric_value(s, "bluebellspoke_client_bytes");
}

using line_callers = std::vector<std::unique_ptr<line_caller>>;

// Sessions that each send this after their start.
line_callers send_from(const site& s, std::size_t count,
                       const std::string& text)
{
    line_callers all;
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back(std::make_unique<line_caller>(s.callers_of(0)));
        REQUIRE(all.back()->start("ledger", "ward-key") == "READY");
        all.back()->send_part(text);
    }
    return all;
}

void check_unharmed(site& s)
{
    if (s.daemon(0).running())
        await_peak(s.daemon(0).id());
    CHECK(s.daemon(0).running());
    REQUIRE(serves(s));
    CHECK(peak_memory_mb(s.daemon(0).id()) < memory_mb);
    CHECK(open_descriptors(s.daemon(0).id()) < max_open);
}

}

SCENARIO("A client sends messages of the largest size")
{
    site s(small_site());

    GIVEN("one client, in calm")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        const std::string begin = "QUERY q1 WRITE bear ";

        THEN("a message of exactly the limit is served")
        {
            c.send(begin + std::string(message_limit - begin.size(), 'x'));
            const auto answer = c.line();
            REQUIRE(answer);
            CHECK(answer->starts_with("COMPLETE"));
        }
    }
    GIVEN("a crowd that sends many")
    {
        constexpr std::size_t clients = 40;
        const std::string many =
            startup + repeated(message("QUERY q READ ", message_limit), 6);
        crowd c(s.callers_of(0), clients);

        // The daemon kept all that arrived.
        WHEN("they come in one piece")
        {
            c.send(many);
            check_unharmed(s);
        }
        WHEN("they come in small pieces")
        {
            c.send(many, 1400);
            check_unharmed(s);
        }
    }
    GIVEN("a crowd whose messages pass the limit")
    {
        constexpr std::size_t clients = 20;
        crowd c(s.callers_of(0), clients);

        WHEN("they end")
        {
            c.send(startup + message("QUERY q READ ", 16 * message_limit));
            check_unharmed(s);
        }
        WHEN("they don't end, and come before the session starts")
        {
            c.send(std::string(16 * message_limit, 'x'));
            check_unharmed(s);
        }
    }
}

SCENARIO("Statements beyond a session's part run")
{
    constexpr std::size_t statement = 100'000;
    constexpr std::size_t answer = 900'000;
    constexpr std::size_t readers = 12;
    site s(small_site());
    line_caller writer(s.callers_of(0));
    REQUIRE(writer.start("ledger", "ward-key") == "READY");
    REQUIRE(writer.ask("WRITE big " + std::string(answer, 'x'))
                .starts_with("COMPLETE"));

    // Each kept what was reserved for reading it until it ended, and answers
    // to others then closed one of them.
    GIVEN("some that the primary doesn't answer, and answers to others")
    {
        s.set_mute(s.primary(), true);
        const line_callers running =
            send_from(s, 7, message("QUERY q WRITE bear ", statement));
        REQUIRE(comes_true(
            [&]
            {
                return shared_bytes(s) > 0;
            }));
        crowd c(s.callers_of(0), readers);
        c.send(startup + "QUERY q READ big" + line_end);
        REQUIRE(comes_true(
            [&]
            {
                return shared_bytes(s) > 5 * answer;
            }));

        THEN("no session was closed, and each is answered")
        {
            for (const auto& caller : running)
                CHECK(caller->line());
            CHECK(closed_by(s, "most_memory") == 0);
            s.set_mute(s.primary(), false);
            check_unharmed(s);
        }
    }
}

SCENARIO("Sessions wait for memory")
{
    const client_limits limits =
        make_client_limits(memory_mb * bytes_per_mb, max_descriptors);
    const std::string large = "QUERY q WRITE bear " + std::string(100'000, 'x');
    site s(small_site());
    line_caller last(s.callers_of(0));
    REQUIRE(last.start("ledger", "ward-key") == "READY");
    line_caller first(s.callers_of(0));
    REQUIRE(first.start("ledger", "ward-key") == "READY");
    const auto send = [&](line_caller& c, const std::string& text)
    {
        const double before = shared_bytes(s);
        c.send_part(text);
        REQUIRE(comes_true(
            [&]
            {
                return shared_bytes(s) > before;
            }));
    };

    GIVEN("unfinished statements that hold it all")
    {
        line_callers holding;
        while (may_reserve(limits, static_cast<std::size_t>(shared_bytes(s))))
        {
            holding.push_back(std::make_unique<line_caller>(s.callers_of(0)));
            REQUIRE(holding.back()->start("ledger", "ward-key") == "READY");
            send(*holding.back(), large);
        }

        // It went to the session that had been accepted first, which keeps it
        // here until its time is over.
        WHEN("one is freed, for which two wait")
        {
            send(first, large + line_end);
            send(last, large);
            holding.pop_back();

            THEN("the one that began to wait first gets it")
            {
                CHECK(first.line());
                CHECK(closed_by(s, "slow_message") == 0);
                last.send_part(line_end);
                CHECK(last.line());
            }
        }
    }
}

SCENARIO("A client sends many statements without waiting for answers")
{
    GIVEN("statements that collect behind one, and are refused at once")
    {
        site_size size = small_site();
        size.m_workspaces = 3;
        site s(size);
        nlohmann::json workspaces = s.config()["tenants"];
        for (const std::size_t i : {0, 2})
        {
            workspaces[i]["rate-per-s"] = 0.1;
            workspaces[i]["burst"] = 1;
        }
        s.configure({{"tenants", workspaces}});
        REQUIRE(comes_true(
            [&]
            {
                line_caller c(s.callers_of(0));
                return c.start("browse", key_of(2)) == "READY" &&
                       c.ask("READ bear").starts_with("ERROR BUSY");
            }));
        const auto set_mute = [&](bool mute)
        {
            for (const char* id : {"i-1", "i-2", "i-3"})
                s.set_mute(id, mute);
        };
        set_mute(true);

        // Each one was refused one stack frame deeper, to the stack's end.
        WHEN("the first one ends")
        {
            constexpr int statement_ms = 3000;
            crowd c(s.callers_of(0), 1);
            c.send_and_drain(startup + repeated("QUERY q READ x\r\n", flood),
                             statement_ms);
            set_mute(false);
            check_unharmed(s);
        }
    }
    GIVEN("statements that are admitted")
    {
        site s(small_site());

        WHEN("they come at once, and the answers are read")
        {
            crowd c(s.callers_of(0), 1);
            c.send_and_drain(startup + repeated("QUERY q READ x\r\n", flood),
                             still_ms);
            check_unharmed(s);
        }
    }
    GIVEN("answers of the largest size")
    {
        constexpr std::size_t clients = 30;
        constexpr std::size_t answer = 900'000;
        site s(small_site());
        line_caller writer(s.callers_of(0));
        REQUIRE(writer.start("ledger", "ward-key") == "READY");
        REQUIRE(writer.ask("WRITE big " + std::string(answer, 'x'))
                    .starts_with("COMPLETE"));
        const std::string reads = repeated("QUERY q READ big\r\n", 40);
        crowd c(s.callers_of(0), clients);

        // Up to 4 MiB of answers were kept for each.
        WHEN("the answers aren't read")
        {
            c.send(startup_for_writes + reads);
            check_unharmed(s);
        }
        WHEN("the answers are read a byte now and then")
        {
            c.send(startup_for_writes + reads);
            check_unharmed(s);

            THEN("that keeps no session past its time")
            {
                CHECK(comes_true(
                    [&]
                    {
                        c.read_a_byte();
                        return shared_bytes(s) == 0;
                    }));
                check_unharmed(s);
            }
        }
        WHEN("the answers to a transaction aren't read")
        {
            c.send(startup_for_writes + "QUERY q BEGIN\r\n" + reads);
            check_unharmed(s);
        }
    }
}

SCENARIO("A client has much kept for its session")
{
    site s(small_site());
    crowd c(s.callers_of(0), 1);

    // Names and values had no bound.
    WHEN("it sets many values")
    {
        c.send_and_drain(startup + named("SET v", " "), still_ms);
        check_unharmed(s);
    }
    WHEN("it prepares many statements")
    {
        c.send_and_drain(startup + named("PREPARE p", " READ "), still_ms);
        check_unharmed(s);
    }
}
