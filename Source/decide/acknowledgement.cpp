#include <decide/acknowledgement.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

bool has_received(const endpoint_view& e, const log_position& position)
{
    return e.m_state && e.m_state->m_fence == position.m_term &&
           e.m_state->m_received.m_term == position.m_term &&
           e.m_state->m_received.m_offset >= position.m_offset;
}

}

bool is_confirmed(std::span<const endpoint_view> endpoints,
                  const log_position& position) noexcept
{
    const auto count = std::count_if(endpoints.begin(), endpoints.end(),
                                     [&](const endpoint_view& e)
                                     {
                                         return has_received(e, position);
                                     });
    return static_cast<std::size_t>(count) >= majority(endpoints.size());
}

std::optional<log_position> committed_position(const endpoint_state& state,
                                               term_number term) noexcept
{
    if (state.m_fence != term || state.m_received.m_term != term)
        return std::nullopt;
    return state.m_received;
}

bool is_superseded(std::span<const endpoint_view> endpoints,
                   const log_position& position) noexcept
{
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&](const endpoint_view& e)
                       {
                           return e.m_state &&
                                  e.m_state->m_fence > position.m_term;
                       });
}

}
