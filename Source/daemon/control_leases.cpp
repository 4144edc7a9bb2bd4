#include <daemon/control_leases.hpp>

#include <algorithm>
#include <chrono>

#include <daemon/control_state.hpp>
#include <store/lease_codec.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds call_limit{400};

void fire(control_state& c, const std::string& group, lease_event event);

void tell(control_state& c, const group_claim& claim, lease_verdict verdict)
{
    c.m_boxes.m_pool.post(lease_answer{claim.m_wanted.m_group,
                                       claim.m_wanted.m_ticket, verdict,
                                       group_lease_expiry(claim.m_asked_at)});
}

// An answer to an earlier claim says nothing about this one.
bool is_current(control_state& c, const std::string& group, std::uint64_t claim)
{
    return c.m_leases.m_claims[group].m_record.m_claim_id == claim;
}

void on_read(control_state& c, const std::string& group,
             platform_result<platform_object>& result)
{
    group_claim& claim = c.m_leases.m_claims[group];
    const auto* object = std::get_if<platform_object>(&result);
    if (object == nullptr)
    {
        fire(c, group, lease_event::unanswered);
        return;
    }
    const time_point now = monotonic_clock::now();
    claim.m_seen = observe_group_lease(claim.m_seen, object->m_version,
                                       decode_lease(object->m_value), now);
    claim.m_version = object->m_version;
    switch (evaluate_group_lease(*claim.m_seen, claim.m_record, now))
    {
    case group_lease_status::available:
        fire(c, group, lease_event::free);
        break;
    case group_lease_status::held_by_other:
        fire(c, group, lease_event::held_by_other);
        break;
    case group_lease_status::held_by_claim:
        fire(c, group, lease_event::owned);
        break;
    }
}

void read_object(control_state& c, const std::string& group)
{
    const std::uint64_t claim = c.m_leases.m_claims[group].m_record.m_claim_id;
    c.m_platform.get(
        lease_object_name(group), call_limit,
        [&c, group, claim](platform_result<platform_object>& result)
        {
            if (is_current(c, group, claim))
                on_read(c, group, result);
        });
}

void on_written(control_state& c, const std::string& group,
                platform_result<platform_object>& result)
{
    if (const auto* object = std::get_if<platform_object>(&result))
    {
        c.m_leases.m_claims[group].m_version = object->m_version;
        fire(c, group, lease_event::written);
        return;
    }
    const bool conflict =
        std::get<platform_failure>(result) == platform_failure::conflict;
    fire(c, group,
         conflict ? lease_event::held_by_other : lease_event::unanswered);
}

// The lease is counted from before the first try was sent: a lost answer may
// belong to a write that took effect at once.
void write_claim(control_state& c, const std::string& group)
{
    group_claim& claim = c.m_leases.m_claims[group];
    if (claim.m_asked_at == time_point())
        claim.m_asked_at = monotonic_clock::now();
    c.m_platform.put(lease_object_name(group), encode_lease(claim.m_record),
                     claim.m_version, call_limit,
                     [&c, group, number = claim.m_record.m_claim_id](
                         platform_result<platform_object>& r)
                     {
                         if (is_current(c, group, number))
                             on_written(c, group, r);
                     });
}

// Only a courtesy to the next daemon; the lease lapses without it.
void write_release(control_state& c, const std::string& group)
{
    const group_claim& claim = c.m_leases.m_claims[group];
    ++c.m_leases.m_releasing;
    c.m_platform.put(lease_object_name(group), encode_lease({}),
                     claim.m_version, call_limit,
                     [&c](platform_result<platform_object>&)
                     {
                         --c.m_leases.m_releasing;
                         report_if_drained(c);
                     });
}

void act(control_state& c, const std::string& group, lease_action action)
{
    const group_claim& claim = c.m_leases.m_claims[group];
    switch (action)
    {
    case lease_action::read_object:
        read_object(c, group);
        break;
    case lease_action::write_claim:
        write_claim(c, group);
        break;
    case lease_action::write_release:
        write_release(c, group);
        break;
    case lease_action::report_granted:
        tell(c, claim, lease_verdict::granted);
        break;
    case lease_action::report_denied:
        tell(c, claim, lease_verdict::denied);
        break;
    case lease_action::report_unanswered:
        tell(c, claim, lease_verdict::unanswered);
        break;
    }
}

void fire(control_state& c, const std::string& group, lease_event event)
{
    c.m_leases.m_chart.fire(c.m_leases.m_claims[group].m_state, event,
                            [&](lease_action action)
                            {
                                act(c, group, action);
                            });
    report_if_drained(c);
}

bool is_unsettled(const group_claim& claim)
{
    return claim.m_state == lease_state::withdrawing ||
           claim.m_state == lease_state::checking;
}

}

void want_lease(control_state& c, const lease_wanted& m)
{
    group_claim& claim = c.m_leases.m_claims[m.m_group];
    claim.m_wanted = m;
    claim.m_record = {m.m_candidate, c.m_leases.m_next_claim++,
                      static_cast<std::uint64_t>(group_lease_duration.count())};
    claim.m_asked_at = {};
    fire(c, m.m_group, lease_event::requested);
}

void release_lease(control_state& c, const lease_released& m)
{
    fire(c, m.m_group, lease_event::released);
}

void report_if_drained(control_state& c)
{
    const lease_keeper& k = c.m_leases;
    const bool unsettled = std::any_of(k.m_claims.begin(), k.m_claims.end(),
                                       [](const auto& entry)
                                       {
                                           return is_unsettled(entry.second);
                                       });
    if (c.m_draining && k.m_given_up && k.m_releasing == 0 && !unsettled)
        c.m_boxes.m_admin.post(task_drained{"control"});
}

}
