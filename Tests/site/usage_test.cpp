#include <chrono>
#include <csignal>
#include <string>

#include <catch2/catch.hpp>
#include <support/scripted_member.hpp>
#include <support/site.hpp>
#include <support/usage_calls.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr int accepted = 200;
constexpr int throttled = 429;
constexpr int unavailable = 503;
// Moments in which a successor acquires the duty and reports.
constexpr int past_a_holder = 600;

// Statements of one session that are served, each a request of its own.
std::uint64_t send_requests(const site& s, std::size_t daemon, int count)
{
    std::uint64_t served = 0;
    line_caller c(s.callers_of(daemon));
    REQUIRE(c.start("ledger", "ward-key") == "READY");
    for (int i = 0; i < count; ++i)
        served += c.ask("WRITE bear brown") == "COMPLETE | READY I" ? 1U : 0U;
    return served;
}

// The first request that is served, when the endpoints are known.
std::uint64_t first_request(const site& s)
{
    REQUIRE(comes_true(
        [&]
        {
            return send_requests(s, 0, 1) == 1;
        }));
    return 1;
}

bool all_are_reported(const site& s, std::uint64_t requests)
{
    return comes_true(
        [&]
        {
            return reported_requests(s, "ward") >= requests;
        },
        past_a_holder);
}

std::size_t await_holder(const site& s, std::size_t daemons)
{
    REQUIRE(comes_true(
        [&]
        {
            return usage_holder(s, daemons) < daemons;
        }));
    return usage_holder(s, daemons);
}

bool has_reports(const site& s, std::size_t count)
{
    return comes_true(
        [&]
        {
            return accepted_reports(s.usage_calls()).size() >= count;
        },
        past_a_holder);
}

void stop_serving_usage(const site& s, int status)
{
    s.set_usage_service(status, false);
    const std::size_t before = s.usage_calls().size();
    REQUIRE(comes_true(
        [&]
        {
            return s.usage_calls().size() > before;
        }));
}

}

// Guards against requests that are reported twice, in no window, or though they
// didn't run.
SCENARIO("The requests of a fleet are reported by workspace and window")
{
    site s(site_size{.m_daemons = 2, .m_bounds = quick_usage_bounds});
    std::uint64_t requests = first_request(s);

    GIVEN("statements and a transaction through both daemons")
    {
        requests += send_requests(s, 0, 20) + send_requests(s, 1, 20);
        line_caller c(s.callers_of(1));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        REQUIRE(c.ask("WRITE fox red") == "COMPLETE | READY T");
        REQUIRE(c.ask("READ fox") == "ROW red | COMPLETE | READY T");
        REQUIRE(c.ask("COMMIT") == "COMPLETE | READY I");
        ++requests;

        THEN("each counts once, also those before the first holder")
        {
            REQUIRE(all_are_reported(s, requests));
            CHECK(reported_requests(s, "ward") == requests);
        }
        THEN("windows without requests are reported, and none is left out")
        {
            REQUIRE(all_are_reported(s, requests));
            REQUIRE(
                has_reports(s, accepted_reports(s.usage_calls()).size() + 3));
            const json calls = s.usage_calls();
            CHECK(accepted_reports(calls).rbegin()->second.empty());
            CHECK_FALSE(has_gap(calls));
            CHECK(violations_of(calls).empty());
        }
    }
    GIVEN("a statement that the endpoint refuses before it runs it")
    {
        line_caller c(s.callers_of(0));
        REQUIRE(c.start("ledger", "ward-key") == "READY");
        REQUIRE(c.ask("BEGIN") == "COMPLETE | READY T");
        s.set_full("i-1", true);
        c.send("QUERY refused WRITE fox red");
        wait_a_moment();
        wait_a_moment();
        s.set_full("i-1", false);
        REQUIRE(c.line()->starts_with("COMPLETE"));
        requests += 1 + send_requests(s, 0, 1);

        THEN("it counts once, for the time that it ran")
        {
            REQUIRE(all_are_reported(s, requests));
            REQUIRE(
                has_reports(s, accepted_reports(s.usage_calls()).size() + 2));
            CHECK(reported_requests(s, "ward") == requests);
        }
    }
    GIVEN("a daemon that stops after its last statement")
    {
        const std::size_t other = 1 - await_holder(s, 2);
        requests += send_requests(s, other, 20);
        s.daemon(other).send_signal(SIGTERM);
        REQUIRE(s.daemon(other).wait() == 0);

        THEN("its counts aren't lost")
        {
            REQUIRE(all_are_reported(s, requests));
            CHECK(reported_requests(s, "ward") == requests);
        }
    }
}

