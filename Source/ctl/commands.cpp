#include <ctl/commands.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <decide/settings_view.hpp>
#include <platform/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

using words = std::span<const std::string>;

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : bytes)
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

std::string random_key()
{
    constexpr std::size_t key_bytes = 32;
    std::array<std::uint8_t, key_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return "bbs_" + to_hex(bytes);
}

std::string show(operator_session& s, words)
{
    const platform_listing listing = list_objects(s, settings_prefix);
    nlohmann::ordered_json out = nlohmann::ordered_json::object();
    for (const platform_object& object : listing.m_objects)
        out["/" + settings_path(object.m_name)] = {
            {"version", object.m_version},
            {"own", nlohmann::json::parse(object.m_value)}};
    return out.dump(2) + "\n";
}

std::string put(operator_session& s, words arguments)
{
    const std::string& path = arguments[0];
    const node_settings own = decode_node(path, arguments[1]);
    const std::string name = settings_object_name(path);
    const platform_object before = get_object(s, name);
    const platform_object after =
        put_object(s, name, encode_node(own), before.m_version);
    return "version " + std::to_string(after.m_version) + "\n";
}

std::string grant_key(operator_session& s, words arguments)
{
    const std::string name = settings_object_name(arguments[0]);
    const platform_object before = get_object(s, name);
    node_settings own = decode_node(arguments[0], before.m_value);
    const std::string key = random_key();
    own.m_keys.push_back({arguments[1], to_hex(sha256(key)), false});
    put_object(s, name, encode_node(own), before.m_version);
    return key + "\n";
}

std::string withdraw_key(operator_session& s, words arguments)
{
    const std::string name = settings_object_name(arguments[0]);
    const platform_object before = get_object(s, name);
    node_settings own = decode_node(arguments[0], before.m_value);
    for (key_setting& key : own.m_keys)
        if (key.m_id == arguments[1])
            key.m_withdrawn = true;
    const platform_object after =
        put_object(s, name, encode_node(own), before.m_version);
    return "version " + std::to_string(after.m_version) + "\n";
}

struct command
{
    std::string_view m_name;
    std::size_t m_arguments;
    std::string_view m_usage;
    std::string (*m_run)(operator_session&, words);
};

constexpr std::array commands{
    command{"show", 0, "show", show},
    command{"put", 2, "put PATH JSON", put},
    command{"grant", 2, "grant WORKSPACE KEY_ID", grant_key},
    command{"withdraw", 2, "withdraw WORKSPACE KEY_ID", withdraw_key},
};

std::string usage()
{
    std::string text = "commands:\n";
    for (const command& c : commands)
        text.append("  ").append(c.m_usage).append("\n");
    return text;
}

}

usage_error::usage_error(std::string usage) : m_usage(std::move(usage)) {}

const char* usage_error::what() const noexcept
{
    return m_usage.c_str();
}

std::string run_command(operator_session& s, words line)
{
    if (line.empty())
        throw usage_error(usage());
    for (const command& c : commands)
        if (c.m_name == line.front() && c.m_arguments == line.size() - 1)
            return c.m_run(s, line.subspan(1));
    throw usage_error(usage());
}

}
