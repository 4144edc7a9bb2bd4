#include <ctl/commands.hpp>

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/rand.h>

#include <decide/resolved_settings.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                                std::back_inserter(text));
    return text;
}

std::string random_key()
{
    constexpr std::size_t key_bytes = 32;
    std::array<std::uint8_t, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw ctl_error(ctl_fault::platform_unavailable,
                        "this machine has no random numbers now");
    return "bbs_" + to_hex(bytes);
}

void require_kind(operator_session& s, const std::string& path, node_kind kind)
{
    const settings_node node = find_node(read_tree(s), path);
    if (node.m_own.m_kind != kind)
        throw ctl_error(ctl_fault::unknown_node,
                        "/" + path + " is no " + std::string(to_string(kind)));
}

void require_absent(operator_session& s, const std::string& path)
{
    const stored_tree tree = read_tree(s);
    if (!is_absent(tree, path))
        throw ctl_error(ctl_fault::edit_conflict,
                        "/" + path + " stands already, at version " +
                            std::to_string(find_node(tree, path).m_version));
}

command_result make_workspace(operator_session& s, words arguments)
{
    require_absent(s, arguments[0]);
    return report_edit(apply_edit(s, {arguments[0], std::nullopt,
                                      [&](node_settings& own)
                                      {
                                          own.m_kind = node_kind::workspace;
                                          own.m_service = to_path(arguments[1]);
                                      }}));
}

command_result make_service(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    require_absent(s, path);
    const node_settings read = decode_node(
        path, R"({"kind":"service","endpoints":)" + arguments[1] + "}");
    return report_edit(apply_edit(s, {path, std::nullopt,
                                      [&](node_settings& own)
                                      {
                                          own = read;
                                      }}));
}

command_result grant_key(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    require_kind(s, path, node_kind::workspace);
    const std::string key = random_key();
    command_result result = report_edit(apply_edit(
        s,
        {arguments[0], std::nullopt,
         [&](node_settings& own)
         {
             own.m_keys.push_back({arguments[1], to_hex(sha256(key)), false});
         }}));
    result.m_json["key"] = key;
    result.m_text = key + "\n" + result.m_text;
    return result;
}

// Withdrawn keys stay listed, so that their callers are told what happened.
void withdraw(node_settings& own, words arguments)
{
    bool found = false;
    for (key_setting& key : own.m_keys)
        if (key.m_id == arguments[1])
            found = key.m_withdrawn = true;
    if (!found)
        throw ctl_error(ctl_fault::unknown_key,
                        arguments[1] + " of /" + arguments[0]);
}

command_result withdraw_key(operator_session& s, words arguments)
{
    const std::string path = to_path(arguments[0]);
    require_kind(s, path, node_kind::workspace);
    return report_edit(apply_edit(s, {path, std::nullopt,
                                      [&](node_settings& own)
                                      {
                                          withdraw(own, arguments);
                                      }}));
}

command_result move_endpoint(operator_session& s, words arguments, bool leaving)
{
    const std::string path = to_path(arguments[1]);
    require_kind(s, path, node_kind::service);
    return report_edit(apply_edit(
        s, {path, std::nullopt,
            [&](node_settings& own)
            {
                const auto found =
                    std::find_if(own.m_endpoints.begin(), own.m_endpoints.end(),
                                 [&](const endpoint_setting& e)
                                 {
                                     return e.m_name == arguments[2];
                                 });
                if (found == own.m_endpoints.end())
                    throw ctl_error(ctl_fault::unknown_endpoint,
                                    arguments[2] + " of /" + arguments[1]);
                found->m_leaving = leaving;
            }}));
}

command_result endpoint(operator_session& s, words arguments)
{
    if (arguments[0] != "leave" && arguments[0] != "join")
        throw usage_error("endpoint leave|join SERVICE NAME\n");
    return move_endpoint(s, arguments, arguments[0] == "leave");
}

std::string zone_path(const stored_tree& tree, const std::string& zone)
{
    for (const auto& [path, node] : tree.m_nodes)
    {
        const std::string name = path.substr(path.rfind('/') + 1);
        if (node.m_own.m_kind == node_kind::zone && name == zone)
            return path;
    }
    return zone;
}

command_result zone(operator_session& s, words arguments)
{
    if (arguments[0] != "out" && arguments[0] != "in")
        throw usage_error("zone out|in ZONE\n");
    const std::string path = zone_path(read_tree(s), arguments[1]);
    return report_edit(apply_edit(s, {path, std::nullopt,
                                      [&](node_settings& own)
                                      {
                                          own.m_kind = node_kind::zone;
                                          own.m_out = arguments[0] == "out";
                                      }}));
}

constexpr std::array commands{
    command{"workspace", 2, 2, "workspace PATH SERVICE",
            "makes a workspace that uses a service", make_workspace},
    command{"service", 2, 2, "service PATH ENDPOINTS_JSON",
            "makes a service of a database group", make_service},
    command{"grant", 2, 2, "grant WORKSPACE KEY_ID",
            "makes a key and prints it, this once", grant_key},
    command{"withdraw", 2, 2, "withdraw WORKSPACE KEY_ID",
            "ends a key and what runs by it", withdraw_key},
    command{"zone", 2, 2, "zone out|in ZONE",
            "takes an availability zone out, or back", zone},
    command{"endpoint", 3, 3, "endpoint leave|join SERVICE NAME",
            "lets an endpoint go, or come back", endpoint},
};

}

std::span<const command> access_commands() noexcept
{
    return commands;
}

}
