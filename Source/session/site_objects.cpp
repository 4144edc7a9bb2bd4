#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/member_silence.hpp>
#include <model/name_check.hpp>
#include <report/event.hpp>
#include <session/milliseconds_of.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Names and prefixes that tell the kinds of objects apart in messages between
// peers.
constexpr std::string_view config_name = "config";
constexpr std::string_view endpoint_prefix = "endpoint/";
constexpr std::string_view evacuation_prefix = "evacuation/";
constexpr std::string_view member_prefix = "member/";
// Configurations that are kept for peers that have one of them. A peer is at
// most a second behind, in which an operator's tool may write three.
constexpr std::size_t max_earlier_configs = 4;

// What was ignored in one answer of the store or of a peer.
struct ignored_entries
{
    std::size_t m_count = 0;
    std::string m_first; ///< Its name, or its place in the configuration.
};

void add_ignored(ignored_entries& ignored, const std::string& name)
{
    if (ignored.m_count++ == 0)
        ignored.m_first = name;
}

// Reports all of them in one line, as any process may write many.
void record_ignored(site_task_state& t, stored_kind kind,
                    const ignored_entries& ignored)
{
    if (ignored.m_count == 0)
        return;
    t.m_ignored_entries[kind] += ignored.m_count;
    log_event(event_id::store_entries_ignored,
              {{"kind", std::string(to_string(kind))},
               {"entries", std::to_string(ignored.m_count)},
               {"first", ignored.m_first.substr(0, max_name_length)}});
}

constexpr auto by_name = [](const auto& entry) -> const std::string&
{
    return entry.first;
};

void apply_config(site_task_state& t, const stored_object& o)
{
    const site_config_ptr config = t.m_codec.m_read_config(o.m_value);
    if (!config)
    {
        log_event(event_id::settings_refused,
                  {{"revision", std::to_string(o.m_revision)}});
        return;
    }
    if (t.m_config && config->m_version <= t.m_config->m_version)
    {
        if (config->m_version < t.m_config->m_version)
            log_event(event_id::settings_reverted,
                      {{"version", std::to_string(config->m_version)},
                       {"kept", std::to_string(t.m_config->m_version)}});
        return;
    }
    const bool renames_services =
        !t.m_config ||
        !std::ranges::equal(t.m_config->m_services, config->m_services, {},
                            by_name, by_name);
    stored_object object = o;
    const site_config_ptr previous = std::exchange(t.m_config, config);
    // After an exception it is as if the configuration hadn't arrived, so that
    // it is read again.
    try
    {
        t.m_boxes.m_session.post(config_changed{config});
        t.m_boxes.m_failover.post(config_changed{config});
        t.m_boxes.m_life.post(config_changed{config});
        // Endpoints may arrive before the configuration that names their
        // service.
        if (renames_services)
            publish_endpoints(t);
        if (!t.m_config_object.m_value.empty())
            t.m_earlier_configs.push_front(std::move(t.m_config_object));
    }
    catch (...)
    {
        t.m_config = previous;
        throw;
    }
    if (t.m_earlier_configs.size() > max_earlier_configs)
        t.m_earlier_configs.pop_back();
    t.m_config_object = std::move(object);
    t.m_wants_full_config = false;
    const duration behind = time_behind(t);
    t.m_behind_since = {};
    log_event(event_id::settings_in_force,
              {{"version", std::to_string(config->m_version)},
               {"revision", std::to_string(t.m_config_object.m_revision)},
               {"behind_ms", milliseconds_of(behind)},
               {"routes", std::to_string(config->m_routes.size())}});
    record_ignored(t, stored_kind::configuration,
                   {config->m_left_out, config->m_first_left_out});
}

