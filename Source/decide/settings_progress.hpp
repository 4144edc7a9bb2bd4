#ifndef BLUEBELLSPOKE_DECIDE_SETTINGS_PROGRESS_HPP
#define BLUEBELLSPOKE_DECIDE_SETTINGS_PROGRESS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A settings object and the version that the platform or a peer reports.
struct object_version
{
    std::string_view m_name;
    std::uint64_t m_version = 0;
};

/// Versions by object name.
using version_map = std::map<std::string, std::uint64_t, std::less<>>;

/// An answer of the platform: all objects, or only those that changed.
struct settings_listing
{
    std::uint64_t m_revision = 0;
    bool m_is_complete = false; ///< It lists every object.
    std::span<const object_version> m_objects;
};

/// Returns true when the platform answers from an older copy of its store than
/// the one that the settings of this daemon or of its peers came from.
/// `newest_known` is the newest version known when the query was sent; versions
/// learnt later can't be compared with the answer.
bool is_reverted(const version_map& known, std::uint64_t newest_known,
                 const settings_listing& listing);

/// A daemon that may hold its zone's only watch on the platform.
struct watch_candidate
{
    std::string_view m_name;
    bool m_is_eligible = false; ///< Answered recently; the platform answers it.
};

/// Returns true when the daemon `self` holds the watch for its zone.
bool is_zone_watcher(std::string_view self,
                     std::span<const watch_candidate> zone) noexcept;

/// What a daemon without settings knows of its VM list and its peers.
struct first_settings_view
{
    duration m_waited{}; ///< Since the start of the daemon.
    bool m_vms_known = false;
    std::size_t m_peer_count = 0;
    std::size_t m_answered_peer_count = 0;
};

/// Returns true when the daemon may adopt the platform's settings: every peer
/// has reported which version it knows, or has had standing_bound to do so.
bool may_adopt_first_settings(const first_settings_view& view) noexcept;

}

#endif
