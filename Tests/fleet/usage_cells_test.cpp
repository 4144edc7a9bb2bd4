#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <support/site.hpp>
#include <support/usage_calls.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

constexpr std::size_t daemons = 26;

std::uint64_t send_to(const site& s, std::size_t daemon)
{
    std::uint64_t served = 0;
    line_caller c(s.callers_of(daemon));
    REQUIRE(c.start("browse", "ward-key") == "READY");
    for (int n = 0; n < 10; ++n)
        served += c.ask("READ bear") == "ROW - | COMPLETE | READY I" ? 1U : 0U;
    return served;
}

std::uint64_t send_to_all(const site& s, std::size_t except)
{
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < daemons; ++i)
        served += i == except ? 0 : send_to(s, i);
    return served;
}

bool all_are_reported(const site& s, std::uint64_t requests)
{
    return comes_true(
        [&]
        {
            return reported_requests(s, "ward") >= requests;
        });
}

}

// Guards against counts that are lost or summed twice on their way through the
// cell leaders, and when a leader that holds the duty ends.
SCENARIO("The requests of a fleet with cells are reported through its leaders")
{
    site s(site_size{
        .m_daemons = daemons, .m_zones = 2, .m_bounds = quick_usage_bounds});
    REQUIRE(comes_true(
        [&]
        {
            return usage_holder(s, daemons) < daemons;
        }));
    std::uint64_t requests = send_to_all(s, daemons);
    REQUIRE(requests > 0);
    REQUIRE(all_are_reported(s, requests));
    CHECK(reported_requests(s, "ward") == requests);

    WHEN("the holder is killed")
    {
        const std::size_t holder = usage_holder(s, daemons);
        requests += send_to(s, holder);
        // Its counts reach those who may succeed it within 1.5 s.
        std::this_thread::sleep_for(std::chrono::milliseconds(1700));
        s.daemon(holder).send_signal(SIGKILL);
        s.daemon(holder).wait();
        requests += send_to_all(s, holder);

        THEN("the leader of a cell succeeds it")
        {
            REQUIRE(all_are_reported(s, requests));
            CHECK(reported_requests(s, "ward") == requests);
            CHECK_FALSE(has_gap(s.usage_calls()));
            CHECK(violations_of(s.usage_calls()).empty());
        }
    }
}