void apply_endpoints(site_task_state& t, std::span<const stored_change> changes,
                     bool complete)
{
    const time_point now = boot_now();
    const std::uint64_t revision =
        watch_of(t, stored_kind::endpoints).m_changed_revision;
    std::map<std::string, site_endpoint, std::less<>> listed;
    ignored_entries ignored;
    // A new list replaces the known one as a whole: after an exception, a part
    // of it must not be passed on to a peer as complete.
    decltype(t.m_endpoint_objects) new_objects;
    list_history new_history;
    restart_history(new_history, revision);
    auto& objects = complete ? new_objects : t.m_endpoint_objects;
    list_history& history = complete ? new_history : t.m_endpoint_history;
    for (const stored_change& c : changes)
    {
        const std::string& id = c.m_object.m_name;
        const auto endpoint =
            c.m_deleted ? std::nullopt
                        : t.m_codec.m_read_endpoint(id, c.m_object.m_value);
        if (!endpoint && !c.m_deleted)
            add_ignored(ignored, id);
        if (endpoint)
        {
            objects[id] = c.m_object;
            record_presence(history, id);
            listed.insert_or_assign(id, *endpoint);
        }
        else
        {
            objects.erase(id);
            record_removal(history, id, revision);
        }
        if (complete)
            continue;
        if (endpoint)
            put_endpoint(t.m_list, *endpoint);
        else
            remove_endpoint(t.m_list, id, now);
    }
    if (complete)
    {
        replace_endpoints(t.m_list, listed, now);
        t.m_endpoint_objects = std::move(new_objects);
        t.m_endpoint_history = std::move(new_history);
    }
    record_ignored(t, stored_kind::endpoints, ignored);
    t.m_lists_published = true;
    publish_endpoints(t);
}

void log_zones(const site_task_state& t,
               const std::set<std::string, std::less<>>& before)
{
    const auto log = [&](const std::string& zone, std::string_view state)
    {
        log_event(event_id::zone_changed,
                  {{"zone", zone},
                   {"state", std::string(state)},
                   {"revision", std::to_string(known_revision(t))}});
    };
    for (const std::string& zone : t.m_evacuated_zones)
        if (!before.contains(zone))
            log(zone, "evacuated");
    for (const std::string& zone : before)
        if (!t.m_evacuated_zones.contains(zone))
            log(zone, "in");
}

void apply_evacuations(site_task_state& t,
                       std::span<const stored_change> changes, bool complete)
{
    auto zones =
        complete ? decltype(t.m_evacuated_zones)() : t.m_evacuated_zones;
    for (const stored_change& c : changes)
    {
        if (c.m_deleted)
            zones.erase(c.m_object.m_name);
        else
            zones.insert(c.m_object.m_name);
    }
    const auto before = std::exchange(t.m_evacuated_zones, std::move(zones));
    log_zones(t, before);
    publish_endpoints(t);
}

members_changed make_members_changed(const site_task_state& t)
{
    members_changed m;
    for (const auto& [name, r] : t.m_members)
        if (r.m_session_address.m_port != 0)
            m.m_members.push_back(
                {name, r.m_zone, r.m_cores, r.m_session_address});
    return m;
}

void publish_fleet(site_task_state& t)
{
    update_peers(t);
    update_cell_mode(t);
    t.m_boxes.m_session.post(make_fleet_changed(t));
    t.m_boxes.m_session.post(make_members_changed(t));
}

// Forgets the members before a complete list is applied. Those that it lacks
// were removed since; a peer that has the list from before needs only the
// difference.
void forget_members(site_task_state& t, std::span<const stored_change> list,
                    std::uint64_t revision)
{
    std::set<std::string_view> listed;
    for (const stored_change& c : list)
        listed.insert(c.m_object.m_name);
    if (t.m_member_history.m_known_since == 0)
        restart_history(t.m_member_history, revision);
    for (const auto& [name, o] : t.m_member_objects)
        if (!listed.contains(name))
            record_removal(t.m_member_history, name, revision);
    t.m_members.clear();
    t.m_member_objects.clear();
}

