#include <array>

#include <catch2/catch.hpp>
#include <decide/acknowledgement.hpp>

using namespace bluebellspoke;

namespace
{

endpoint_view view_of(term_number fence, log_position received)
{
    endpoint_view v;
    v.m_state = endpoint_state{
        endpoint_role::replica, fence, received, received, {}, {}};
    return v;
}

}

SCENARIO("A write is confirmed by a majority")
{
    std::array<endpoint_view, 3> group{view_of(2, {2, 10}), view_of(2, {2, 9}),
                                       view_of(2, {2, 8})};
    SECTION("the primary alone doesn't confirm the write")
    {
        REQUIRE_FALSE(is_confirmed(group, {2, 10}));
    }
    SECTION("a second endpoint confirms it")
    {
        group[2] = view_of(2, {2, 10});
        REQUIRE(is_confirmed(group, {2, 10}));

        SECTION("unless it is fenced at a later term")
        {
            group[2] = view_of(3, {2, 10});
            REQUIRE_FALSE(is_confirmed(group, {2, 10}));
            REQUIRE(is_superseded(group, {2, 10}));
        }
    }
    SECTION("a longer log of an earlier term doesn't confirm it")
    {
        group[1] = view_of(2, {1, 99});
        group[2] = view_of(2, {1, 99});
        REQUIRE_FALSE(is_confirmed(group, {2, 10}));
    }
    SECTION("an endpoint without a known state doesn't count")
    {
        group[1].m_state.reset();
        REQUIRE_FALSE(is_confirmed(group, {2, 9}));
        REQUIRE(is_confirmed(group, {2, 8}));
    }
}

SCENARIO("A write's position is taken from the state reported after it")
{
    const auto state_of = [](term_number fence, log_position received)
    {
        return *view_of(fence, received).m_state;
    };
    REQUIRE(committed_position(state_of(2, {2, 10}), 2) == log_position{2, 10});
    SECTION("unless the endpoint has left the term")
    {
        REQUIRE_FALSE(committed_position(state_of(3, {2, 10}), 2));
        REQUIRE_FALSE(committed_position(state_of(3, {3, 12}), 2));
    }
}
