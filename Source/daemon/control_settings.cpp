#include <daemon/control_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <platform/settings_codec.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds call_limit{2};
constexpr std::chrono::seconds watch_wait{10};
constexpr std::chrono::milliseconds retry_delay{250};

void publish(control_state& c)
{
    settings_view_ptr view;
    try
    {
        view = resolve(c.m_tree, c.m_version);
    }
    catch (const settings_error& e)
    {
        log_event(event_id::settings_refused, {{"fault", e.what()}});
        return;
    }
    log_event(event_id::settings_in_force,
              {{"version", std::to_string(c.m_version)}});
    c.m_boxes.m_front.post(settings_changed{view});
    c.m_boxes.m_pool.post(settings_changed{view});
    c.m_boxes.m_admin.post(settings_changed{view});
}

// A node that can't be read keeps its last good value, so that one bad edit
// doesn't take its workspace away.
void take_object(control_state& c, const platform_object& object)
{
    const std::string path = settings_path(object.m_name);
    c.m_version = std::max(c.m_version, object.m_version);
    if (object.m_version == 0)
    {
        c.m_tree.erase(path);
        return;
    }
    try
    {
        c.m_tree[path] = {object.m_version, decode_node(path, object.m_value)};
    }
    catch (const settings_error& e)
    {
        log_event(event_id::settings_refused, {{"fault", e.what()}});
    }
}

// The store's revision only grows. A lower one means that an old copy of the
// platform answered; what it says is not taken.
bool take_listing(control_state& c, const platform_listing& listing)
{
    if (listing.m_revision < c.m_revision)
        return false;
    c.m_revision = listing.m_revision;
    for (const platform_object& object : listing.m_objects)
        take_object(c, object);
    return true;
}

void on_listed(control_state& c, platform_result<platform_listing>& result)
{
    const auto* listing = std::get_if<platform_listing>(&result);
    note_platform(c, listing != nullptr);
    if (listing == nullptr || listing->m_revision < c.m_revision)
    {
        c.m_retry_settings.start_once(retry_delay);
        return;
    }
    c.m_tree.clear();
    take_listing(c, *listing);
    c.m_version = listing->m_revision;
    publish(c);
    watch_settings(c);
}

void on_watched(control_state& c, platform_result<platform_listing>& result)
{
    const auto* listing = std::get_if<platform_listing>(&result);
    note_platform(c, listing != nullptr);
    if (listing == nullptr || !take_listing(c, *listing))
    {
        // Changes may have passed unseen meanwhile, so the whole is read anew.
        c.m_retry_settings.start_once(retry_delay);
        return;
    }
    if (!listing->m_objects.empty())
    {
        c.m_version = listing->m_revision;
        publish(c);
    }
    watch_settings(c);
}

}

void load_settings(control_state& c)
{
    c.m_platform.list(settings_prefix, call_limit,
                      [&c](platform_result<platform_listing>& result)
                      {
                          on_listed(c, result);
                      });
}

void watch_settings(control_state& c)
{
    c.m_platform.watch(settings_prefix, c.m_revision, watch_wait,
                       [&c](platform_result<platform_listing>& result)
                       {
                           on_watched(c, result);
                       });
}

void note_platform(control_state& c, bool answers)
{
    if (answers == std::exchange(c.m_platform_answers, answers))
        return;
    log_event(answers ? event_id::platform_back : event_id::platform_lost);
}

}
