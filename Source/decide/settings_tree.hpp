#ifndef BLUEBELLSPOKE_DECIDE_SETTINGS_TREE_HPP
#define BLUEBELLSPOKE_DECIDE_SETTINGS_TREE_HPP

#include <cstdint>
#include <exception>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

enum class node_kind : std::uint8_t
{
    branch,
    workspace,
    service,
    zone,
    removed, ///< The object of a removed node stays, so that it can be told
             ///< apart from one that the platform lost.
};

std::string_view to_string(node_kind kind) noexcept;

/// A caller's key in the tree, which stores its hash and never the key itself.
struct key_setting
{
    std::string m_id;
    std::string m_sha256; ///< Of the whole key, lower-case hexadecimal.
    bool m_withdrawn = false;
};

/// One endpoint of a service's database group.
struct endpoint_setting
{
    std::string m_name;
    std::string m_address; ///< IP:port.
    std::string m_zone;
    bool m_leaving = false;
};

/// The values that one node sets itself. A missing value is inherited from the
/// nearest ancestor that sets it; the default applies when none does.
struct node_settings
{
    std::optional<node_kind> m_kind;              ///< Not inherited.
    std::optional<double> m_rate;                 ///< Statements per second.
    std::optional<double> m_burst;                ///< Statements.
    std::optional<double> m_weight;               ///< Share under overload.
    std::optional<std::uint32_t> m_time_limit_ms; ///< Arrival to answer.
    std::optional<std::uint32_t> m_confirm_ms;    ///< Wait for a majority.
    std::optional<std::uint32_t> m_lag_wait_ms;   ///< Read's wait at a replica.
    std::optional<std::uint32_t> m_queue_limit;   ///< Statements per daemon.
    std::optional<std::uint32_t> m_slots;         ///< Per endpoint.
    std::optional<std::uint32_t> m_connections;   ///< Per endpoint.
    std::optional<std::string> m_service;         ///< Path of the service.
    std::optional<bool> m_open;      ///< Reads need no key; not inherited.
    std::optional<bool> m_out;       ///< Zone is out of service; not inherited.
    std::vector<key_setting> m_keys; ///< Not inherited.
    std::vector<endpoint_setting> m_endpoints; ///< Not inherited.
};

/// A node and the version of the platform object that stores it.
struct settings_node
{
    std::uint64_t m_version = 0;
    node_settings m_own;
};

/// Nodes by path; the root's path is empty, `a/b` is a child of `a`.
using settings_tree = std::map<std::string, settings_node, std::less<>>;

enum class settings_fault : std::uint8_t
{
    malformed,
    unknown_field,
    wrong_type,
    out_of_range,
    missing_field,
    missing_parent,
    unknown_service,
    duplicate_key,
    bad_path,
};

std::string_view to_string(settings_fault fault) noexcept;

/// Thrown for an invalid tree or node; names the node, the field and the fault.
class settings_error : public std::exception
{
public:
    settings_error(settings_fault fault, std::string_view path,
                   std::string_view field);
    const char* what() const noexcept override;

    settings_fault m_fault;
    std::string m_path;
    std::string m_field;

private:
    std::string m_text;
};

/// Returns the path of the parent node, or nothing for the root.
std::optional<std::string_view> parent_path(std::string_view path) noexcept;

/// A value and the path of the node that sets it; no path for a default.
template <class Value>
struct inherited
{
    Value m_value;
    std::optional<std::string> m_from;
};

/// Returns a field's value at `path`, from the nearest node towards the root
/// that sets it.
template <class Value>
inherited<Value> inherit(const settings_tree& tree, std::string_view path,
                         std::optional<Value> node_settings::*field,
                         Value fallback)
{
    std::optional<std::string_view> at = path;
    while (at)
    {
        const auto node = tree.find(*at);
        if (node != tree.end() && node->second.m_own.*field)
            return {*(node->second.m_own.*field), std::string(*at)};
        at = parent_path(*at);
    }
    return {fallback, std::nullopt};
}

/// Checks a node's path, the ranges of its values and which fields its kind may
/// have. Throws settings_error.
void check_node(std::string_view path, const node_settings& own);

}

#endif
