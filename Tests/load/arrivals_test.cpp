#include <algorithm>

#include <catch2/catch.hpp>

#include <load/arrivals.hpp>
#include <load/load_result.hpp>

using namespace bluebellspoke::load;
using nlohmann::json;

namespace
{

std::vector<double> times(const experiment& e, std::size_t workspace)
{
    std::vector<double> out;
    for (const arrival& a : draw_arrivals(e))
        if (a.m_workspace == workspace)
            out.push_back(std::chrono::duration<double>(a.m_at).count());
    return out;
}

}

TEST_CASE("An experiment's arrivals come from its seed")
{
    json text{{"name", "two workspaces"},
              {"seconds", 20},
              {"workspaces",
               {{{"name", "ward"}, {"load", 50}},
                {{"name", "depot"}, {"load", 10}, {"from", 5}}}}};
    const experiment e = read_experiment(text);

    SECTION("the same seed gives the same arrivals, in order")
    {
        CHECK(times(e, 0) == times(e, 0));
        const std::vector<double> ward = times(e, 0);
        CHECK(std::is_sorted(ward.begin(), ward.end()));
    }
    SECTION("one workspace's load leaves the other's arrivals alone")
    {
        text["workspaces"][1]["load"] = 500;
        CHECK(times(read_experiment(text), 0) == times(e, 0));
    }
    SECTION("nobody arrives outside of the own time")
    {
        CHECK(times(e, 1).front() >= 5);
        CHECK(times(e, 1).back() < 20);
    }
    SECTION("an unknown step is a typed error")
    {
        text["steps"] = {{{"at", 1}, {"do", "reboot"}}};
        CHECK_THROWS_AS(read_experiment(text), experiment_error);
    }
}

TEST_CASE("Latency counts from the intended time")
{
    workspace_result w;
    w.m_samples = {{0, 10, true, true}, {5, 105, true, true}};
    CHECK(latency_quantile(w, 1) == 100);
    load_result r;
    r.m_workspaces = {w};
    CHECK(longest_write_gap(r) == 95);
}
