#ifndef BLUEBELLSPOKE_STORE_SETTINGS_CODEC_HPP
#define BLUEBELLSPOKE_STORE_SETTINGS_CODEC_HPP

#include <string>
#include <string_view>

#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

/// Prefix of the platform's objects that hold the settings tree.
inline constexpr std::string_view settings_prefix = "settings/";

/// Converts a node's path to the object's name; the root is `settings/@`.
std::string settings_object_name(std::string_view path);
/// Converts an object's name to the node's path.
std::string settings_path(std::string_view object_name);

/// Decodes one node from JSON. Throws settings_error, also for unknown fields.
node_settings decode_node(std::string_view path, std::string_view json);
std::string encode_node(const node_settings& own);

}

#endif
