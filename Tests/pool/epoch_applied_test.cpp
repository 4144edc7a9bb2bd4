#include <chrono>
#include <vector>

#include <catch2/catch.hpp>
#include <daemon/pool_state.hpp>

using namespace bluebellspoke;

namespace
{

constexpr std::uint32_t limit = 30;

resolved_settings_ptr two_endpoints()
{
    // Nothing runs the loop, so nobody is asked at these addresses.
    resolved_group group{"group",
                         {{"e1", "127.0.0.1:1", "zone-1", false},
                          {"e2", "127.0.0.1:2", "zone-1", false}},
                         5,
                         limit};
    auto* view = new resolved_settings;
    view->m_version = 1;
    view->m_groups.emplace("group", std::move(group));
    return view;
}

fleet_member member(const std::string& name)
{
    return {name, 1, "127.0.0.1:3"};
}

share_entitlement right_in(fleet_epoch epoch, bool settled)
{
    share_entitlement right;
    right.m_epoch = std::move(epoch);
    right.m_self = member("vm-1");
    right.m_settled = settled;
    right.m_is_first_incarnation = true;
    right.m_valid_until = monotonic_clock::now() + std::chrono::hours(1);
    return right;
}

/// Connections in statements: none of them can be closed to fit a share.
void keep_busy(pool_endpoint& e, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i)
        REQUIRE(open_connection(e));
    for (const auto& c : e.m_connections)
        c->m_running = true;
}

}

SCENARIO("An epoch is applied when all that is open fits it")
{
    daemon_settings daemon;
    daemon.m_name = "vm-1";
    const pool_charts charts = load_pool_charts(TEST_CHARTS);
    mailboxes boxes(16);
    pool_state p(daemon, charts, boxes);

    GIVEN("a daemon alone, with connections to two endpoints")
    {
        apply_settings(p, two_endpoints());
        const std::vector<fleet_member> alone{member("vm-1")};
        take_right(p, right_in({1, alone, {}}, true));
        REQUIRE(p.m_applied_epoch == 1);
        const auto& endpoints = p.m_groups.find("group")->second->m_endpoints;
        const std::size_t busy = GENERATE(0U, 1U);
        keep_busy(*endpoints[busy], limit / 2 + 5);

        WHEN("another daemon joins while one endpoint's are all in use")
        {
            const std::vector<fleet_member> both{member("vm-1"),
                                                 member("vm-2")};
            take_right(p, right_in({2, both, alone}, false));

            THEN("the epoch isn't applied, whichever endpoint it is")
            {
                REQUIRE(p.m_applied_epoch == 1);
            }
            AND_WHEN("they are closed")
            {
                close_endpoint(*endpoints[busy]);
                endpoints[busy]->m_closed_at.clear();
                tend_loans(p);

                THEN("it is applied")
                {
                    REQUIRE(p.m_applied_epoch == 2);
                }
            }
        }
    }
}
