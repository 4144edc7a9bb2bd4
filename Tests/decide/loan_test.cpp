#include <catch2/catch.hpp>
#include <decide/loan.hpp>

using namespace bluebellspoke;

namespace
{

const time_point now = time_point(std::chrono::hours(1));

loan_request request_for(const char* peer, std::uint32_t units)
{
    loan_request request;
    request.m_borrower = peer;
    request.m_wanted = units;
    request.m_demand = units;
    return request;
}

std::size_t count_renewed(share_ledger& b, const char* peer,
                          const loan_answer& given)
{
    loan_request request = request_for(peer, 0);
    request.m_renewals.push_back({given.m_id, given.m_units});
    return answer_loan_request(b, request, 1, 0, now).m_renewed.size();
}

}

TEST_CASE("A lender of units in use renews what its share covers")
{
    GIVEN("a share of ten of which two peers have four each")
    {
        share_ledger b;
        b.m_base = 10;
        b.m_reserved = 1;
        b.m_always_renews = true;
        const loan_answer older =
            answer_loan_request(b, request_for("vm-2", 4), 0, 10, now);
        const loan_answer newer =
            answer_loan_request(b, request_for("vm-3", 4), 0, 6, now);
        REQUIRE(older.m_units == 4);
        REQUIRE(newer.m_units == 4);

        WHEN("the lender's demand is higher than that of both")
        {
            THEN("it renews both loans")
            {
                CHECK(count_renewed(b, "vm-2", older) == 1);
                CHECK(count_renewed(b, "vm-3", newer) == 1);
            }
        }
        WHEN("its share becomes smaller than what is lent")
        {
            b.m_base = 5;
            THEN("it renews the older loan and not the newer one")
            {
                CHECK(count_renewed(b, "vm-3", newer) == 0);
                CHECK(count_renewed(b, "vm-2", older) == 1);
            }
        }
        WHEN("another peer asks for more than what is left")
        {
            const loan_answer rest =
                answer_loan_request(b, request_for("vm-4", 10), 0, 2, now);
            THEN("the reserved unit isn't lent")
            {
                CHECK(rest.m_units == 1);
            }
        }
    }
}
