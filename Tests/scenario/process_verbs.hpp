#ifndef BLUEBELLSPOKE_SCENARIO_PROCESS_VERBS_HPP
#define BLUEBELLSPOKE_SCENARIO_PROCESS_VERBS_HPP

#include <map>
#include <memory>
#include <string>

#include <scenario/lua_host.hpp>
#include <support/background_writer.hpp>
#include <support/fleet.hpp>

namespace bluebellspoke::scenario
{

/// The processes of the section under way, and what runs against them.
struct process_world
{
    std::unique_ptr<support::fleet> m_fleet;
    std::map<std::string, support::caller> m_callers;
    std::map<std::string, std::unique_ptr<support::background_writer>>
        m_writers;
};

/// Adds the verbs that act on real processes, as the table `process`.
void add_process_verbs(lua_host& host, process_world& world);

}

#endif
