#include <daemon/control_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <report/event.hpp>
#include <store/epoch_codec.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::seconds call_limit{1};
constexpr milliseconds vm_period{1000};
constexpr milliseconds epoch_period{500};
/// Members up to which each asks the platform at these periods; beyond it, the
/// periods grow with the fleet and the platform's load stays the same.
constexpr std::size_t members_at_full_pace = 100;
/// How long a VM that was listed just now is waited for.
constexpr milliseconds join_wait{1000};
/// From one daemon that would propose a change of members to the next.
constexpr milliseconds propose_spacing{200};

milliseconds paced(const control_state& c, milliseconds period)
{
    const std::size_t members = c.m_fleet.m_epoch.m_members.size();
    const std::size_t factor =
        std::max<std::size_t>(members / members_at_full_pace, 1);
    return period * factor;
}

const platform_vm* find_vm(const control_state& c, std::string_view name)
{
    for (const platform_vm& vm : c.m_vms)
        if (vm.m_name == name)
            return &vm;
    return nullptr;
}

fleet_member self_of(const control_state& c)
{
    const platform_vm* vm = find_vm(c, c.m_daemon.m_name);
    return {c.m_daemon.m_name, c.m_incarnation,
            vm == nullptr ? to_string(c.m_daemon.m_peer_listen)
                          : vm->m_peer_address};
}

std::vector<member_observation> sights_of(const control_state& c)
{
    std::vector<member_observation> sights;
    sights.push_back({self_of(c), find_vm(c, c.m_daemon.m_name) != nullptr,
                      monotonic_clock::now(), c.m_fleet.m_epoch.m_number,
                      applied_epoch(c)});
    for (const auto& [name, p] : c.m_peers)
    {
        member_observation s;
        s.m_member = {name, 0, p.m_vm.m_peer_address};
        s.m_listed = find_vm(c, name) != nullptr;
        s.m_last_contact_at = p.m_since;
        if (p.m_last)
        {
            s.m_member.m_incarnation = p.m_last->m_incarnation;
            s.m_last_contact_at = p.m_asked_at;
            s.m_known_epoch = p.m_last->m_epoch;
            s.m_applied_epoch = p.m_last->m_applied_epoch;
        }
        sights.push_back(std::move(s));
    }
    return sights;
}

void add_unlisted(std::vector<platform_vm>& vms,
                  std::span<const fleet_member> members)
{
    for (const fleet_member& m : members)
    {
        const bool known = std::any_of(vms.begin(), vms.end(),
                                       [&](const platform_vm& vm)
                                       {
                                           return vm.m_name == m.m_name;
                                       });
        if (!known)
            vms.push_back({m.m_name, m.m_address, {}, vm_state::leaving});
    }
}

// Members that the list has lost are still asked: the list lags, and what they
// answer settles an epoch.
void refresh_peers(control_state& c)
{
    std::vector<platform_vm> vms = c.m_vms;
    add_unlisted(vms, c.m_fleet.m_epoch.m_members);
    add_unlisted(vms, c.m_fleet.m_epoch.m_former);
    set_peers(c, vms);
}

void note_members(control_state& c)
{
    c.m_members = std::max<std::size_t>(c.m_vms.size(), 1);
}

// Loans that the process before this one gave may still run. Only an epoch
// that didn't know the name before shows that there was none.
void note_joined(control_state& c)
{
    fleet_state& f = c.m_fleet;
    const fleet_member* mine =
        find_member(f.m_epoch.m_members, c.m_daemon.m_name);
    if (f.m_joined_at || mine == nullptr ||
        mine->m_incarnation != c.m_incarnation)
        return;
    const bool fresh =
        find_member(f.m_epoch.m_former, c.m_daemon.m_name) == nullptr;
    f.m_new_name = fresh;
    f.m_joined_at =
        f.m_started_at + (fresh ? duration::zero() : loan_term + loan_margin);
}