// Guards against a window that two holders report with different counts, and
// against one that neither does.
SCENARIO("The holder of the usage duty is lost")
{
    site s(site_size{.m_daemons = 2, .m_bounds = quick_usage_bounds});
    std::uint64_t requests = first_request(s);
    const std::size_t holder = await_holder(s, 2);
    REQUIRE(has_reports(s, 1));

    GIVEN("a report that it stored, and that the service didn't take")
    {
        stop_serving_usage(s, unavailable);
        s.daemon(holder).send_signal(SIGKILL);
        s.daemon(holder).wait();
        const json stored = s.usage_record().at("report");
        REQUIRE_FALSE(stored.at("accepted").get<bool>());
        requests += send_requests(s, 1 - holder, 20);
        const std::size_t before = s.usage_calls().size();
        s.set_usage_service(accepted, false);

        THEN("its successor sends the same report before the next")
        {
            REQUIRE(comes_true(
                [&]
                {
                    return s.usage_calls().size() > before;
                }));
            const json first = json::parse(
                s.usage_calls()[before].at("body").get<std::string>());
            CHECK(first.at("window-id") == stored.at("window"));
            CHECK(first.at("counts") == stored.at("counts"));
            REQUIRE(all_are_reported(s, requests));
            CHECK_FALSE(has_gap(s.usage_calls()));
            CHECK(violations_of(s.usage_calls()).empty());
        }
    }
    GIVEN("a holder that is suspended, and runs again under its successor")
    {
        s.daemon(holder).send_signal(SIGSTOP);
        const std::size_t before = s.usage_calls().size();
        REQUIRE(comes_true(
            [&]
            {
                const json calls = s.usage_calls();
                return calls.size() > before &&
                       calls.back().at("holder") !=
                           "entry-" + std::to_string(holder);
            }));
        s.daemon(holder).send_signal(SIGCONT);

        THEN("it doesn't report any more")
        {
            REQUIRE(
                has_reports(s, accepted_reports(s.usage_calls()).size() + 3));
            CHECK(s.usage_calls().back().at("holder") ==
                  "entry-" + std::to_string(1 - holder));
            CHECK_FALSE(has_gap(s.usage_calls()));
            CHECK(violations_of(s.usage_calls()).empty());
        }
    }
}

SCENARIO("The usage service or the store fails for a while")
{
    site s(site_size{.m_bounds = quick_usage_bounds});
    std::uint64_t requests = first_request(s);
    REQUIRE(has_reports(s, 1));

    const auto recovers = [&]
    {
        REQUIRE(all_are_reported(s, requests));
        CHECK(reported_requests(s, "ward") == requests);
        CHECK_FALSE(has_gap(s.usage_calls()));
        CHECK(violations_of(s.usage_calls()).empty());
    };

    GIVEN("answers that are lost")
    {
        s.set_usage_service(accepted, true);
        requests += send_requests(s, 0, 20);
        const std::size_t before = s.usage_calls().size();
        REQUIRE(comes_true(
            [&]
            {
                return s.usage_calls().size() > before + 1;
            }));
        s.set_usage_service(accepted, false);

        THEN("the same bytes are sent again")
        {
            const json calls = s.usage_calls();
            CHECK(calls[before].at("body") == calls[before + 1].at("body"));
            recovers();
        }
    }
    GIVEN("calls that are throttled")
    {
        stop_serving_usage(s, throttled);
        requests += send_requests(s, 0, 20);
        s.set_usage_service(accepted, false);

        THEN("all windows are reported in the end")
        {
            recovers();
        }
    }
    GIVEN("a store that is down for longer than the duty is valid")
    {
        s.set_store(true);
        REQUIRE(comes_true(
            [&]
            {
                return usage_holder(s, 1) == 1;
            }));
        const std::size_t before = s.usage_calls().size();
        requests += send_requests(s, 0, 20);

        THEN("nothing is reported before it is back, and then everything")
        {
            CHECK(s.usage_calls().size() == before);
            s.set_store(false);
            recovers();
        }
    }
}

// Guards against windows that are shifted or counted twice because of a member
// whose clock or messages can't be trusted.
SCENARIO("A member's clock jumps, and its counts arrive late and twice")
{
    site s(site_size{.m_bounds = quick_usage_bounds});
    scripted_member jumped("jumped", s.peers_of(0), 20s);
    scripted_member calm("calm", s.peers_of(0), 0s);
    s.add_member("jumped", jumped.local());
    s.add_member("calm", calm.local());
    calm.say({});
    const std::uint64_t requests = first_request(s);
    REQUIRE(has_reports(s, 1));

    const auto lateness_ms = [&]
    {
        const json call = s.usage_calls().back();
        const json body = json::parse(call.at("body").get<std::string>());
        constexpr std::int64_t window_ms = 1000;
        return call.at("at-ms").get<std::int64_t>() -
               (body.at("window-id").get<std::int64_t>() + 1) * window_ms;
    };

    GIVEN("a member that doesn't say its counts")
    {
        THEN("windows are reported without it, before their deadline")
        {
            CHECK(lateness_ms() >= 4000);
            CHECK(lateness_ms() < 6000);
        }
    }
    GIVEN("counts that arrive before the deadline, twice")
    {
        const std::uint64_t window =
            json::parse(s.usage_calls().back().at("body").get<std::string>())
                .at("window-id")
                .get<std::uint64_t>() +
            3;
        constexpr std::uint64_t said = 7;
        jumped.say({{window, {{{"ward", said}}, 0}}});
        jumped.send_again();
        jumped.send_again();

        THEN("they count once, and no window waits any more")
        {
            REQUIRE(all_are_reported(s, requests + said));
            CHECK(accepted_reports(s.usage_calls()).at(window) ==
                  json{{"ward", said}});
            REQUIRE(
                has_reports(s, accepted_reports(s.usage_calls()).size() + 2));
            CHECK(lateness_ms() < 4000);
            CHECK(violations_of(s.usage_calls()).empty());
        }
    }
}

SCENARIO("A deployment that doesn't ask for usage reports sends none")
{
    site s(1);
    first_request(s);
    constexpr int reports_would_come = 300;
    CHECK_FALSE(comes_true(
        [&]
        {
            return !s.usage_calls().empty() || !s.usage_record().is_null();
        },
        reports_would_come));
}
