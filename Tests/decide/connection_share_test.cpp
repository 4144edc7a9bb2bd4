#include <catch2/catch.hpp>
#include <decide/connection_share.hpp>

using namespace bluebellspoke;

TEST_CASE("An endpoint's connections are divided among the fleet")
{
    constexpr std::uint32_t limit = 30;
    share_entitlement entitlement;
    entitlement.m_settled = true;
    for (const char* name : {"vm-1", "vm-2", "vm-3"})
        entitlement.m_epoch.m_members.push_back({name, 1, {}});

    GIVEN("three daemons")
    {
        std::uint32_t sum = 0;
        for (const fleet_member& m : entitlement.m_epoch.m_members)
        {
            entitlement.m_self = m;
            sum += connection_share(entitlement, limit, "e1");
        }
        THEN("their shares, a monitor each and one for orders add up to the "
             "limit")
        {
            REQUIRE(sum + 3 + 1 == limit);
        }
    }
    GIVEN("a process that replaced another one of the same name")
    {
        entitlement.m_self = {"vm-2", 1, {}};
        const std::uint32_t before = connection_share(entitlement, limit, "e1");
        entitlement.m_self.m_incarnation = 2;
        THEN("it has the same share")
        {
            REQUIRE(connection_share(entitlement, limit, "e1") == before);
        }
    }
    GIVEN("a daemon that isn't a member of the epoch")
    {
        entitlement.m_self = {"vm-9", 1, {}};
        THEN("its share is 0")
        {
            REQUIRE(connection_share(entitlement, limit, "e1") == 0);
        }
    }
    GIVEN("more members than connections")
    {
        entitlement.m_self = entitlement.m_epoch.m_members.front();
        THEN("every share is 0")
        {
            REQUIRE(connection_share(entitlement, 2, "e1") == 0);
        }
    }
}