void follow_epoch(control_state& c, fleet_epoch epoch)
{
    c.m_fleet.m_epoch = std::move(epoch);
    c.m_fleet.m_propose_at.reset();
    log_event(
        event_id::fleet_epoch_followed,
        {{"epoch", std::to_string(c.m_fleet.m_epoch.m_number)},
         {"members", std::to_string(c.m_fleet.m_epoch.m_members.size())}});
    note_joined(c);
    refresh_peers(c);
    beat_soon(c);
}

// A lower version means that an old copy of the platform answered. Returns
// false when the object isn't what stands now.
bool take_epoch(control_state& c, const platform_object& object)
{
    if (object.m_version != 0 && object.m_version < c.m_fleet.m_epoch.m_number)
        return false;
    try
    {
        if (object.m_version > c.m_fleet.m_epoch.m_number)
            follow_epoch(c, decode_epoch(object.m_version, object.m_value));
        return true;
    }
    catch (const epoch_error&)
    {
        log_event(event_id::fleet_epoch_refused);
        return false;
    }
}

std::uint64_t rank_among_listed(const control_state& c)
{
    std::uint64_t rank = 0;
    for (const platform_vm& vm : c.m_vms)
        if (vm.m_name < c.m_daemon.m_name)
            ++rank;
    return rank;
}

void propose(control_state& c, std::vector<fleet_member> members,
             std::uint64_t if_version)
{
    c.m_fleet.m_proposing = true;
    const fleet_epoch next{0, std::move(members), c.m_fleet.m_epoch.m_members};
    c.m_platform.put(epoch_object, encode_epoch(next), if_version, call_limit,
                     [&c](platform_result<platform_object>&)
                     {
                         // Whatever the answer, what stands there now counts.
                         c.m_fleet.m_proposing = false;
                         read_epoch(c);
                     });
}

// VMs that start together become members together: an epoch of one or two has
// no majority to lose one from.
bool awaits_first_answer(const control_state& c, time_point now)
{
    return std::any_of(c.m_peers.begin(), c.m_peers.end(),
                       [&](const auto& entry)
                       {
                           const peer& p = entry.second;
                           return !p.m_last && now - p.m_since < join_wait;
                       });
}

// One change at a time: shares are worked out from two epochs only.
void consider_members(control_state& c, std::uint64_t present)
{
    fleet_state& f = c.m_fleet;
    const bool settled = f.m_epoch.m_number == 0 || f.m_settling.m_settled;
    if (!settled || f.m_proposing || c.m_vms.empty())
        return;
    const time_point now = monotonic_clock::now();
    if (awaits_first_answer(c, now))
        return;
    auto next = propose_members(f.m_epoch, sights_of(c), now);
    if (!next)
    {
        f.m_propose_at.reset();
        return;
    }
    if (!f.m_propose_at)
        f.m_propose_at = now + propose_spacing * rank_among_listed(c);
    if (now >= *f.m_propose_at)
        propose(c, std::move(*next), present);
}

void on_epoch(control_state& c, platform_result<platform_object>& result,
              time_point asked_at)
{
    c.m_fleet.m_reading = false;
    const auto* object = std::get_if<platform_object>(&result);
    c.m_fleet.m_platform_answers = object != nullptr;
    const bool current = object != nullptr && take_epoch(c, *object);
    if (current)
        c.m_fleet.m_confirmed_at = asked_at;
    update_right(c);
    if (current)
        consider_members(c, object->m_version);
    c.m_epoch_poll.start_once(paced(c, epoch_period));
}

void tell_members(control_state& c, std::span<const platform_vm> vms)
{
    members_changed m;
    for (const platform_vm& vm : vms)
        if (vm.m_state != vm_state::leaving)
            m.m_names.push_back(vm.m_name);
    c.m_boxes.m_pool.post(std::move(m));
}

