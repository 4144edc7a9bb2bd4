#include <algorithm>
#include <cstdio>
#include <vector>

#include <catch2/catch.hpp>

#include "stories.hpp"

using namespace bluebellspoke::support;
using std::chrono::steady_clock;

namespace
{

struct lag_figures
{
    double m_write_median_ms = 0;
    double m_read_median_ms = 0;
    double m_replica_share = 0;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double timed(caller& c, session& s, const nlohmann::json& body, reply& r)
{
    const auto begin = steady_clock::now();
    r = run_statement(c, s, body);
    return std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                     begin)
        .count();
}

// Each write is followed by a read of the same session.
lag_figures measure(unsigned lag_ms, unsigned lag_wait_ms, unsigned rounds)
{
    ward w({.m_daemons = 1, .m_lag_ms = lag_ms});
    ctl(w.m_fleet, {"set", "ward", "lag_wait_ms", std::to_string(lag_wait_ms)});
    caller c(w.m_fleet.m_daemons[0].m_callers);
    std::vector<double> writes;
    std::vector<double> reads;
    unsigned at_replicas = 0;
    for (unsigned i = 0; i < rounds; ++i)
    {
        const std::string box = "box-" + std::to_string(i);
        reply r;
        writes.push_back(timed(c, w.m_clerk, insert_bear(box, box), r));
        REQUIRE(r.m_status == 200);
        reads.push_back(timed(c, w.m_clerk, find_bear(box), r));
        REQUIRE(r.json().at("rows").size() == 1);
        at_replicas += r.json().at("from") == "replica" ? 1 : 0;
    }
    return {median(writes), median(reads),
            static_cast<double>(at_replicas) / rounds};
}

}

TEST_CASE("What waiting costs at each lag", "[.measure]")
{
    std::printf(
        "lag ms  lag_wait ms  write p50 ms  read p50 ms  at replicas\n");
    for (const unsigned lag : {0U, 10U, 100U, 1000U})
        for (const unsigned wait : {0U, 50U})
        {
            const lag_figures f = measure(lag, wait, lag < 1000 ? 60 : 8);
            std::printf("%6u  %11u  %12.2f  %11.2f  %11.2f\n", lag, wait,
                        f.m_write_median_ms, f.m_read_median_ms,
                        f.m_replica_share);
            std::fflush(stdout);
        }
}