void apply_members(site_task_state& t, std::span<const stored_change> changes,
                   bool complete)
{
    const std::uint64_t revision =
        watch_of(t, stored_kind::members).m_changed_revision;
    if (complete)
        forget_members(t, changes, revision);
    ignored_entries ignored;
    for (const stored_change& c : changes)
    {
        const std::string& name = c.m_object.m_name;
        if (c.m_deleted)
        {
            t.m_member_objects.erase(name);
            record_removal(t.m_member_history, name, revision);
        }
        else
        {
            t.m_member_objects.insert_or_assign(name, c.m_object);
            record_presence(t.m_member_history, name);
        }
        const auto member =
            t.m_codec.m_read_member(c.m_object.m_name, c.m_object.m_value);
        if (!c.m_deleted && !member)
            add_ignored(ignored, c.m_object.m_name);
        if (c.m_deleted || !member)
            t.m_members.erase(c.m_object.m_name);
        else
            t.m_members.insert_or_assign(c.m_object.m_name, *member);
    }
    record_ignored(t, stored_kind::members, ignored);
    if (complete && !t.m_cell.m_was_member)
        t.m_cell.m_was_member = t.m_members.contains(t.m_settings.m_name);
    if (complete || !t.m_members.contains(t.m_settings.m_name))
        register_member(t);
    // The followers learn of the change by the next vote requests.
    if (leads_cell(t, boot_now()))
        t.m_cell.m_votes_requested_at = {};
    publish_fleet(t);
}

}

namespace
{

// Logs a change of their number only: each change of the list finds them again.
void record_unconfigured(site_task_state& t, const ignored_entries& ignored)
{
    if (std::exchange(t.m_unconfigured_endpoints, ignored.m_count) ==
            ignored.m_count ||
        ignored.m_count == 0)
        return;
    log_event(event_id::endpoints_unconfigured,
              {{"endpoints", std::to_string(ignored.m_count)},
               {"first", ignored.m_first},
               {"config_version", std::to_string(t.m_config->m_version)}});
}

}

void apply_objects(site_task_state& t, stored_kind kind,
                   std::span<const stored_change> changes, bool complete)
{
    switch (kind)
    {
    case stored_kind::configuration:
        for (const stored_change& c : changes)
            if (!c.m_deleted)
                apply_config(t, c.m_object);
        return;
    case stored_kind::endpoints:
        return apply_endpoints(t, changes, complete);
    case stored_kind::evacuations:
        return apply_evacuations(t, changes, complete);
    case stored_kind::members:
        return apply_members(t, changes, complete);
    case stored_kind::duties:
    case stored_kind::usage_duties:
        return;
    }
}

bool lists_same_members(const site_task_state& t,
                        std::span<const stored_change> list)
{
    return list.size() == t.m_member_objects.size() &&
           std::ranges::all_of(
               list,
               [&](const stored_change& c)
               {
                   const auto known =
                       t.m_member_objects.find(c.m_object.m_name);
                   return known != t.m_member_objects.end() &&
                          known->second.m_revision == c.m_object.m_revision;
               });
}

void publish_endpoints(site_task_state& t, std::string_view removal)
{
    if (!t.m_lists_published || !t.m_config)
        return;
    const boost::intrusive_ptr<endpoint_snapshot> snapshot(
        new endpoint_snapshot);
    ignored_entries unconfigured;
    for (const auto& [id, entry] : t.m_list.m_entries)
        if (t.m_config->m_services.contains(entry.m_endpoint.m_service))
            snapshot->m_endpoints.emplace(id, entry.m_endpoint);
        else
            add_ignored(unconfigured, id);
    record_unconfigured(t, unconfigured);
    snapshot->m_evacuated_zones = t.m_evacuated_zones;
    const store_watch& w = watch_of(t, stored_kind::endpoints);
    // The changes of an answer are applied before its revision is.
    snapshot->m_revision = std::max(w.m_revision, w.m_changed_revision);
    snapshot->m_confirmed_at = std::max(w.m_confirmed_at, w.m_adopted_at);
    t.m_boxes.m_session.post(endpoints_changed{snapshot});
    t.m_boxes.m_failover.post(endpoints_changed{snapshot});
    log_list_change(t, *snapshot, removal);
    t.m_published_endpoints = snapshot;
}

