#include <array>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>
#include <support/child_process.hpp>

using namespace bluebellspoke::support;

SCENARIO("A stopped child stays stopped when whoever started the test is gone")
{
    const std::array<std::string, 2> command{"/bin/sleep", "60"};
    child_process child(command, "");

    THEN("it is in a process group of its own")
    {
        REQUIRE(getpgid(child.id()) == child.id());
    }
}
