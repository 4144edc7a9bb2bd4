#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

TEST_CASE("A new workspace has its burst from the first statement on")
{
    constexpr std::size_t daemons = 2;
    constexpr std::size_t burst = 400;
    const fleet f({.m_daemons = daemons});

    GIVEN("a workspace that is created while the fleet runs")
    {
        // The rate alone would give five tokens in all the time there is.
        put_node(f, "ward",
                 {{"kind", "workspace"},
                  {"service", "group"},
                  {"rate", 0.25},
                  {"burst", burst}});
        const session clerk{grant_key(f, "ward", "clerk"), {}};

        WHEN("one daemon gets as many statements at once as are its share")
        {
            caller c(f.m_daemons[0].m_callers);
            const json read{{"statement", "select 1"}};
            const std::vector<http2_request> reads(
                burst / daemons, statement_request(clerk, read));
            const std::vector<reply> replies = c.send_all(reads);

            THEN("each is served")
            {
                REQUIRE(std::all_of(replies.begin(), replies.end(),
                                    [](const reply& r)
                                    {
                                        return r.m_status == 200;
                                    }));
            }
        }
    }
}