void register_member(site_task_state& t)
{
    const member_record self{t.m_settings.m_name, t.m_settings.m_peer_listen,
                             t.m_settings.m_zone, t.m_settings.m_cores,
                             t.m_settings.m_session_listen};
    const auto found = t.m_members.find(self.m_name);
    if (found != t.m_members.end() && found->second == self)
        return;
    // An entry that every process ignores would be written again at each answer
    // of the store.
    if (!t.m_codec.m_read_member(self.m_name, t.m_codec.m_write_member(self)))
        return;
    // A member of this name with other values was replaced by this process. The
    // answer to the failed creation holds its current revision.
    const auto replaced = [&t, self](write_answer& a)
    {
        if (a.m_failure != store_failure::conflict || !a.m_object)
            return;
        stored_object next = *a.m_object;
        next.m_value = t.m_codec.m_write_member(self);
        t.m_store.m_write(stored_kind::members, next, [](write_answer&) {});
    };
    t.m_store.m_write(stored_kind::members,
                      {self.m_name, 0, t.m_codec.m_write_member(self)},
                      replaced);
}

void remove_silent_members(site_task_state& t)
{
    const time_point now = boot_now();
    const bool cells = has_zone_cells(t);
    // A cell leader has contact with a majority of its cell, and decides alone.
    if (!is_store_available(t) || (cells && !leads_cell(t, now)))
        return;
    std::vector<std::string> silent;
    std::size_t in_contact = 1;
    std::string first_in_contact = t.m_settings.m_name;
    for (const auto& [at, p] : t.m_peers)
    {
        const auto member = t.m_members.find(p.m_name);
        if (member == t.m_members.end() ||
            (cells && member->second.m_zone != t.m_settings.m_zone))
            continue;
        if (counts_as_gone(p.m_last_contact_at, t.m_contact_expected_since,
                           now))
            silent.push_back(p.m_name);
        else
        {
            ++in_contact;
            first_in_contact = std::min(first_in_contact, p.m_name);
        }
    }
    // Without zone cells, the process with the lowest name among those in
    // contact removes them, provided that these are a majority.
    if (silent.empty() || (!cells && (first_in_contact != t.m_settings.m_name ||
                                      2 * in_contact <= t.m_members.size())))
        return;
    for (const std::string& name : silent)
    {
        log_event(event_id::member_removed, {{"member", name}});
        t.m_members.erase(name);
        const auto stored = t.m_member_objects.find(name);
        t.m_store.m_remove(
            stored_kind::members,
            {name,
             stored != t.m_member_objects.end() ? stored->second.m_revision : 0,
             {}},
            [](write_answer&) {});
    }
    publish_fleet(t);
}

namespace
{

// The configuration is sent as a difference if the peer has one that is kept
// here.
void add_configuration(const site_task_state& t, std::uint64_t after,
                       bool accepts_delta, peer_settings& m)
{
    const stored_object& current = t.m_config_object;
    if (!t.m_config || current.m_revision <= after)
        return;
    const auto base = std::ranges::find(t.m_earlier_configs, after,
                                        &stored_object::m_revision);
    if (accepts_delta && base != t.m_earlier_configs.end())
        if (auto delta = make_text_delta(base->m_value, current.m_value))
        {
            m.m_config_delta = {after, current.m_revision, std::move(*delta)};
            return;
        }
    m.m_objects.push_back(
        {std::string(config_name), current.m_revision, current.m_value});
}

using stored_objects = std::map<std::string, stored_object, std::less<>>;

// Adds what changed after `known`, or the complete list if that isn't known.
void add_list(const stored_objects& objects, const list_history& history,
              std::string_view prefix, std::uint64_t known,
              peer_list_base& base, peer_settings& m)
{
    auto removed = removed_after(history, known);
    if (known != 0 && removed)
        base = {known, std::move(*removed)};
    for (const auto& [name, o] : objects)
        if (o.m_revision > base.m_since)
            m.m_objects.push_back(
                {std::string(prefix) + name, o.m_revision, o.m_value});
}

// The evacuated zones are few: all of them, unless nothing has changed.
void add_evacuations(const site_task_state& t, std::uint64_t known,
                     peer_settings& m)
{
    if (known >= watch_of(t, stored_kind::evacuations).m_changed_revision)
    {
        m.m_evacuations.m_since = known;
        if (known != 0)
            return;
    }
    for (const std::string& zone : t.m_evacuated_zones)
        m.m_objects.push_back({std::string(evacuation_prefix) + zone, 0, "{}"});
}

}

