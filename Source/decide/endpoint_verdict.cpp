#include <decide/endpoint_verdict.hpp>

namespace bluebellspoke
{

std::string_view to_string(endpoint_verdict verdict) noexcept
{
    switch (verdict)
    {
    case endpoint_verdict::usable:
        return "usable";
    case endpoint_verdict::not_listed:
        return "not listed";
    case endpoint_verdict::avoided:
        return "avoided";
    case endpoint_verdict::busy:
        return "busy";
    case endpoint_verdict::draining:
        return "draining";
    case endpoint_verdict::evacuated:
        return "evacuated";
    case endpoint_verdict::region:
        return "region";
    case endpoint_verdict::tried:
        return "tried";
    case endpoint_verdict::lags:
        return "lags";
    case endpoint_verdict::not_primary:
        return "not primary";
    case endpoint_verdict::no_lease:
        return "no lease";
    case endpoint_verdict::no_position:
        return "no position";
    case endpoint_verdict::no_connection:
        return "no connection";
    }
    return "usable";
}

endpoint_verdict judge_availability(const endpoint_availability& e,
                                    bool only_primary, time_point now)
{
    if (!e.m_is_listed)
        return endpoint_verdict::not_listed;
    if (e.m_is_avoided)
        return endpoint_verdict::avoided;
    if (now < e.m_busy_until)
        return endpoint_verdict::busy;
    if (e.m_draining_since == time_point{} ||
        (only_primary && now - e.m_draining_since < leaving_primary_grace))
        return endpoint_verdict::usable;
    return e.m_is_evacuated ? endpoint_verdict::evacuated
                            : endpoint_verdict::draining;
}

endpoint_verdict judge_consistency(const group_view& group, std::string_view id,
                                   const consistency_need& need)
{
    const bool leads = group.m_primary == id;
    if (need.m_writes_alone)
        return leads ? endpoint_verdict::usable : endpoint_verdict::not_primary;
    // A read-write transaction may read before its first write, so the primary
    // must meet the staleness limit too.
    if (leads)
        return may_read_primary(group, need.m_arrived_at, need.m_staleness)
                   ? endpoint_verdict::usable
                   : endpoint_verdict::no_lease;
    if (need.m_needs_primary)
        return endpoint_verdict::not_primary;
    return staleness_floor(group, need.m_arrived_at, need.m_staleness)
               ? endpoint_verdict::usable
               : endpoint_verdict::no_position;
}

}
