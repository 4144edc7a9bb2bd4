#include <array>

#include <catch2/catch.hpp>
#include <decide/routing.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr time_point now{std::chrono::hours(1)};

endpoint_view view_of(endpoint_role role, term_number fence, log_position at)
{
    endpoint_view v;
    v.m_state = endpoint_state{role, fence, at, at, milliseconds(0), now};
    v.m_admits = true;
    v.m_slots = 1;
    return v;
}

}

SCENARIO("A read is routed by the log position of its session")
{
    std::array<endpoint_view, 3> group{
        view_of(endpoint_role::primary, 2, {2, 10}),
        view_of(endpoint_role::replica, 2, {2, 10}),
        view_of(endpoint_role::replica, 2, {2, 8})};
    routing_requirements requirements;

    SECTION("a replica that has replayed the position serves it")
    {
        requirements.m_session_position = log_position{2, 10};
        REQUIRE(choose_endpoint(group, requirements, now).m_index == 1);
    }
    SECTION("without a position it goes to the primary")
    {
        REQUIRE(choose_endpoint(group, requirements, now).m_index == 0);
    }
    SECTION("a position of an earlier term counts, whatever its offset")
    {
        requirements.m_session_position = log_position{1, 5000};
        REQUIRE(choose_endpoint(group, requirements, now).m_index != 0);
        group[1] = view_of(endpoint_role::replica, 2, {1, 4999});
        group[2].m_admits = false;
        REQUIRE(choose_endpoint(group, requirements, now).m_index == 0);
    }
    SECTION(
        "with a position of a later term it isn't run by a replaced primary")
    {
        requirements.m_session_position = log_position{3, 1};
        REQUIRE(choose_endpoint(group, requirements, now).m_outcome ==
                route_outcome::none);
    }
    SECTION("a position that no replica has replayed")
    {
        requirements.m_session_position = log_position{2, 11};
        SECTION("is routed to the primary at once")
        {
            REQUIRE(choose_endpoint(group, requirements, now).m_index == 0);
        }
        SECTION("or waits for a replica, up to the given time")
        {
            requirements.m_replica_wait_until = now + milliseconds(50);
            REQUIRE(choose_endpoint(group, requirements, now).m_outcome ==
                    route_outcome::wait_state);
            const route late =
                choose_endpoint(group, requirements, now + milliseconds(50));
            REQUIRE(late.m_outcome == route_outcome::run);
            REQUIRE(late.m_index == 0);
        }
    }
}

SCENARIO("A read is routed by the maximum age that it accepts")
{
    std::array<endpoint_view, 3> group{
        view_of(endpoint_role::primary, 2, {2, 10}),
        view_of(endpoint_role::replica, 2, {2, 10}),
        view_of(endpoint_role::replica, 2, {2, 8})};
    routing_requirements requirements;
    requirements.m_max_age = milliseconds(100);

    SECTION("a replica serves it while its data is recent enough")
    {
        REQUIRE(choose_endpoint(group, requirements, now).m_index != 0);
    }
    SECTION("a primary serves it only while a majority is in its term")
    {
        group[1].m_admits = group[2].m_admits = false;
        REQUIRE(choose_endpoint(group, requirements, now).m_outcome ==
                route_outcome::run);
        const time_point later = now + milliseconds(101);
        group[0].m_state->m_asked_at = later;
        REQUIRE(choose_endpoint(group, requirements, later).m_outcome ==
                route_outcome::none);
    }
}
