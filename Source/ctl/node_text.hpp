#ifndef BLUEBELLSPOKE_CTL_NODE_TEXT_HPP
#define BLUEBELLSPOKE_CTL_NODE_TEXT_HPP

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

/// A node's own values, and what holds at it with the node that said it.
nlohmann::ordered_json describe_node(const settings_tree& tree,
                                     std::string_view path);
/// The same for people.
std::string print_node(const settings_tree& tree, std::string_view path);

}

#endif
