#include <csignal>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>

#include "endpoint_question.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

constexpr unsigned daemons = 3;
constexpr unsigned connections = 30;
/// All but a monitor of each daemon, one for orders, and the one connection
/// that each other daemon keeps.
constexpr std::size_t lendable = connections - daemons - 1 - (daemons - 1);

struct begun
{
    std::vector<std::string> m_ids;
    std::vector<std::string> m_refusals;
};

begun begin_all(caller& c, const session& s, std::size_t count)
{
    begun out;
    const std::vector<http2_request> requests(count, begin_request(s));
    for (const reply& r : c.send_all(requests))
        if (r.m_status == 200)
            out.m_ids.push_back(r.json().at("transaction"));
        else
            out.m_refusals.push_back(r.error());
    return out;
}

std::size_t commit_all(caller& c, const session& s, const begun& b)
{
    std::size_t committed = 0;
    for (const std::string& id : b.m_ids)
        committed +=
            c.send(end_request(s, id, "commit")).m_status == 200 ? 1 : 0;
    return committed;
}

/// Requests in the daemon's pool.
std::size_t requests_in(const daemon_node& d)
{
    const json dump = dump_of(d);
    return dump.is_object() ? dump.value("/pool/requests"_json_pointer, 0U) : 0;
}

bool nobody_was_refused(const fleet& f)
{
    for (const endpoint_node& e : f.m_endpoints)
        if (refused_connections(e) != "0")
            return false;
    return true;
}

}

TEST_CASE("An endpoint's connections go where the transactions are")
{
    GIVEN("three daemons before endpoints with thirty connections")
    {
        const fleet f({.m_daemons = daemons, .m_connections = connections});
        put_node(f, "ward",
                 {{"kind", "workspace"},
                  {"service", "group"},
                  {"rate", 100'000},
                  {"burst", 100'000}});
        const session clerk{grant_key(f, "ward", "clerk"), {}};
        caller first(f.m_daemons[0].m_callers);
        caller second(f.m_daemons[1].m_callers);

        WHEN("one daemon's callers open as many transactions as can be lent")
        {
            const begun all = begin_all(first, clerk, lendable);
            THEN("all are served, by connections of all daemons")
            {
                CHECK(all.m_refusals.empty());
                CHECK(nobody_was_refused(f));
            }
            AND_WHEN("they end, and another daemon's callers open as many")
            {
                REQUIRE(commit_all(first, clerk, all) == all.m_ids.size());
                const begun others = begin_all(second, clerk, lendable);
                THEN("those are served as well")
                {
                    CHECK(others.m_refusals.empty());
                    CHECK(nobody_was_refused(f));
                }
            }
            AND_WHEN("more begin than there are connections left")
            {
                begun late;
                std::thread waiting(
                    [&]
                    {
                        caller c(f.m_daemons[0].m_callers);
                        late = begin_all(c, clerk, lendable / 2);
                    });
                const bool queued = eventually(
                    [&]
                    {
                        return requests_in(f.m_daemons[0]) >= lendable / 2;
                    });
                const std::size_t committed = commit_all(first, clerk, all);
                waiting.join();
                THEN("the commits go ahead of them and free connections")
                {
                    CHECK(queued);
                    CHECK(committed == all.m_ids.size());
                    CHECK(late.m_refusals.empty());
                }
            }
            AND_WHEN("that daemon is paused with them")
            {
                f.m_daemons[0].m_process->send_signal(SIGSTOP);
                std::size_t held = 0;
                const bool served = eventually(
                    [&]
                    {
                        const begun more =
                            begin_all(second, clerk, lendable - held);
                        held += more.m_ids.size();
                        return held > lendable / 2;
                    });
                f.m_daemons[0].m_process->send_signal(SIGCONT);
                THEN("the endpoint ends them and the others get theirs back")
                {
                    CHECK(served);
                    CHECK(nobody_was_refused(f));
                }
            }
        }
    }
}
