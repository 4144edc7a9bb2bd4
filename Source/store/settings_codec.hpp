#ifndef BLUEBELLSPOKE_STORE_SETTINGS_CODEC_HPP
#define BLUEBELLSPOKE_STORE_SETTINGS_CODEC_HPP

#include <string>
#include <string_view>

#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

/// Prefix of the platform's objects that hold the settings tree.
inline constexpr std::string_view settings_prefix = "settings/";

/// The object's name for a node's path; the root is `settings/@`.
std::string settings_object_name(std::string_view path);
/// The node's path for an object's name.
std::string settings_path(std::string_view object_name);

/// Reads one node's JSON; unknown fields are refused. Throws settings_error.
node_settings decode_node(std::string_view path, std::string_view json);
std::string encode_node(const node_settings& own);

}

#endif
