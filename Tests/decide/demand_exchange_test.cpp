#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/demand_exchange.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::array workspaces{"ward", "depot", "mill", "quay"};

// One cell's leader as the others see it.
struct cell
{
    demand_table m_table;
    demand_history m_history;
    std::uint64_t m_incarnation = 0;
    std::map<std::string, demand_exchange> m_exchanges;
    /// What it announced, by version.
    std::map<std::uint64_t, demand_weights> m_announced;
};

struct digest
{
    std::string m_from;
    std::string m_to;
    demand_delta m_delta;
    demand_ack m_ack;
};

digest make_digest(cell& from, const std::string& to)
{
    demand_exchange& x = from.m_exchanges[to];
    return {from.m_table.m_self,
            to,
            make_delta(from.m_history, from.m_incarnation,
                       delta_base(x, from.m_incarnation, to, start)),
            {x.m_incarnation, x.m_version, true, from.m_table.m_self, start}};
}

delta_result receive(cell& at, const digest& d)
{
    demand_exchange& x = at.m_exchanges[d.m_from];
    const delta_result result = apply_delta(x, d.m_delta);
    if (result != delta_result::held)
        return result;
    x.m_ack = d.m_ack;
    const bool acks_own = d.m_ack.m_incarnation == at.m_incarnation;
    apply_demand_update(at.m_table, d.m_from,
                        {x.m_incarnation, x.m_version, x.m_weights,
                         acks_own ? d.m_ack.m_version : 0},
                        start);
    return result;
}

demand_weights without_zeros(demand_weights weights)
{
    std::erase_if(weights,
                  [](const auto& w)
                  {
                      return w.second == 0;
                  });
    return weights;
}

void announce(cell& c, const std::string& workspace, double weight)
{
    if (!announce_weights(c.m_table, {{workspace, weight}}))
        return;
    const demand_announcement& a = c.m_table.m_announcements.back();
    record_announcement(c.m_history, a);
    c.m_announced[a.m_version] = without_zeros(a.m_weights);
}

// Messages of some cells, in flight; any of them may arrive next, twice or
// never.
struct cells_at_random
{
    explicit cells_at_random(unsigned seed) : m_random(seed)
    {
        for (int i = 0; i < 4; ++i)
            m_names.push_back("zone-" + std::to_string(i));
        for (const std::string& name : m_names)
            lead_anew(name);
    }

    std::size_t below(std::size_t n)
    {
        return m_random() % n;
    }
    void lead_anew(const std::string& name)
    {
        cell& c = m_cells[name] = {};
        c.m_table.m_self = name;
        c.m_table.m_started_at = start;
        c.m_table.m_members = {m_names.begin(), m_names.end()};
        c.m_incarnation = ++m_incarnations;
    }
    void step()
    {
        const std::string& name = m_names[below(m_names.size())];
        const std::string& other = m_names[below(m_names.size())];
        const std::size_t action = below(8);
        if (action < 2)
            announce(m_cells[name], workspaces[below(workspaces.size())],
                     below(3) == 0 ? 0 : static_cast<double>(below(40)));
        else if (action < 5 && name != other)
            m_in_flight.push_back(make_digest(m_cells[name], other));
        else if (!m_in_flight.empty())
            deliver(below(m_in_flight.size()));
    }
    void deliver(std::size_t index)
    {
        const digest d = m_in_flight[index];
        const bool is_lost = below(4) == 0;
        if (!is_lost)
        {
            const delta_result result = receive(m_cells[d.m_to], d);
            m_deltas_held +=
                result == delta_result::held && d.m_delta.m_since != 0;
            m_deltas_refused += result == delta_result::lacks_base;
        }
        if (is_lost || below(3) != 0)
            m_in_flight.erase(m_in_flight.begin() +
                              static_cast<std::ptrdiff_t>(index));
    }

    std::mt19937 m_random;
    std::vector<std::string> m_names;
    std::map<std::string, cell> m_cells;
    std::vector<digest> m_in_flight;
    std::uint64_t m_incarnations = 0;
    std::size_t m_deltas_held = 0;
    std::size_t m_deltas_refused = 0;
};

}

