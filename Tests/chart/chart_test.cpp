#include <array>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>
#include <chart/chart.hpp>

using namespace bluebellspoke;

namespace
{

constexpr std::array<std::string_view, 3> states{"shut", "open", "gone"};
constexpr std::array<std::string_view, 3> events{"push", "pull", "burn"};
constexpr std::array<std::string_view, 2> actions{"ring", "creak"};
const chart_vocabulary door{"door", states, events, actions};

std::string read_file(const std::string& name)
{
    std::ifstream in(std::string(TEST_FOLDER) + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

chart_fault fault_of(const std::string& file)
{
    try
    {
        parse_chart(read_file(file), door);
    }
    catch (const chart_error& e)
    {
        return e.m_fault;
    }
    FAIL("the chart was taken");
    return chart_fault::unreadable;
}

}

TEST_CASE("A chart file drives the code that interprets it")
{
    GIVEN("a door that opens, shuts and burns")
    {
        const chart c = parse_chart(read_file("door.scxml"), door);
        chart_index at = c.m_initial;
        REQUIRE(at == 0);

        WHEN("it is pushed")
        {
            const chart_step pushed = step(c, at, 0);
            THEN("it rings, then creaks, and is open")
            {
                REQUIRE(pushed.m_handled);
                REQUIRE(pushed.m_state == 1);
                REQUIRE(pushed.m_actions.size() == 2);
                REQUIRE(pushed.m_actions[0] == 0);
                REQUIRE(pushed.m_actions[1] == 1);
            }
        }
        WHEN("it is pulled while shut")
        {
            const chart_step pulled = step(c, at, 1);
            THEN("nothing happens")
            {
                REQUIRE_FALSE(pulled.m_handled);
                REQUIRE(pulled.m_state == at);
            }
        }
        WHEN("it burns, which the state around every state says")
        {
            REQUIRE(step(c, 0, 2).m_state == 2);
            REQUIRE(step(c, 1, 2).m_state == 2);
        }
    }

    GIVEN("a file that doesn't fit the code")
    {
        REQUIRE(fault_of("broken.scxml") == chart_fault::unreadable);
        REQUIRE(fault_of("unknown_event.scxml") == chart_fault::unknown_event);
        REQUIRE(fault_of("unknown_action.scxml") ==
                chart_fault::unknown_action);
        REQUIRE(fault_of("missing_target.scxml") ==
                chart_fault::missing_target);
        REQUIRE(fault_of("unreachable_state.scxml") ==
                chart_fault::unreachable_state);
        REQUIRE(fault_of("ambiguous.scxml") ==
                chart_fault::ambiguous_transition);
        REQUIRE_THROWS_AS(load_chart("/nowhere", door), chart_error);
    }
}
