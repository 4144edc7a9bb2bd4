#include <ctl/commands.hpp>

#include <array>

#include <ctl/node_text.hpp>
#include <ctl/settings_history.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

std::optional<std::uint64_t> version_word(words arguments, std::size_t index)
{
    if (arguments.size() <= index)
        return std::nullopt;
    return read_version(arguments[index]);
}

command_result show_tree(const stored_tree& tree)
{
    command_result result;
    result.m_json = ordered_json::object();
    for (const auto& [path, node] : tree.m_nodes)
    {
        if (is_absent(tree, path))
            continue;
        result.m_text.append(print_node(tree.m_nodes, path));
        result.m_json["/" + path] = describe_node(tree.m_nodes, path);
    }
    if (result.m_text.empty())
        result.m_text = "no nodes yet\n";
    return result;
}

command_result show(operator_session& s, words arguments)
{
    const stored_tree tree = read_tree(s);
    if (arguments.empty())
        return show_tree(tree);
    const std::string path = to_path(arguments[0]);
    find_node(tree, path);
    return {print_node(tree.m_nodes, path), describe_node(tree.m_nodes, path)};
}

// A word that is no JSON is meant as a text.
json to_value(const std::string& word)
{
    json value = json::parse(word, nullptr, false);
    return value.is_discarded() ? json(word) : value;
}

command_result edit_fields(operator_session& s, const std::string& path,
                           std::optional<std::uint64_t> version,
                           const sigc::slot<void(json&)>& change)
{
    return report_edit(apply_edit(s, {path, version,
                                      [&](node_settings& own)
                                      {
                                          json fields =
                                              json::parse(encode_node(own));
                                          change(fields);
                                          own =
                                              decode_node(path, fields.dump());
                                      }}));
}

command_result set_field(operator_session& s, words arguments)
{
    return edit_fields(s, to_path(arguments[0]), version_word(arguments, 3),
                       [&](json& fields)
                       {
                           fields[arguments[1]] = to_value(arguments[2]);
                       });
}

command_result unset_field(operator_session& s, words arguments)
{
    return edit_fields(s, to_path(arguments[0]), version_word(arguments, 2),
                       [&](json& fields)
                       {
                           fields.erase(arguments[1]);
                       });
}

command_result put(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    const node_settings wanted = decode_node(path, arguments[1]);
    return report_edit(apply_edit(s, {path, version_word(arguments, 2),
                                      [&](node_settings& own)
                                      {
                                          own = wanted;
                                      }}));
}

command_result remove(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    find_node(read_tree(s), path);
    return report_edit(apply_edit(s, {path, version_word(arguments, 1),
                                      [](node_settings& own)
                                      {
                                          own = node_settings();
                                          own.m_kind = node_kind::removed;
                                      }}));
}

command_result diff(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    const node_settings wanted = decode_node(path, arguments[1]);
    const stored_tree tree = read_tree(s);
    node_settings present;
    if (!is_absent(tree, path))
        present = find_node(tree, path).m_own;
    command_result result;
    result.m_json["changes"] = describe_changes(present, wanted);
    for (const std::string& line : describe_changes(present, wanted))
        result.m_text.append(line).append("\n");
    if (result.m_text.empty())
        result.m_text = "no change\n";
    return result;
}

command_result history(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    command_result result;
    result.m_json = ordered_json::array();
    const std::vector<history_entry> entries = read_history(s, path);
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        const history_entry& e = entries[i];
        const node_settings older = i + 1 < entries.size()
                                        ? entries[i + 1].m_node.m_own
                                        : node_settings();
        const auto changes = describe_changes(older, e.m_node.m_own);
        result.m_json.push_back({{"version", e.m_node.m_version},
                                 {"at", e.m_at},
                                 {"changes", changes}});
        result.m_text.append("version ")
            .append(std::to_string(e.m_node.m_version))
            .append(" ")
            .append(e.m_at)
            .append("\n");
        for (const std::string& line : changes)
            result.m_text.append("  ").append(line).append("\n");
    }
    if (entries.empty())
        result.m_text = "no history of /" + path + "\n";
    return result;
}

constexpr std::array commands{
    command{"show", 0, 1, "show [PATH]",
            "nodes, with own and inherited values told apart", show},
    command{"set", 3, 4, "set PATH FIELD VALUE [VERSION]",
            "sets one field of a node, and makes the node", set_field},
    command{"unset", 2, 3, "unset PATH FIELD [VERSION]",
            "lets a node inherit a field again", unset_field},
    command{"put", 2, 3, "put PATH JSON [VERSION]",
            "replaces a node's own values", put},
    command{"remove", 1, 2, "remove PATH [VERSION]", "removes a node", remove},
    command{"diff", 2, 2, "diff PATH JSON", "what 'put' would change", diff},
    command{"history", 1, 1, "history PATH", "a node's last values", history},
};

}

std::span<const command> settings_commands() noexcept
{
    return commands;
}

}