SCENARIO("Differences of weights never make a cell believe what was never "
         "announced")
{
    constexpr int steps = 6000;
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(seed);
    cells_at_random fleet(seed);

    GIVEN("messages that are lost, late and repeated")
    {
        double largest_sum = 0;
        for (int step = 0; step < steps; ++step)
        {
            fleet.step();
            std::map<std::string, double> sums;
            for (auto& [name, c] : fleet.m_cells)
            {
                drop_acked_announcements(c.m_table, start);
                const demand_division d = divide_by_demand(c.m_table, start);
                for (const char* workspace : workspaces)
                    sums[workspace] += share_fraction(c.m_table, d, workspace);
                // A wrong weight is seen here even while the sum still fits.
                for (const auto& [from, x] : c.m_exchanges)
                    if (x.m_version != 0)
                        REQUIRE(
                            x.m_weights ==
                            fleet.m_cells.at(from).m_announced.at(x.m_version));
            }
            for (const auto& [workspace, sum] : sums)
            {
                constexpr double rounding = 1e-9;
                REQUIRE(sum <= 1 + rounding);
                largest_sum = std::max(largest_sum, sum);
            }
        }
        THEN("no workspace gets more than its rate, and differences are used")
        {
            CHECK(largest_sum > 0.9);
            CHECK(fleet.m_deltas_held > 100);
            // Each cell keeps its leader.
            CHECK(fleet.m_deltas_refused == 0);
        }
    }
    GIVEN("cells that change their leaders, too")
    {
        std::map<std::uint64_t, cell> ended;
        for (int step = 0; step < steps; ++step)
        {
            fleet.step();
            const std::string& name = fleet.m_names[fleet.below(4)];
            if (fleet.below(60) == 0)
            {
                cell& c = fleet.m_cells[name];
                ended[c.m_incarnation] = c;
                fleet.lead_anew(name);
            }
            for (const auto& [at, c] : fleet.m_cells)
                for (const auto& [from, x] : c.m_exchanges)
                {
                    const cell& present = fleet.m_cells.at(from);
                    if (x.m_version == 0)
                        continue;
                    const cell& announcer =
                        x.m_incarnation == present.m_incarnation
                            ? present
                            : ended.at(x.m_incarnation);
                    REQUIRE(x.m_weights ==
                            announcer.m_announced.at(x.m_version));
                }
        }
        THEN("a leader refuses differences of weights that it doesn't have")
        {
            CHECK(fleet.m_deltas_refused > 0);
            CHECK(fleet.m_deltas_held > 100);
        }
    }
}

SCENARIO("A cell leader sends what the other one lacks")
{
    cells_at_random fleet(1);
    cell& a = fleet.m_cells["zone-0"];
    cell& b = fleet.m_cells["zone-1"];
    const auto exchange = [&]
    {
        receive(b, make_digest(a, "zone-1"));
        receive(a, make_digest(b, "zone-0"));
    };
    const auto base = [&](std::string_view address, time_point now)
    {
        return delta_base(a.m_exchanges["zone-1"], a.m_incarnation, address,
                          now);
    };
    announce(a, "ward", 20);
    announce(a, "depot", 10);
    exchange();

    GIVEN("one weight that changed since, and one that is gone")
    {
        announce(a, "mill", 5);
        announce(a, "ward", 0);
        const digest d = make_digest(a, "zone-1");

        THEN("only these are sent, and together with the others they are all")
        {
            CHECK(d.m_delta.m_weights ==
                  demand_weights{{"mill", 5}, {"ward", 0}});
            REQUIRE(receive(b, d) == delta_result::held);
            CHECK(b.m_exchanges["zone-0"].m_weights ==
                  demand_weights{{"depot", 10}, {"mill", 5}});
        }
        WHEN("the answer is lost and more changes")
        {
            receive(b, d);
            announce(a, "quay", 7);
            const digest next = make_digest(a, "zone-1");

            THEN("the next difference starts from the older version")
            {
                CHECK(next.m_delta.m_since == d.m_delta.m_since);
                REQUIRE(receive(b, next) == delta_result::held);
                CHECK(b.m_exchanges["zone-0"].m_weights.at("quay") == 7);
                // The first one arrives again.
                receive(b, d);
                CHECK(b.m_exchanges["zone-0"].m_weights.at("quay") == 7);
            }
        }
        WHEN("another process leads the receiving cell")
        {
            fleet.lead_anew("zone-1");

            THEN("it can't apply them, takes no acknowledgement from that "
                 "message, and gets all weights next")
            {
                CHECK(receive(b, d) == delta_result::lacks_base);
                CHECK(b.m_table.m_peers.empty());
                receive(a, make_digest(b, "zone-0"));
                const digest next = make_digest(a, "zone-1");
                CHECK(next.m_delta.m_since == 0);
                CHECK(receive(b, next) == delta_result::held);
            }
        }
        WHEN("another process leads the sending cell")
        {
            fleet.lead_anew("zone-0");
            announce(a, "quay", 7);
            receive(b, make_digest(a, "zone-1"));

            THEN("a late message of the one before changes nothing")
            {
                CHECK(receive(b, d) == delta_result::replaced);
                CHECK(b.m_exchanges["zone-0"].m_weights ==
                      demand_weights{{"quay", 7}});
            }
        }
    }
    GIVEN("no answer for as long as a process counts as connected")
    {
        THEN("all weights are sent while the others still wait for the "
             "acknowledgement")
        {
            CHECK(base("zone-1", start) != 0);
            CHECK(base("zone-1", start + isolated_after) == 0);
            CHECK(isolated_after + milliseconds(1000) < silent_after);
        }
    }
    GIVEN("another address, or a peer of an earlier build")
    {
        THEN("all weights are sent")
        {
            CHECK(base("zone-1-other", start) == 0);
            a.m_exchanges["zone-1"].m_ack.m_takes_deltas = false;
            CHECK(base("zone-1", start) == 0);
        }
    }
}
