#ifndef BLUEBELLSPOKE_CHART_CHART_HPP
#define BLUEBELLSPOKE_CHART_CHART_HPP

#include <cstdint>
#include <exception>
#include <filesystem>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

/// Why a chart file was rejected.
enum class chart_fault : std::uint8_t
{
    unreadable,
    not_scxml,
    unsupported_element,
    duplicate_state,
    unknown_state,
    unknown_event,
    unknown_action,
    missing_target,
    unreachable_state,
    ambiguous_transition,
    no_initial_state,
};

/// Returns the stable name of a chart fault.
std::string_view to_string(chart_fault fault) noexcept;

/// Thrown when a chart is invalid; names the chart, the fault and the element,
/// name or file at fault.
class chart_error : public std::exception
{
public:
    chart_error(chart_fault fault, std::string_view chart,
                std::string_view detail);
    const char* what() const noexcept override;

    chart_fault m_fault;
    std::string m_chart;
    std::string m_detail;

private:
    std::string m_text;
};

/// The names of a chart's states, events and actions. The index of a name is
/// the value of its enumerator.
struct chart_vocabulary
{
    std::string_view m_chart;
    std::span<const std::string_view> m_states;
    std::span<const std::string_view> m_events;
    std::span<const std::string_view> m_actions;
};

using chart_index = std::uint8_t;

/// One entry of the transition table.
struct chart_transition
{
    bool m_defined = false;
    chart_index m_target = 0;
    std::uint16_t m_first_action = 0;
    std::uint16_t m_action_count = 0;
};

/// A state chart as a dense transition table, indexed by state and event.
struct chart
{
    std::string m_name;
    chart_index m_initial = 0;
    std::size_t m_event_count = 0;
    std::vector<chart_transition> m_table;
    std::vector<chart_index> m_actions;
    std::vector<bool> m_final;
};

/// The result of one event. The span refers to the chart and is valid as long
/// as the chart exists.
struct chart_step
{
    bool m_handled;
    chart_index m_state;
    std::span<const chart_index> m_actions;
};

/// Reads and checks the SCXML file `<folder>/<vocabulary.m_chart>.scxml`.
/// Throws chart_error.
chart load_chart(const std::filesystem::path& folder,
                 const chart_vocabulary& vocabulary);

/// Reads and checks SCXML text. Throws chart_error.
chart parse_chart(std::string_view text, const chart_vocabulary& vocabulary);

/// Returns the transition for an event. An event without a transition in
/// `state` is reported as not handled. Doesn't allocate memory.
chart_step step(const chart& c, chart_index state, chart_index event) noexcept;

/// A chart whose states, events and actions are enumerations instead of
/// indices.
template <class State, class Event, class Action>
struct typed_chart
{
    chart m_chart;

    State initial() const noexcept
    {
        return static_cast<State>(m_chart.m_initial);
    }

    /// Updates `state` and calls `act` for each action in document order.
    /// Returns false, and changes nothing, when the state doesn't handle the
    /// event.
    template <class Act>
    bool fire(State& state, Event event, Act&& act) const
    {
        const chart_step result = step(m_chart, static_cast<chart_index>(state),
                                       static_cast<chart_index>(event));
        if (!result.m_handled)
            return false;
        state = static_cast<State>(result.m_state);
        for (const chart_index action : result.m_actions)
            act(static_cast<Action>(action));
        return true;
    }

    /// As above, for charts whose transitions carry no actions.
    bool fire(State& state, Event event) const
    {
        return fire(state, event, [](Action) {});
    }
};

}

#endif
