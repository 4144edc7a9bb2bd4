#include <algorithm>
#include <string>

#include <catch2/catch.hpp>
#include <clients/crowd.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::clients;
using namespace bluebellspoke::support;

namespace
{

constexpr std::size_t crowd_size = 300; ///< More than max_open.
const std::string startup = "STARTUP browse ward-key\r\n";

// While the crowd stays.
void check_unharmed(site& s)
{
    CHECK(open_descriptors(s.daemon(0).id()) < max_open);
    CHECK(s.daemon(0).running());
    await_peak(s.daemon(0).id());
    REQUIRE(serves(s));
    CHECK(open_descriptors(s.daemon(0).id()) < max_open);
    CHECK(peak_memory_mb(s.daemon(0).id()) < memory_mb);
}

}

SCENARIO("Clients connect and take no further part")
{
    site s(small_site());
    crowd c(s.callers_of(0), crowd_size);

    // Each took a descriptor, and kept it.
    WHEN("they send nothing")
    {
        c.send("");
        check_unharmed(s);
    }
    WHEN("they stop in their first message")
    {
        c.send("STARTUP bro");
        check_unharmed(s);
    }
    WHEN("they start sessions, and rest")
    {
        c.send(startup);
        check_unharmed(s);
    }
    WHEN("they stop in a large statement")
    {
        c.send(startup + "QUERY q READ " + std::string(700'000, 'x'));
        check_unharmed(s);
    }
    WHEN("they stop in a transaction")
    {
        c.send(startup + "QUERY q BEGIN\r\nQUERY q READ bear\r\n");
        check_unharmed(s);
    }
    WHEN("they send a byte now and then, and read none")
    {
        c.send(startup);
        for (const char* byte : {"Q", "U", "E", "R", "Y"})
        {
            c.send(byte);
            wait_a_moment();
        }
        check_unharmed(s);
    }
}

SCENARIO("Clients connect and reset the connection in series")
{
    site s(small_site());

    WHEN("many crowds come and go")
    {
        constexpr int rounds = 10;
        std::size_t most = 0;
        for (int i = 0; i < rounds; ++i)
        {
            crowd c(s.callers_of(0), crowd_size);
            c.send(startup);
            most = std::max(most, open_descriptors(s.daemon(0).id()));
            c.reset();
        }

        THEN("the daemon kept to its descriptors, and serves")
        {
            CHECK(most < max_open);
            check_unharmed(s);
        }
    }
}
