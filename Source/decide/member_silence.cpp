#include <decide/member_silence.hpp>

#include <algorithm>

#include <decide/demand_share.hpp>

namespace bluebellspoke
{

bool counts_as_gone(time_point last_contact_at, time_point expected_since,
                    time_point now) noexcept
{
    return now - std::max(last_contact_at, expected_since) >=
           member_removal_timeout;
}

}
