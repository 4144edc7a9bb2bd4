#include <catch2/catch.hpp>
#include <decide/loan.hpp>

using namespace bluebellspoke;

namespace
{

const time_point now = time_point(std::chrono::hours(1));

loan_ask ask_for(const char* peer, std::uint32_t units)
{
    loan_ask ask;
    ask.m_peer = peer;
    ask.m_wanted = units;
    ask.m_demand = units;
    return ask;
}

std::size_t renewed(share_book& b, const char* peer, const loan_answer& given)
{
    loan_ask ask = ask_for(peer, 0);
    ask.m_renews.push_back({given.m_id, given.m_units});
    return answer_ask(b, ask, 1, 0, now).m_renewed.size();
}

}

TEST_CASE("A lender of units in use renews what its share covers")
{
    GIVEN("a share of ten of which two peers have four each")
    {
        share_book b;
        b.m_base = 10;
        b.m_kept = 1;
        b.m_always_renews = true;
        const loan_answer older = answer_ask(b, ask_for("vm-2", 4), 0, 10, now);
        const loan_answer newer = answer_ask(b, ask_for("vm-3", 4), 0, 6, now);
        REQUIRE(older.m_units == 4);
        REQUIRE(newer.m_units == 4);

        WHEN("the lender has more to do than both")
        {
            THEN("it renews them all the same")
            {
                CHECK(renewed(b, "vm-2", older) == 1);
                CHECK(renewed(b, "vm-3", newer) == 1);
            }
        }
        WHEN("its share becomes smaller than what is lent")
        {
            b.m_base = 5;
            THEN("it lets the newer loan end, and renews the older one")
            {
                CHECK(renewed(b, "vm-3", newer) == 0);
                CHECK(renewed(b, "vm-2", older) == 1);
            }
        }
        WHEN("somebody asks for all that is left")
        {
            const loan_answer rest =
                answer_ask(b, ask_for("vm-4", 10), 0, 2, now);
            THEN("one unit is kept")
            {
                CHECK(rest.m_units == 1);
            }
        }
    }
}