peer_settings make_peer_settings(const site_task_state& t,
                                 const peer_settings_request& request)
{
    const bool wants_lists = request.m_part == peer_settings_part::all ||
                             request.m_part == peer_settings_part::lists;
    const bool wants_configuration =
        request.m_part == peer_settings_part::all ||
        request.m_part == peer_settings_part::configuration;
    const peer_known_revisions known =
        request.m_known.value_or(peer_known_revisions());
    peer_settings m;
    m.m_version = known_revision(t);
    m.m_content_revision = changed_revision(t);
    if (wants_configuration)
    {
        m.m_known.m_configuration =
            watch_of(t, stored_kind::configuration).m_revision;
        add_configuration(t, request.m_after, request.m_known.has_value(), m);
    }
    if (wants_lists)
    {
        m.m_known.m_endpoints = watch_of(t, stored_kind::endpoints).m_revision;
        m.m_known.m_evacuations =
            watch_of(t, stored_kind::evacuations).m_revision;
        add_list(t.m_endpoint_objects, t.m_endpoint_history, endpoint_prefix,
                 known.m_endpoints, m.m_endpoints, m);
        add_evacuations(t, known.m_evacuations, m);
    }
    if (request.m_part == peer_settings_part::members)
    {
        m.m_known.m_members = watch_of(t, stored_kind::members).m_revision;
        add_list(t.m_member_objects, t.m_member_history, member_prefix,
                 known.m_members, m.m_members, m);
    }
    if (wants_lists && request.m_wants_members)
        for (const auto& [name, member] : t.m_members)
            m.m_vms.push_back(
                {name, to_string(member.m_address), member.m_zone, false});
    return m;
}

