#include <scenario/lua_host.hpp>

#include <utility>

#include <lua.hpp>

namespace bluebellspoke::scenario
{

namespace
{

using nlohmann::json;

json to_json(lua_State* l, int index);

json table_to_json(lua_State* l, int index)
{
    const auto length = static_cast<lua_Integer>(lua_rawlen(l, index));
    if (length > 0)
    {
        json array = json::array();
        for (lua_Integer i = 1; i <= length; ++i)
        {
            lua_rawgeti(l, index, i);
            array.push_back(to_json(l, lua_gettop(l)));
            lua_pop(l, 1);
        }
        return array;
    }
    json object = json::object();
    lua_pushnil(l);
    while (lua_next(l, index) != 0)
    {
        // A number as a key would be changed by reading it as text.
        if (lua_type(l, -2) == LUA_TSTRING)
            object[lua_tostring(l, -2)] = to_json(l, lua_gettop(l));
        lua_pop(l, 1);
    }
    return object;
}

json to_json(lua_State* l, int index)
{
    switch (lua_type(l, index))
    {
    case LUA_TBOOLEAN:
        return lua_toboolean(l, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(l, index) != 0)
            return lua_tointeger(l, index);
        return lua_tonumber(l, index);
    case LUA_TSTRING:
    {
        std::size_t length = 0;
        const char* text = lua_tolstring(l, index, &length);
        return std::string(text, length);
    }
    case LUA_TTABLE:
        return table_to_json(l, index);
    default:
        return nullptr;
    }
}

// A null inside of a list would end it, so there it is the global `null`.
void push(lua_State* l, const json& value)
{
    constexpr int room = 4;
    luaL_checkstack(l, room, nullptr);
    if (value.is_boolean())
        lua_pushboolean(l, value.get<bool>() ? 1 : 0);
    else if (value.is_number_integer())
        lua_pushinteger(l, value.get<lua_Integer>());
    else if (value.is_number())
        lua_pushnumber(l, value.get<lua_Number>());
    else if (value.is_string())
    {
        const auto& text = value.get_ref<const std::string&>();
        lua_pushlstring(l, text.data(), text.size());
    }
    else if (value.is_array())
    {
        lua_newtable(l);
        lua_Integer next = 1;
        for (const json& item : value)
        {
            push(l, item);
            lua_rawseti(l, -2, next++);
        }
    }
    else if (value.is_object())
    {
        lua_newtable(l);
        for (const auto& [name, item] : value.items())
        {
            push(l, item);
            lua_setfield(l, -2, name.c_str());
        }
    }
    else
        lua_pushlightuserdata(l, nullptr);
}

// Returns false with the error's text on the stack. Lua's errors jump over
// destructors, so this must have returned before one is raised.
bool run_verb(lua_State* l)
{
    const auto& v =
        *static_cast<const verb*>(lua_touserdata(l, lua_upvalueindex(1)));
    try
    {
        json arguments = json::array();
        for (int i = 1; i <= lua_gettop(l); ++i)
            arguments.push_back(to_json(l, i));
        const json result = v.m_run(arguments);
        if (result.is_null())
            lua_pushnil(l);
        else
            push(l, result);
        return true;
    }
    catch (const std::exception& e)
    {
        lua_pushfstring(l, "%s: %s", v.m_name.c_str(), e.what());
        return false;
    }
}

int on_call(lua_State* l)
{
    if (!run_verb(l))
        return lua_error(l);
    return 1;
}

}

story_error::story_error(std::string text) : m_text(std::move(text)) {}

const char* story_error::what() const noexcept
{
    return m_text.c_str();
}

void lua_state_deleter::operator()(lua_State* state) const noexcept
{
    lua_close(state);
}

lua_host::lua_host() : m_state(luaL_newstate())
{
    luaL_openlibs(m_state.get());
    set("null", nullptr);
}

void lua_host::add(const char* table, verb v)
{
    lua_State* l = m_state.get();
    if (lua_getglobal(l, table) != LUA_TTABLE)
    {
        lua_pop(l, 1);
        lua_newtable(l);
        lua_pushvalue(l, -1);
        lua_setglobal(l, table);
    }
    m_verbs.push_back(std::move(v));
    lua_pushlightuserdata(l, &m_verbs.back());
    lua_pushcclosure(l, on_call, 1);
    lua_setfield(l, -2, m_verbs.back().m_name.c_str());
    lua_pop(l, 1);
}

void lua_host::set(const char* name, const json& value)
{
    push(m_state.get(), value);
    lua_setglobal(m_state.get(), name);
}

json lua_host::run(const std::filesystem::path& file)
{
    lua_State* l = m_state.get();
    const bool failed = luaL_loadfile(l, file.c_str()) != LUA_OK ||
                        lua_pcall(l, 0, 1, 0) != LUA_OK;
    if (failed)
    {
        const char* text = lua_tostring(l, -1);
        throw story_error(text == nullptr ? "no text" : text);
    }
    json result = to_json(l, lua_gettop(l));
    lua_pop(l, 1);
    return result;
}

}
