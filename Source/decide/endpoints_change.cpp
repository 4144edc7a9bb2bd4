#include <decide/endpoints_change.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

std::size_t count_missing(std::span<const endpoint_setting> wanted,
                          std::span<const endpoint_setting> present)
{
    const auto missing = std::count_if(
        wanted.begin(), wanted.end(),
        [&](const endpoint_setting& expected)
        {
            return std::none_of(
                present.begin(), present.end(),
                [&](const endpoint_setting& candidate)
                {
                    return candidate.m_name == expected.m_name &&
                           candidate.m_address == expected.m_address;
                });
        });
    return static_cast<std::size_t>(missing);
}

}

endpoints_change classify_change(std::span<const endpoint_setting> before,
                                 std::span<const endpoint_setting> after)
{
    if (before.empty() || after.empty())
        return endpoints_change::none;
    const std::size_t changes =
        count_missing(before, after) + count_missing(after, before);
    if (changes == 0)
        return endpoints_change::none;
    return changes == 1 ? endpoints_change::safe : endpoints_change::too_large;
}

}
