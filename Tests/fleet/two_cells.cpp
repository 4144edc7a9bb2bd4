#include <fleet/two_cells.hpp>

#include <catch2/catch.hpp>

namespace bluebellspoke::fleet
{

using namespace support;

bool leads(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "cell_kept") == 1;
}

std::vector<std::size_t> leaders_of(const site& s, std::size_t zone)
{
    // Daemons are spread over the zones in turn.
    std::vector<std::size_t> found;
    for (std::size_t i = zone; i < two_cells.m_daemons; i += two_cells.m_zones)
        if (leads(s, i))
            found.push_back(i);
    return found;
}

bool has_leaders(const site& s)
{
    for (std::size_t zone = 0; zone < two_cells.m_zones; ++zone)
        if (leaders_of(s, zone).size() != 1)
            return false;
    return true;
}

sessions start_sessions(const site& s, std::size_t workspace)
{
    sessions callers;
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
    {
        REQUIRE(comes_true(
            [&]
            {
                return s.is_ready(i);
            }));
        callers.push_back(std::make_unique<line_caller>(s.callers_of(i)));
        REQUIRE(callers.back()->start("browse", key_of(workspace)) == "READY");
    }
    return callers;
}

bool read_answer(line_caller& c)
{
    const auto answer = c.line();
    REQUIRE(answer);
    const bool served = answer->starts_with("ROW");
    if (served)
        REQUIRE(c.line()); // COMPLETE.
    REQUIRE(c.line());     // READY, with the session's state.
    return served;
}

}
