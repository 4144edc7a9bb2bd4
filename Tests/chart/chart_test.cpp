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

chart_fault parse_fault(const std::string& file)
{
    try
    {
        parse_chart(read_file(file), door);
    }
    catch (const chart_error& e)
    {
        return e.m_fault;
    }
    FAIL("the chart was accepted");
    return chart_fault::unreadable;
}

}

TEST_CASE("A chart file is parsed, checked and interpreted")
{
    GIVEN("the chart of a door that opens, shuts and burns")
    {
        const chart c = parse_chart(read_file("door.scxml"), door);
        chart_index initial = c.m_initial;
        REQUIRE(initial == 0);

        WHEN("it is pushed")
        {
            const chart_step pushed = step(c, initial, 0);
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
            const chart_step pulled = step(c, initial, 1);
            THEN("the event isn't handled and the state stays")
            {
                REQUIRE_FALSE(pulled.m_handled);
                REQUIRE(pulled.m_state == initial);
            }
        }
        WHEN("it burns, by a transition inherited from the compound state")
        {
            REQUIRE(step(c, 0, 2).m_state == 2);
            REQUIRE(step(c, 1, 2).m_state == 2);
        }
    }

    GIVEN("files that are malformed or don't match the vocabulary")
    {
        REQUIRE(parse_fault("broken.scxml") == chart_fault::unreadable);
        REQUIRE(parse_fault("unknown_event.scxml") ==
                chart_fault::unknown_event);
        REQUIRE(parse_fault("unknown_action.scxml") ==
                chart_fault::unknown_action);
        REQUIRE(parse_fault("missing_target.scxml") ==
                chart_fault::missing_target);
        REQUIRE(parse_fault("unreachable_state.scxml") ==
                chart_fault::unreachable_state);
        REQUIRE(parse_fault("ambiguous.scxml") ==
                chart_fault::ambiguous_transition);
        REQUIRE_THROWS_AS(load_chart("/nowhere", door), chart_error);
    }
}
