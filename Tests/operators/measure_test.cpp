#include <algorithm>
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

json counters_of(const fleet& f)
{
    caller c(f.m_platform_address);
    return c.send({"POST", "/standin/count", {}, "{}"}).json();
}

milliseconds time_of(const std::function<void()>& work)
{
    const auto start = steady_clock::now();
    work();
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    start);
}

}

// Prints figures; says nothing of right or wrong. Run it by its tag.
TEST_CASE("What configuration costs", "[.measure]")
{
    const std::size_t daemons = GENERATE(3U, 6U, 12U);
    const fleet f({.m_daemons = daemons, .m_endpoints = 1, .m_zones = 3});
    std::vector<milliseconds> edits;
    for (int i = 0; i < 20; ++i)
        edits.push_back(time_of(
            [&]
            {
                put_node(f, "depot", {{"rate", 100 + i}});
            }));
    std::sort(edits.begin(), edits.end());
    constexpr int seconds = 10;
    const json before = counters_of(f);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const json after = counters_of(f);
    const auto a_second = [&](const char* call)
    {
        return (after.at(call).get<double>() - before.at(call).get<double>()) /
               seconds;
    };
    std::cout << daemons << " daemons in 3 zones: edit in force after "
              << edits[10].count() << " ms (median), " << edits.back().count()
              << " ms (most of 20); at rest " << a_second("watches")
              << " watches/s, " << a_second("reads") << " reads/s\n";
}
