#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/group_view.hpp>
#include <decide/takeover.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr term_number old_term = 3;
constexpr term_number next = 4;
constexpr time_point start{std::chrono::hours(1)};

takeover_member fenced_replica(const std::string& id, std::uint64_t offset)
{
    takeover_member m;
    m.m_id = id;
    m.m_reachable = true;
    m.m_asked_at = start;
    m.m_status = {
        endpoint_role::replica, old_term, {old_term, offset}, next, 0, 0, 0};
    return m;
}

}

// Guards against LOST: an endpoint that joins after the fence acknowledges
// commits with the old primary, which no fenced log has.
SCENARIO("A member is listed after the others were fenced")
{
    std::vector<takeover_member> members{
        {}, fenced_replica("b", 12), fenced_replica("c", 11)};
    const auto evaluate = [&]
    {
        return evaluate_fence(members, next, 1, "b", start);
    };
    REQUIRE(evaluate() == fence_state::confirmed);
    members.emplace_back();
    members.back().m_joined_late = true;

    WHEN("it hasn't answered")
    {
        CHECK(evaluate() == fence_state::unconfirmed);
    }
    WHEN("it follows the old primary")
    {
        members.back() = fenced_replica("d", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() == fence_state::lost);

        AND_WHEN("it is fenced, too, and ahead")
        {
            members.back().m_status.m_paused_term = next;
            CHECK(evaluate() == fence_state::lost);
            CHECK(choose_successor(members, next, 1) == "d");
        }
    }
    WHEN("it is the old primary, which wasn't listed before")
    {
        members.back() = fenced_replica("a", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_role = endpoint_role::primary;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() == fence_state::lost);
    }
    WHEN("it follows the promoted endpoint already")
    {
        members.back() = fenced_replica("d", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_term = next;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() != fence_state::lost);
    }
}
