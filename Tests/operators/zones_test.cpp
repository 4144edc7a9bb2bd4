#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

json endpoint_of(const daemon_node& d, std::size_t index)
{
    return dump_of(d).at("pool").at("groups").at("group").at(index);
}

std::string zone_of(const daemon_node& d, const std::string& zone)
{
    return dump_of(d).at("pool").at("zones").value(zone, "");
}

}

TEST_CASE("A zone that is taken out gets no new work")
{
    // vm-1 and e1 (the primary) stand in zone-1, the others in zone-2, zone-3.
    ward w({.m_daemons = 3, .m_zones = 3});
    fleet& f = w.m_fleet;

    WHEN("operators take zone-3 out while the VM list lags")
    {
        set_platform_fault(f, {{"mode", "up"}, {"vm_lag_ms", 600'000}});
        REQUIRE(ctl(f, {"zone", "out", "zone-3"}).m_code == 0);

        THEN("no daemon gives its endpoint work any more")
        {
            for (const daemon_node& d : f.m_daemons)
            {
                REQUIRE(endpoint_of(d, 2).at("admits") == false);
                REQUIRE(endpoint_of(d, 2).at("state") == "leaving");
                REQUIRE(endpoint_of(d, 1).at("admits") == true);
            }
            REQUIRE(eventually(
                [&]
                {
                    return zone_of(f.m_daemons[0], "zone-3") == "out";
                }));
        }
        THEN("the daemon there refuses and isn't ready")
        {
            // Its callers were told to go; one that comes back is refused.
            caller late(f.m_daemons[2].m_callers);
            const reply refused =
                late.send(statement_request(w.m_clerk, read_bears()));
            REQUIRE(refused.error() == "zone_out");
            REQUIRE(refused.outcome() == "not_run");
            REQUIRE(admin_get(f.m_daemons[2], "/ready").m_status == 503);
            REQUIRE(read_through(w, 0).m_status == 200);
        }
        AND_WHEN("they put it back")
        {
            REQUIRE(ctl(f, {"zone", "in", "zone-3"}).m_code == 0);
            THEN("the daemon serves, and the endpoint returns by steps")
            {
                REQUIRE(endpoint_of(f.m_daemons[0], 2).at("admits") == true);
                REQUIRE(endpoint_of(f.m_daemons[0], 2).at("state") ==
                        "returning");
                REQUIRE(endpoint_of(f.m_daemons[0], 2).at("slots") <
                        f.m_options.m_slots);
                REQUIRE(eventually(
                    [&]
                    {
                        return read_through(w, 2).m_status == 200;
                    }));
                REQUIRE(eventually(
                    [&]
                    {
                        return zone_of(f.m_daemons[0], "zone-3") == "in";
                    }));
                REQUIRE(endpoint_of(f.m_daemons[0], 2).at("slots") ==
                        f.m_options.m_slots);
            }
        }
    }

    WHEN("one endpoint leaves")
    {
        REQUIRE(ctl(f, {"endpoint", "leave", "group", "e2"}).m_code == 0);
        THEN("it gets no work, and its zone's daemon serves on")
        {
            REQUIRE(endpoint_of(f.m_daemons[1], 1).at("admits") == false);
            REQUIRE(read_through(w, 1).m_status == 200);
        }
    }
}

TEST_CASE("Work in flight ends when its zone is taken out")
{
    ward w({.m_daemons = 2, .m_endpoints = 1, .m_zones = 1});
    fleet& f = w.m_fleet;
    caller& c = *w.m_callers[0];
    const std::string id =
        c.send(begin_request(w.m_clerk)).json().at("transaction");
    REQUIRE(ctl(f, {"zone", "out", "zone-1"}).m_code == 0);

    THEN("an open transaction goes on to its commit, new work is refused")
    {
        json claim = write_bear("claim");
        claim.erase("request_id");
        claim["transaction"] = id;
        REQUIRE(run_statement(c, w.m_clerk, claim).m_status == 200);
        REQUIRE(read_through(w, 0).error() == "zone_out");
        REQUIRE(c.send(end_request(w.m_clerk, id, "commit")).m_status == 200);
    }
}

TEST_CASE("A VM that the platform lists as leaving drains by itself")
{
    ward w({.m_daemons = 2});
    json vms = vm_list(w.m_fleet);
    vms[0]["state"] = "leaving";
    set_vms(w.m_fleet, vms);
    REQUIRE(w.m_fleet.m_daemons[0].m_process->wait() == 0);
    REQUIRE(read_through(w, 1).m_status == 200);
}
