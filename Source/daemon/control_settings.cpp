#include <daemon/control_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <decide/settings_progress.hpp>
#include <report/event.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::seconds call_limit{5};
constexpr milliseconds tick{250};
// A waiting watch confirms nothing, so it must end well within the bound.
constexpr milliseconds watch_wait{250};
// The platform answers in milliseconds; later ones count as an outage.
constexpr milliseconds answer_limit{700};
// The zone's watch should have been heard of by then.
constexpr milliseconds late_confirmation{1000};
// Every daemon asks in an outage; the platform must bear it when it returns.
constexpr milliseconds outage_pause{2000};
constexpr milliseconds watch_pause{250};
constexpr milliseconds least_pause{50};

void publish(control_state& c)
{
    resolved_settings_ptr view;
    try
    {
        view = resolve_settings(c.m_tree, c.m_version);
    }
    catch (const settings_error& e)
    {
        c.m_unresolved = e.m_path;
        log_event(event_id::settings_refused, {{"fault", e.what()}});
        return;
    }
    c.m_published = true;
    c.m_unresolved.reset();
    log_event(event_id::settings_in_force,
              {{"version", std::to_string(c.m_version)}});
    c.m_boxes.m_front.post(settings_changed{view});
    c.m_boxes.m_pool.post(settings_changed{view});
    c.m_fleet.m_unannounced = view;
    announce_settings(c);
}

// A node that can't be read keeps its last good value, so that one bad edit
// doesn't take its workspace away.
void read_node(control_state& c, const platform_object& object)
{
    const std::string path = settings_path(object.m_name);
    try
    {
        c.m_tree[path] = {object.m_version, decode_node(path, object.m_value)};
        c.m_refused.erase(path);
    }
    catch (const settings_error& e)
    {
        c.m_refused.insert(path);
        log_event(event_id::settings_refused, {{"fault", e.what()}});
    }
}

bool take_object(control_state& c, const platform_object& object)
{
    const auto held = c.m_objects.find(object.m_name);
    const bool newer =
        held == c.m_objects.end() || held->second.m_version < object.m_version;
    if (!newer || object.m_version == 0)
        return false;
    c.m_objects.insert_or_assign(object.m_name, object);
    read_node(c, object);
    return true;
}

version_map known_versions(const control_state& c)
{
    version_map known;
    for (const auto& [name, object] : c.m_objects)
        known.emplace(name, object.m_version);
    return known;
}

/// A question to the platform.
struct question
{
    time_point m_asked_at{};
    std::uint64_t m_newest = 0; ///< Heard of when it was asked.
    bool m_whole = false;       ///< Asks for every object.
};

bool is_old_copy(const control_state& c, const platform_listing& listing,
                 const question& q)
{
    std::vector<object_version> versions;
    for (const platform_object& object : listing.m_objects)
        versions.push_back({object.m_name, object.m_version});
    const bool looks = q.m_whole || !versions.empty();
    return is_reverted(looks ? known_versions(c) : version_map(), q.m_newest,
                       {listing.m_revision, q.m_whole, versions});
}

std::uint64_t newest_object(const platform_listing& listing)
{
    std::uint64_t newest = 0;
    for (const platform_object& object : listing.m_objects)
        newest = std::max(newest, object.m_version);
    return newest;
}

void refuse_old_copy(const control_state& c, const platform_listing& listing)
{
    if (c.m_platform_answers)
        log_event(event_id::settings_reverted,
                  {{"revision", std::to_string(listing.m_revision)},
                   {"known", std::to_string(newest_heard(c))}});
}

void on_answer(control_state& c, platform_result<platform_listing>& result,
               const question& q)
{
    const time_point now = monotonic_clock::now();
    c.m_asking_platform = false;
    c.m_next_question = now + (c.m_platform_answers ? duration(watch_pause)
                                                    : duration(outage_pause));
    const auto* listing = std::get_if<platform_listing>(&result);
    const bool old = listing != nullptr && is_old_copy(c, *listing, q);
    if (old)
        refuse_old_copy(c, *listing);
    note_platform(c, listing != nullptr && !old);
    if (listing != nullptr && !old)
    {
        c.m_revision = std::max(c.m_revision, listing->m_revision);
        take_objects(c, listing->m_objects,
                     std::max(c.m_version, newest_object(*listing)));
        c.m_platform_confirmed_at = q.m_asked_at;
        if (c.m_published)
            c.m_next_question = q.m_asked_at + least_pause;
    }
    tend_settings(c);
}

