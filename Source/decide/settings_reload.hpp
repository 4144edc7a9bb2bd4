#ifndef BLUEBELLSPOKE_DECIDE_SETTINGS_RELOAD_HPP
#define BLUEBELLSPOKE_DECIDE_SETTINGS_RELOAD_HPP

#include <string_view>
#include <vector>

#include <model/site.hpp>

namespace bluebellspoke
{

/// Result of reloading the settings file in a running process.
struct settings_reload
{
    site_settings m_settings;                 ///< In force after the reload.
    std::vector<std::string_view> m_followed; ///< Changed and applied.
    std::vector<std::string_view>
        m_kept_until_restart; ///< Changed, but need a restart.
};

/// Applies changes of zones, seeds, the grace period and the rate bounds.
/// Names, locations and addresses only change with a restart, since open
/// sockets and peers depend on them.
settings_reload merge_reloaded_settings(const site_settings& running,
                                        const site_settings& read);

}

#endif
