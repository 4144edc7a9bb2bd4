#include <decide/restart_check.hpp>

#include <utility>

namespace bluebellspoke
{

void begin_first_round(restart_check& c,
                       const std::set<std::string, std::less<>>& members,
                       time_point now)
{
    c = {members, c.m_attempt + 1, now, {}, {}};
}

void begin_second_round(restart_check& c, time_point now)
{
    c.m_first = std::exchange(c.m_current, {});
    c.m_asked_at = now;
}

restart_finding record_statement(restart_check& c, std::string_view member,
                                 const restart_statement& s)
{
    // A process that has joined may be unknown to the others.
    if (!s.m_is_unused || !s.m_was_member)
        return restart_finding::refuted;
    const auto first = c.m_first.find(member);
    const bool is_second_round = !c.m_first.empty();
    if (is_second_round &&
        (first == c.m_first.end() || first->second != s.m_incarnation))
        return restart_finding::refuted;
    c.m_current.insert_or_assign(std::string(member), s.m_incarnation);
    return c.m_current.size() == c.m_members.size()
               ? restart_finding::complete
               : restart_finding::incomplete;
}

std::uint64_t confirmed_incarnation(const restart_check& c,
                                    std::string_view member) noexcept
{
    const bool has_passed =
        !c.m_first.empty() && c.m_current.size() == c.m_members.size();
    const auto found = c.m_current.find(member);
    return has_passed && found != c.m_current.end() ? found->second : 0;
}

}
