#include <chart/chart.hpp>

#include <algorithm>
#include <optional>

#include <pugixml.hpp>

namespace bluebellspoke
{

namespace
{

struct chart_reader
{
    const chart_vocabulary& m_vocabulary;
    chart m_chart;
    std::vector<bool> m_defined_states;
};

[[noreturn]] void fail(const chart_reader& r, chart_fault fault,
                       std::string_view detail)
{
    throw chart_error(fault, r.m_vocabulary.m_chart, detail);
}

std::optional<chart_index> find_name(std::span<const std::string_view> names,
                                     std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<chart_index>(found - names.begin());
}

bool is_state(const pugi::xml_node& node)
{
    const std::string_view name = node.name();
    return name == "state" || name == "final";
}

chart_index state_index(const chart_reader& r, std::string_view id,
                        chart_fault fault)
{
    const auto index = find_name(r.m_vocabulary.m_states, id);
    if (!index)
        fail(r, fault, id);
    return *index;
}

void read_actions(chart_reader& r, const pugi::xml_node& transition,
                  chart_transition& entry)
{
    entry.m_first_action =
        static_cast<std::uint16_t>(r.m_chart.m_actions.size());
    for (const pugi::xml_node& child : transition.children())
    {
        if (child.type() != pugi::node_element)
            continue;
        if (std::string_view(child.name()) != "send")
            fail(r, chart_fault::unsupported_element, child.name());
        const std::string_view name = child.attribute("event").value();
        const auto action = find_name(r.m_vocabulary.m_actions, name);
        if (!action)
            fail(r, chart_fault::unknown_action, name);
        r.m_chart.m_actions.push_back(*action);
        ++entry.m_action_count;
    }
}

void read_transition(chart_reader& r, const pugi::xml_node& node,
                     chart_index source, bool inherited)
{
    if (node.attribute("cond"))
        fail(r, chart_fault::unsupported_element, "cond");
    const std::string_view event_name = node.attribute("event").value();
    const auto event = find_name(r.m_vocabulary.m_events, event_name);
    if (!event)
        fail(r, chart_fault::unknown_event, event_name);
    chart_transition& entry =
        r.m_chart.m_table[source * r.m_chart.m_event_count + *event];
    if (entry.m_defined && inherited)
        return;
    if (entry.m_defined)
        fail(r, chart_fault::ambiguous_transition, event_name);
    entry.m_defined = true;
    entry.m_target = source;
    // In SCXML, a transition without a target stays in its state.
    if (const auto target = node.attribute("target"))
        entry.m_target =
            state_index(r, target.value(), chart_fault::missing_target);
    read_actions(r, node, entry);
}

void read_transitions(chart_reader& r, const pugi::xml_node& node,
                      chart_index source, bool inherited)
{
    for (const pugi::xml_node& child : node.children("transition"))
        read_transition(r, child, source, inherited);
}

void check_children(const chart_reader& r, const pugi::xml_node& node)
{
    for (const pugi::xml_node& child : node.children())
        if (child.type() == pugi::node_element && !is_state(child) &&
            std::string_view(child.name()) != "transition")
            fail(r, chart_fault::unsupported_element, child.name());
}

// Compound states get no table rows of their own: their transitions are copied
// into the states inside them, so that an event takes a single table lookup.
void read_states(chart_reader& r, const pugi::xml_node& parent)
{
    check_children(r, parent);
    for (const pugi::xml_node& node : parent.children())
    {
        if (!is_state(node))
            continue;
        if (node.child("state") || node.child("final"))
        {
            read_states(r, node);
            continue;
        }
        check_children(r, node);
        const std::string_view id = node.attribute("id").value();
        const chart_index index =
            state_index(r, id, chart_fault::unknown_state);
        if (r.m_defined_states[index])
            fail(r, chart_fault::duplicate_state, id);
        r.m_defined_states[index] = true;
        r.m_chart.m_final[index] = std::string_view(node.name()) == "final";
        read_transitions(r, node, index, false);
        for (pugi::xml_node outer = node.parent(); is_state(outer);
             outer = outer.parent())
            read_transitions(r, outer, index, true);
    }
}

void check_targets_present(const chart_reader& r)
{
    for (const chart_transition& entry : r.m_chart.m_table)
        if (entry.m_defined && !r.m_defined_states[entry.m_target])
            fail(r, chart_fault::missing_target,
                 r.m_vocabulary.m_states[entry.m_target]);
}

void check_reachable(const chart_reader& r)
{
    std::vector<bool> reached(r.m_defined_states.size());
    std::vector<chart_index> pending{r.m_chart.m_initial};
    reached[r.m_chart.m_initial] = true;
    while (!pending.empty())
    {
        const std::size_t state = pending.back();
        pending.pop_back();
        for (std::size_t e = 0; e < r.m_chart.m_event_count; ++e)
        {
            const chart_transition& entry =
                r.m_chart.m_table[state * r.m_chart.m_event_count + e];
            if (!entry.m_defined || reached[entry.m_target])
                continue;
            reached[entry.m_target] = true;
            pending.push_back(entry.m_target);
        }
    }
    // This also rejects states of the vocabulary that the file doesn't define.
    for (std::size_t s = 0; s < reached.size(); ++s)
        if (!reached[s])
            fail(r, chart_fault::unreachable_state, r.m_vocabulary.m_states[s]);
}

chart read_document(const pugi::xml_document& document,
                    const chart_vocabulary& vocabulary)
{
    chart_reader r{vocabulary, {}, {}};
    const pugi::xml_node root = document.child("scxml");
    if (!root)
        fail(r, chart_fault::not_scxml, document.first_child().name());
    const std::size_t states = vocabulary.m_states.size();
    r.m_chart.m_name = vocabulary.m_chart;
    r.m_chart.m_event_count = vocabulary.m_events.size();
    r.m_chart.m_table.resize(states * vocabulary.m_events.size());
    r.m_chart.m_final.resize(states);
    r.m_defined_states.resize(states);
    const std::string_view initial = root.attribute("initial").value();
    if (initial.empty())
        fail(r, chart_fault::no_initial_state, "initial");
    r.m_chart.m_initial = state_index(r, initial, chart_fault::missing_target);
    read_states(r, root);
    check_targets_present(r);
    check_reachable(r);
    return std::move(r.m_chart);
}

}

std::string_view to_string(chart_fault fault) noexcept
{
    switch (fault)
    {
    case chart_fault::unreadable:
        return "unreadable";
    case chart_fault::not_scxml:
        return "not_scxml";
    case chart_fault::unsupported_element:
        return "unsupported_element";
    case chart_fault::duplicate_state:
        return "duplicate_state";
    case chart_fault::unknown_state:
        return "unknown_state";
    case chart_fault::unknown_event:
        return "unknown_event";
    case chart_fault::unknown_action:
        return "unknown_action";
    case chart_fault::missing_target:
        return "missing_target";
    case chart_fault::unreachable_state:
        return "unreachable_state";
    case chart_fault::ambiguous_transition:
        return "ambiguous_transition";
    case chart_fault::no_initial_state:
        return "no_initial_state";
    }
    return "unreadable";
}

chart_error::chart_error(chart_fault fault, std::string_view chart,
                         std::string_view detail)
    : m_fault(fault), m_chart(chart), m_detail(detail)
{
    m_text.append("chart ").append(chart).append(": ");
    m_text.append(to_string(fault)).append(": ").append(detail);
}

const char* chart_error::what() const noexcept
{
    return m_text.c_str();
}

chart load_chart(const std::filesystem::path& folder,
                 const chart_vocabulary& vocabulary)
{
    const std::filesystem::path file =
        folder / std::string(vocabulary.m_chart).append(".scxml");
    pugi::xml_document document;
    const pugi::xml_parse_result result = document.load_file(file.c_str());
    if (!result)
        throw chart_error(chart_fault::unreadable, vocabulary.m_chart,
                          file.native());
    return read_document(document, vocabulary);
}

chart parse_chart(std::string_view text, const chart_vocabulary& vocabulary)
{
    pugi::xml_document document;
    const pugi::xml_parse_result result =
        document.load_buffer(text.data(), text.size());
    if (!result)
        throw chart_error(chart_fault::unreadable, vocabulary.m_chart,
                          result.description());
    return read_document(document, vocabulary);
}

chart_step step(const chart& c, chart_index state, chart_index event) noexcept
{
    const chart_transition& entry = c.m_table[state * c.m_event_count + event];
    if (!entry.m_defined)
        return {false, state, {}};
    const std::span<const chart_index> actions(c.m_actions);
    return {true, entry.m_target,
            actions.subspan(entry.m_first_action, entry.m_action_count)};
}

}
