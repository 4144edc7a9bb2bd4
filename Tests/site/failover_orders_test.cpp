#include <chrono>
#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <support/loopback.hpp>

#include "lone_failover_task.hpp"
#include "scripted_endpoint.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using namespace std::chrono_literals;

namespace
{

// Role, term, position, term for which it is paused, lag.
const std::string primary_status = "primary 3 3.10 0 0";

}

// Guards against a position that counts as more recent than it is: a replica
// that lags would serve reads older than their route allows.
SCENARIO("A primary answers the failover task late")
{
    const scripted_endpoint primary({primary_status, 300ms});
    lone_failover_task t({{"i-1", primary.local()},
                          {"i-2", free_address()},
                          {"i-3", free_address()}});
    t.report_silent("i-1", 3);
    REQUIRE(t.await(
        [&]
        {
            return !t.promoted().empty();
        }));

    THEN("its status counts from when it was asked")
    {
        REQUIRE(primary.has_received("STATUS"));
        CHECK(t.promoted().front().m_requested_at <=
              primary.orders().front().m_at);
    }
}
