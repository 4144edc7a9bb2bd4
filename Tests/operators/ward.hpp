#ifndef BLUEBELLSPOKE_OPERATORS_WARD_HPP
#define BLUEBELLSPOKE_OPERATORS_WARD_HPP

#include <memory>
#include <string>
#include <vector>

#include <support/fleet.hpp>

namespace bluebellspoke::support
{

/// A fleet that serves one workspace, "ward", with one key.
struct ward
{
    explicit ward(const fleet_options& options);

    fleet m_fleet;
    session m_clerk;
    std::vector<std::unique_ptr<caller>> m_callers; ///< One a daemon.
};

nlohmann::json read_bears();
nlohmann::json write_bear(const std::string& id);

/// A read through one daemon.
reply read_through(ward& w, std::size_t daemon);
/// True when every daemon serves the clerk.
bool all_serve(ward& w);
/// The control task's part of a daemon's dump.
std::string standing_of(const daemon_node& d);

}

#endif
