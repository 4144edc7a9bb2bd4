#include <daemon/control_state.hpp>

#include <algorithm>
#include <utility>

#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

const peer* find_newest(const control_state& c)
{
    const peer* newest = nullptr;
    for (const auto& [name, p] : c.m_peers)
        if (p.m_last &&
            (newest == nullptr ||
             p.m_last->m_settings_version > newest->m_last->m_settings_version))
            newest = &p;
    return newest;
}

std::vector<platform_vm> to_vms(std::span<const peer_vm> passed_on)
{
    std::vector<platform_vm> vms;
    for (const peer_vm& vm : passed_on)
        vms.push_back({vm.m_name, vm.m_address, vm.m_zone,
                       vm.m_leaving ? vm_state::leaving : vm_state::live});
    return vms;
}

void take_settings(control_state& c, const peer_settings& m)
{
    std::vector<platform_object> objects;
    for (const peer_object& o : m.m_objects)
        objects.push_back({o.m_name, o.m_version, o.m_value});
    if (!c.m_vms_known && !m.m_vms.empty())
    {
        note_vms(c, to_vms(m.m_vms));
    }
    if (c.m_secrets.empty() && !m.m_secrets.empty())
    {
        c.m_secrets = m.m_secrets;
        c.m_boxes.m_front.post(session_secrets{m.m_secrets});
    }
    if (m.m_version > c.m_version)
        take_objects(c, objects, m.m_version);
}

}

void fetch_from_peer(control_state& c)
{
    const peer* newest = find_newest(c);
    if (c.m_asking_peer || newest == nullptr ||
        newest->m_last->m_settings_version <= c.m_version)
        return;
    c.m_asking_peer = true;
    const std::string name = newest->m_vm.m_name;
    send_to_peer(c, name, peer_settings_request{c.m_version},
                 [&c](std::optional<peer_message>& answer)
                 {
                     c.m_asking_peer = false;
                     if (!answer)
                         return;
                     if (const auto* m = std::get_if<peer_settings>(&*answer))
                         take_settings(c, *m);
                     tell_standing(c);
                 });
}

peer_settings settings_for_peer(const control_state& c, std::uint64_t after)
{
    peer_settings m;
    m.m_version = c.m_version;
    for (const auto& [name, object] : c.m_objects)
        if (object.m_version > after)
            m.m_objects.push_back({name, object.m_version, object.m_value});
    for (const platform_vm& vm : c.m_vms)
        m.m_vms.push_back({vm.m_name, vm.m_peer_address, vm.m_zone,
                           vm.m_state == vm_state::leaving});
    m.m_secrets = c.m_secrets;
    return m;
}

peer_status status_of(const control_state& c)
{
    std::set<std::string> refused = c.m_refused;
    if (c.m_unresolved)
        refused.insert(*c.m_unresolved);
    return {c.m_daemon.m_name,
            c.m_daemon.m_zone,
            c.m_version,
            std::min(c.m_front_version, c.m_pool_version),
            std::string(to_string(c.m_standing)),
            c.m_life,
            {refused.begin(), refused.end()},
            to_string(c.m_daemon.m_admin_listen)};
}

void note_caller(control_state& c, const peer_heartbeat& m)
{
    const auto found = c.m_peers.find(m.m_name);
    const bool known = found != c.m_peers.end();
    if (!known && (c.m_vms_known || m.m_name == c.m_daemon.m_name))
        return;
    if (!known)
    {
        c.m_vms.push_back({m.m_name, m.m_address, m.m_zone, vm_state::live});
        set_peers(c, c.m_vms);
        beat_peers(c);
        return;
    }
    // The zone's watcher says so at once when there is something new.
    if (found->second.m_last &&
        m.m_settings_version > found->second.m_last->m_settings_version)
    {
        found->second.m_last->m_settings_version = m.m_settings_version;
        fetch_from_peer(c);
    }
}

void note_vms(control_state& c, std::span<const platform_vm> vms)
{
    c.m_vms.assign(vms.begin(), vms.end());
    const bool first = !std::exchange(c.m_vms_known, true);
    follow_vms(c);
    if (first)
        beat_peers(c);
    for (const platform_vm& vm : vms)
        if (vm.m_name == c.m_daemon.m_name && vm.m_state == vm_state::leaving)
            c.m_boxes.m_admin.post(drain_begun());
}

}