void on_vms(control_state& c, platform_result<std::vector<platform_vm>>& result)
{
    c.m_vm_poll.start_once(paced(c, vm_period));
    const auto* vms = std::get_if<std::vector<platform_vm>>(&result);
    if (vms == nullptr)
        return;
    note_vms(c, *vms);
    tell_members(c, *vms);
}

}

void follow_vms(control_state& c)
{
    note_members(c);
    refresh_peers(c);
}

void poll_vms(control_state& c)
{
    c.m_platform.vms(call_limit,
                     [&c](platform_result<std::vector<platform_vm>>& result)
                     {
                         on_vms(c, result);
                     });
}

void read_epoch(control_state& c)
{
    if (std::exchange(c.m_fleet.m_reading, true))
        return;
    const time_point asked_at = monotonic_clock::now();
    c.m_platform.get(epoch_object, call_limit,
                     [&c, asked_at](platform_result<platform_object>& result)
                     {
                         on_epoch(c, result, asked_at);
                     });
}

void update_right(control_state& c)
{
    fleet_state& f = c.m_fleet;
    update_settling(f.m_settling, f.m_epoch, sights_of(c),
                    monotonic_clock::now());
    share_entitlement right;
    right.m_epoch = f.m_epoch;
    right.m_self = self_of(c);
    right.m_settled = f.m_settling.m_settled;
    right.m_is_first_incarnation = f.m_new_name;
    // One that is not a member yet has no share, but may borrow.
    right.m_valid_from = f.m_joined_at.value_or(time_point::max());
    for (const auto& [name, p] : c.m_peers)
        right.m_lenders.push_back(name);
    right.m_valid_until = standing_until(epoch_standing_of(c).m_view);
    c.m_boxes.m_front.post(right_changed{right});
    c.m_boxes.m_pool.post(right_changed{std::move(right)});
    announce_settings(c);
}

void announce_settings(control_state& c)
{
    const bool lenders = std::any_of(c.m_peers.begin(), c.m_peers.end(),
                                     [](const auto& entry)
                                     {
                                         const auto& last = entry.second.m_last;
                                         return last && last->m_epoch > 0;
                                     });
    // While the platform is away nobody can become a member.
    const bool borrows = lenders && !c.m_fleet.m_platform_answers;
    if (!c.m_fleet.m_unannounced || (!c.m_fleet.m_joined_at && !borrows))
        return;
    c.m_boxes.m_admin.post(
        settings_changed{std::exchange(c.m_fleet.m_unannounced, nullptr)});
}

std::uint64_t applied_epoch(const control_state& c)
{
    return *std::min_element(c.m_fleet.m_applied.begin(),
                             c.m_fleet.m_applied.end());
}

void note_applied(control_state& c, const right_applied& applied)
{
    const std::uint64_t before = applied_epoch(c);
    c.m_fleet.m_applied.at(static_cast<std::size_t>(applied.m_holder)) =
        applied.m_epoch;
    if (applied_epoch(c) == before)
        return;
    update_right(c);
    beat_soon(c);
}

witnessed_standing epoch_standing_of(const control_state& c)
{
    const fleet_state& f = c.m_fleet;
    witnessed_standing s;
    for (const fleet_member& m : f.m_epoch.m_members)
    {
        const auto p = c.m_peers.find(m.m_name);
        if (p == c.m_peers.end() || !p->second.m_last)
            continue;
        const peer_heartbeat& last = *p->second.m_last;
        if (last.m_incarnation == m.m_incarnation)
            s.m_witnesses.push_back(
                {p->second.m_asked_at, last.m_epoch,
                 milliseconds(last.m_epoch_confirmed_age_ms),
                 last.m_epoch_platform_is_available});
    }
    s.m_view = {f.m_epoch.m_number, f.m_confirmed_at, f.m_platform_answers,
                std::max<std::size_t>(f.m_epoch.m_members.size(), 1),
                s.m_witnesses};
    return s;
}

}
