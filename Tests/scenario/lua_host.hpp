#ifndef BLUEBELLSPOKE_SCENARIO_LUA_HOST_HPP
#define BLUEBELLSPOKE_SCENARIO_LUA_HOST_HPP

#include <deque>
#include <exception>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

struct lua_State;

namespace bluebellspoke::scenario
{

/// A story's code failed outside of its sections.
class story_error : public std::exception
{
public:
    explicit story_error(std::string text);
    const char* what() const noexcept override;

private:
    std::string m_text;
};

/// One word of the language: takes its arguments as an array.
struct verb
{
    std::string m_name;
    std::function<nlohmann::json(const nlohmann::json&)> m_run;
};

struct lua_state_deleter
{
    void operator()(lua_State* state) const noexcept;
};

/// A Lua interpreter whose verbs take and give JSON values. An exception that
/// leaves a verb is a Lua error with its text.
class lua_host
{
public:
    lua_host();

    /// Makes a verb known as TABLE.NAME.
    void add(const char* table, verb v);
    /// Makes a value known as a global.
    void set(const char* name, const nlohmann::json& value);
    /// Runs a file and returns what it returns. Throws story_error.
    nlohmann::json run(const std::filesystem::path& file);

private:
    std::unique_ptr<lua_State, lua_state_deleter> m_state;
    std::deque<verb> m_verbs; ///< Lua holds pointers to them.
};

}

#endif
