#include <chrono>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr site_size two_cells{
    .m_daemons = 26, .m_zones = 2, .m_workspaces = 4, .m_rate = 20};
constexpr const char* members = "bluebellspoke-members";

// Calls between two counts, by kind and by what they were, without those that
// there were none of.
json calls_between(const json& before, const json& after)
{
    json made = json::object();
    for (const auto& [kind, counts] : after.items())
        for (const auto& [what, count] : counts.items())
        {
            const auto earlier = before.value(kind, json::object())
                                     .value(what, std::uint64_t{0});
            if (count.get<std::uint64_t>() > earlier)
                made[kind][what] = count.get<std::uint64_t>() - earlier;
        }
    return made;
}

std::uint64_t calls_of(const json& made, const std::string& kind,
                       const std::string& what)
{
    return made.value(kind, json::object()).value(what, std::uint64_t{0});
}

bool knows_members(const site& s, std::size_t daemon, double count)
{
    return s.metric(daemon, "fleet_members") == count;
}

bool all_know_members(const site& s, double count, std::size_t except)
{
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        if (i != except && !knows_members(s, i, count))
            return false;
    return true;
}

bool leads(const site& s, std::size_t daemon)
{
    return s.metric(daemon, "cell_kept") == 1;
}

bool each_zone_has_leader(const site& s)
{
    std::size_t leaders = 0;
    for (std::size_t i = 0; i < two_cells.m_daemons; ++i)
        leaders += leads(s, i) ? 1 : 0;
    return leaders == two_cells.m_zones;
}

// Longer than a watch of any kind of object lasts.
void wait_longer_than_watch()
{
    std::this_thread::sleep_for(11s);
}

}

// Guards against store calls that grow with the number of processes times the
// number of changes.
SCENARIO("A fleet with cells calls the store for what has changed")
{
    site s(two_cells);
    REQUIRE(comes_true(
        [&]
        {
            return all_know_members(s, two_cells.m_daemons,
                                    two_cells.m_daemons) &&
                   each_zone_has_leader(s);
        }));
    const json started = s.store_calls();

    WHEN("it has started")
    {
        CAPTURE(started.dump(1));

        THEN("each process has registered once")
        {
            CHECK(calls_of(started, members, "create") == two_cells.m_daemons);
            CHECK(calls_of(started, members, "replace") == 0);
        }
    }
    WHEN("nothing changes for a while")
    {
        wait_longer_than_watch();
        const json before = s.store_calls();
        std::this_thread::sleep_for(15s);
        const json idle = calls_between(before, s.store_calls());
        CAPTURE(idle.dump(1));

        THEN("only the leaders watch")
        {
            // Two watches of 10 s end within 15 s.
            CHECK(calls_of(idle, members, "watch_expired") <=
                  2 * two_cells.m_zones);
            CHECK(calls_of(idle, members, "list") == 0);
        }
    }
    WHEN("a process that leads no cell is lost for good, and another follows")
    {
        wait_longer_than_watch();
        std::size_t lost = 0;
        while (leads(s, lost))
            ++lost;
        const json before = s.store_calls();
        s.daemon(lost).send_signal(SIGKILL);
        REQUIRE(comes_true(
            [&]
            {
                return all_know_members(s, two_cells.m_daemons - 1, lost);
            }));
        const json removed = s.store_calls();
        s.start_daemon(lost);
        REQUIRE(comes_true(
            [&]
            {
                return all_know_members(s, two_cells.m_daemons,
                                        two_cells.m_daemons);
            }));
        const json replaced = s.store_calls();
        const json at_removal = calls_between(before, removed);
        const json at_replacement = calls_between(removed, replaced);
        CAPTURE(at_removal.dump(1), at_replacement.dump(1));

        THEN("the changes end the watches of the leaders only")
        {
            CHECK(calls_of(at_removal, members, "watch_changed") <=
                  two_cells.m_zones);
            // Those of the new process, too, which has no leader yet.
            CHECK(calls_of(at_replacement, members, "watch_changed") <=
                  two_cells.m_zones + 2);
            CHECK(calls_of(at_replacement, members, "list") <= 1);
        }
    }
}
