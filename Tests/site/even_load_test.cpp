#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// Reads of all callers, sent before the first answer is awaited, so that each
// needs a connection of its own.
bool read_together(std::vector<std::unique_ptr<line_caller>>& callers)
{
    for (const auto& c : callers)
        c->send("QUERY q1 READ bear");
    bool all_served = true;
    for (const auto& c : callers)
    {
        std::string last;
        while (const auto line = c->line())
        {
            last = *line;
            if (last.starts_with("READY") || last.starts_with("ERROR"))
                break;
        }
        all_served = all_served && last.starts_with("READY");
    }
    return all_served;
}

}

// Guards against slots, loads or draws that don't reach the choice: then every
// read would go to the first replica that is as good as the others.
SCENARIO("Reads are drawn among the replicas on the users' platform")
{
    site s(1);
    std::vector<std::unique_ptr<line_caller>> callers;
    constexpr std::size_t caller_count = 8;
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<line_caller>(s.callers_of(0)));
        REQUIRE(callers.back()->start("browse", "ward-key") == "READY");
    }

    THEN("some go to another one than the best known")
    {
        REQUIRE(comes_true(
            [&]
            {
                return read_together(callers) &&
                       s.metric(0, R"(endpoint_choices_total{rank="other"})") >
                           0.0;
            }));
    }
}