namespace
{

// Returns the peer's objects whose names begin with `prefix`, without it, and
// those that were removed.
std::vector<stored_change> changes_in(const peer_settings& m,
                                      std::string_view prefix,
                                      const peer_list_base& base)
{
    std::vector<stored_change> found;
    for (const peer_object& o : m.m_objects)
        if (o.m_name.starts_with(prefix))
            found.push_back(
                {{o.m_name.substr(prefix.size()), o.m_version, o.m_value},
                 false});
    for (const std::string& name : base.m_removed)
        found.push_back({{name, 0, {}}, true});
    return found;
}

// Each kind is judged by its own revision: a peer may be ahead in one and
// behind in another.
bool adopt_list(site_task_state& t, stored_kind kind, std::string_view prefix,
                std::uint64_t known, const peer_list_base& base,
                const peer_settings& m)
{
    store_watch& w = watch_of(t, kind);
    // Changes after a revision say nothing of what happened before it.
    if (known <= w.m_revision || base.m_since > w.m_revision)
        return false;
    w.m_adopted_at = boot_now();
    const std::vector<stored_change> changes = changes_in(m, prefix, base);
    const bool is_complete = base.m_since == 0;
    if (is_complete || !changes.empty())
    {
        const std::uint64_t before = std::exchange(w.m_changed_revision, known);
        // After an exception the list counts as unknown, and is fetched again.
        try
        {
            apply_objects(t, kind, changes, is_complete);
        }
        catch (...)
        {
            w.m_changed_revision = before;
            throw;
        }
    }
    w.m_revision = known;
    return true;
}

// Returns false if the difference is of another configuration.
bool apply_config_delta(site_task_state& t, const peer_config_delta& d)
{
    const stored_object& base = t.m_config_object;
    // It came from another process or the store meanwhile.
    if (d.m_revision <= base.m_revision)
        return true;
    const auto text = base.m_revision == d.m_base_revision
                          ? apply_text_delta(base.m_value, d.m_delta)
                          : std::nullopt;
    if (text)
    {
        apply_config(t, {std::string(config_name), d.m_revision, *text});
        return true;
    }
    t.m_wants_full_config = true;
    log_event(event_id::settings_delta_refused,
              {{"base", std::to_string(d.m_base_revision)},
               {"had", std::to_string(base.m_revision)},
               {"revision", std::to_string(d.m_revision)}});
    return false;
}

bool adopt_configuration(site_task_state& t, const peer_settings& m)
{
    store_watch& w = watch_of(t, stored_kind::configuration);
    const std::uint64_t before = t.m_config ? t.m_config->m_version : 0;
    for (const peer_object& o : m.m_objects)
        if (o.m_name == config_name)
            apply_config(t, {o.m_name, o.m_version, o.m_value});
    if (m.m_config_delta && !apply_config_delta(t, *m.m_config_delta))
        return false;
    const bool newer = t.m_config && t.m_config->m_version > before;
    if (newer)
        w.m_changed_revision =
            std::max(w.m_changed_revision, t.m_config_object.m_revision);
    const bool knows_more = m.m_known.m_configuration > w.m_revision;
    if (knows_more)
        w.m_revision = m.m_known.m_configuration;
    return newer || knows_more;
}

std::optional<member_record> to_member(const peer_vm& vm)
{
    if (!is_name(vm.m_name) || !is_name(vm.m_zone))
        return std::nullopt;
    try
    {
        member_record r{vm.m_name, parse_address(vm.m_address), vm.m_zone};
        return r.m_address.m_port == 0 ? std::nullopt
                                       : std::optional(std::move(r));
    }
    catch (const address_error&)
    {
        return std::nullopt;
    }
}

// The cell leader's list, from the store.
bool adopt_member_list(site_task_state& t, const peer_settings& m)
{
    const bool adopted = adopt_list(t, stored_kind::members, member_prefix,
                                    m.m_known.m_members, m.m_members, m);
    if (adopted)
        record_change(t.m_cell.m_member_relay, boot_now());
    t.m_wants_full_members =
        !adopted &&
        m.m_members.m_since > watch_of(t, stored_kind::members).m_revision;
    return adopted;
}

// The members as any peer knows them, for a process that knows none.
void adopt_members(site_task_state& t, std::span<const peer_vm> vms)
{
    ignored_entries ignored;
    decltype(t.m_members) members;
    for (const peer_vm& vm : vms)
        if (auto member = to_member(vm))
            members.insert_or_assign(vm.m_name, std::move(*member));
        else
            add_ignored(ignored, vm.m_name);
    record_ignored(t, stored_kind::members, ignored);
    t.m_members = std::move(members);
    // After an exception they count as unknown, and are fetched again.
    try
    {
        publish_fleet(t);
    }
    catch (...)
    {
        t.m_members.clear();
        throw;
    }
}

}

bool adopt_from_peer(site_task_state& t, const peer_settings& m)
{
    const std::uint64_t before = known_revision(t);
    const bool configuration = adopt_configuration(t, m);
    const bool has_lists = m.m_known.m_endpoints >
                               watch_of(t, stored_kind::endpoints).m_revision ||
                           m.m_known.m_evacuations >
                               watch_of(t, stored_kind::evacuations).m_revision;
    // Before the lists: what is fetched depends on their revisions alone.
    if (t.m_members.empty() && (configuration || has_lists))
        adopt_members(t, m.m_vms);
    const bool endpoints =
        adopt_list(t, stored_kind::endpoints, endpoint_prefix,
                   m.m_known.m_endpoints, m.m_endpoints, m);
    const bool evacuations =
        adopt_list(t, stored_kind::evacuations, evacuation_prefix,
                   m.m_known.m_evacuations, m.m_evacuations, m);
    const bool members = adopt_member_list(t, m);
    if (!configuration && !endpoints && !evacuations)
        return members;
    log_event(event_id::settings_adopted,
              {{"revision", std::to_string(known_revision(t))},
               {"had", std::to_string(before)}});
    return true;
}

}
