#include <string>

#include <catch2/catch.hpp>
#include <decide/usage_bounds.hpp>

using namespace bluebellspoke;

// A process that reaches the peer port could otherwise fill the memory, or end
// the report with a name that can't be written.
SCENARIO("What another process says of usage is bounded")
{
    usage_summary s;
    s.m_windows[9] = {{{"ward", 1}}, 0};
    s.m_windows[10] = {{{"ward", 2}, {"depot", max_usage_count}}, 1};
    s.m_windows[13] = {{{"ward", 3}}, 0};

    GIVEN("counts within the bounds")
    {
        THEN("they are kept, and windows out of the range are dropped")
        {
            CHECK(bound_usage(s, {10, 12}) == 0);
            REQUIRE(s.m_windows.size() == 1);
            CHECK(s.m_windows.at(10).m_counts.size() == 2);
            CHECK(s.m_windows.at(10).m_missing == 1);
        }
    }
    GIVEN("a count that is too high, and names that aren't names")
    {
        usage_counts& counts = s.m_windows[10].m_counts;
        counts["high"] = max_usage_count + 1;
        counts["two words"] = 1;
        counts["\xff"] = 1;

        THEN("only these are removed")
        {
            CHECK(bound_usage(s, {10, 12}) == 3);
            CHECK(counts.size() == 2);
        }
    }
    GIVEN("more workspaces than any configuration has")
    {
        usage_counts& counts = s.m_windows[10].m_counts;
        for (std::size_t i = counts.size(); i < max_usage_workspaces + 5; ++i)
            counts["w" + std::to_string(i)] = 1;

        THEN("the excess is removed")
        {
            CHECK(bound_usage(s, {10, 12}) == 5);
            CHECK(counts.size() == max_usage_workspaces);
        }
    }
}