void ask_platform(control_state& c, duration wait)
{
    c.m_asking_platform = true;
    c.m_asked_platform_at = monotonic_clock::now();
    // Nothing known, or a doubt whether the store is the same: all of it.
    const question q{c.m_asked_platform_at, newest_heard(c),
                     !c.m_published || !c.m_platform_answers};
    const auto done = [&c, q](platform_result<platform_listing>& result)
    {
        on_answer(c, result, q);
    };
    if (q.m_whole)
        c.m_platform.list(settings_prefix, call_limit, done);
    else
        c.m_platform.watch(settings_prefix, c.m_revision, wait, done);
}

// An answer that is late may still come, and counts as of its question.
void note_late_answer(control_state& c, time_point now)
{
    const duration limit = duration(answer_limit) + duration(watch_wait);
    if (c.m_asking_platform && now - c.m_asked_platform_at > limit)
        note_platform(c, false);
}

bool keeps_zone_watch(const control_state& c)
{
    const time_point now = monotonic_clock::now();
    std::vector<watch_candidate> zone;
    for (const auto& [name, p] : c.m_peers)
        if (p.m_vm.m_zone == c.m_daemon.m_zone && p.m_last)
            zone.push_back({name, p.m_last->m_platform_is_available &&
                                      !p.m_last->m_draining &&
                                      now - p.m_asked_at <= late_confirmation});
    return is_zone_watcher(c.m_daemon.m_name, zone);
}

bool may_begin(const control_state& c)
{
    const auto heard = std::count_if(c.m_peers.begin(), c.m_peers.end(),
                                     [](const auto& entry)
                                     {
                                         return entry.second.m_last.has_value();
                                     });
    return may_adopt_first_settings({monotonic_clock::now() - c.m_started_at,
                                     c.m_vms_known, c.m_peers.size(),
                                     static_cast<std::size_t>(heard)});
}

std::chrono::microseconds until_next_question(const control_state& c)
{
    const duration left = c.m_next_question - monotonic_clock::now();
    if (c.m_asking_platform || left <= duration::zero())
        return tick;
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::clamp<duration>(left, milliseconds(1), tick));
}

// A daemon that isn't its zone's watcher asks only when nobody has confirmed
// its settings to it for a while.
void ask_if_due(control_state& c)
{
    const time_point now = monotonic_clock::now();
    if (c.m_asking_platform || now < c.m_next_question)
        return;
    if (!c.m_published && !may_begin(c))
        return;
    const duration age = now - confirmed_at(standing_of(c).m_view);
    if (c.m_published && keeps_zone_watch(c))
        ask_platform(c, watch_wait);
    else if (!c.m_published || age >= late_confirmation)
        ask_platform(c, duration::zero());
}

}

void tend_settings(control_state& c)
{
    note_late_answer(c, monotonic_clock::now());
    fetch_from_peer(c);
    ask_if_due(c);
    tell_standing(c);
    c.m_settings_tick.start_once(until_next_question(c));
}

void take_objects(control_state& c, std::span<const platform_object> objects,
                  std::uint64_t version)
{
    bool changed = !c.m_published;
    for (const platform_object& object : objects)
        changed = take_object(c, object) || changed;
    c.m_version = std::max(c.m_version, version);
    if (!changed)
        return;
    publish(c);
    beat_peers(c);
}

std::uint64_t newest_heard(const control_state& c)
{
    std::uint64_t newest = c.m_version;
    for (const auto& [name, p] : c.m_peers)
        if (p.m_last)
            newest = std::max(newest, p.m_last->m_settings_version);
    return newest;
}

void note_platform(control_state& c, bool answers)
{
    if (answers == std::exchange(c.m_platform_answers, answers))
        return;
    log_event(answers ? event_id::platform_back : event_id::platform_lost);
}

}
