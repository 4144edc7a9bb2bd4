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

/// One settings object and the version somebody says it has.
struct object_version
{
    std::string_view m_name;
    std::uint64_t m_version = 0;
};

/// Versions by object name.
using version_map = std::map<std::string, std::uint64_t, std::less<>>;

/// What the platform answered: all objects, or those that changed.
struct listing_facts
{
    std::uint64_t m_revision = 0;
    bool m_whole = false;
    std::span<const object_version> m_objects;
};

/// True when the platform answers from an older copy of its store than the
/// one that what is known, or what peers know, came from. `newest_known` is
/// the newest version heard of when the question was sent; what was learnt
/// later says nothing about the answer.
bool is_reverted(const version_map& known, std::uint64_t newest_known,
                 const listing_facts& listing);

/// A daemon of the zone, as a candidate for the zone's one watch.
struct watch_candidate
{
    std::string_view m_name;
    bool m_fit = false; ///< Heard of lately, and the platform answers it.
};

/// True when the daemon `self` keeps the watch for its zone.
bool keeps_watch(std::string_view self,
                 std::span<const watch_candidate> zone) noexcept;

/// What a daemon without settings knows of its surroundings.
struct first_settings_view
{
    duration m_waited{}; ///< Since its start.
    bool m_vms_known = false;
    std::size_t m_peers = 0;
    std::size_t m_peers_heard = 0;
};

/// True when the platform's word may be taken: the peers have said what they
/// know, or were given the time to.
bool may_take_first(const first_settings_view& view) noexcept;

}

#endif
