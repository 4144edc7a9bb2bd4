#ifndef BLUEBELLSPOKE_DECIDE_FOLLOWED_SETTINGS_HPP
#define BLUEBELLSPOKE_DECIDE_FOLLOWED_SETTINGS_HPP

#include <string_view>
#include <vector>

#include <model/site.hpp>

namespace bluebellspoke
{

/// What a running process makes of a settings file that was read again.
struct followed_settings
{
    site_settings m_settings; ///< In force from now on.
    std::vector<std::string_view> m_followed;
    std::vector<std::string_view> m_kept; ///< Changed, but need a new start.
};

/// Follows zones, seeds, the grace and the bounds of rates. Names, places and
/// addresses are the process's own: sockets and its peers hang on them.
followed_settings follow_settings(const site_settings& running,
                                  const site_settings& read);

}

#endif
