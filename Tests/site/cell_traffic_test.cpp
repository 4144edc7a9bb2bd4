#include <array>
#include <chrono>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/group_relay.hpp>
#include <peer/peer_codec.hpp>
#include <platform/store_value_codec.hpp>
#include <session/site_task_state.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t members = 300;
constexpr std::size_t cells = 6;
constexpr std::size_t groups = 24;
constexpr std::size_t workspaces = 300;
// Four times the 1,173 statements a second of a fleet of 195 processes, over
// all cells.
constexpr double statements_per_second = 4692;

object_store silent_store(loop&)
{
    return {[](stored_kind, bool, const store_callback&) {},
            [](stored_kind, std::uint64_t, duration, const store_callback&) {},
            [](stored_kind, const stored_object&, const write_callback&) {},
            [](stored_kind, const stored_object&, const write_callback&) {}};
}

std::string zone(std::size_t cell)
{
    return "region-" + std::to_string(cell / 2) + "-" + std::to_string(cell);
}

std::string member(std::size_t number)
{
    return "entry-" + std::to_string(number);
}

address address_of(std::size_t number)
{
    return {"10.20." + std::to_string(number / 200) + "." +
                std::to_string(number % 200),
            8462};
}

site_settings settings_of(std::size_t number)
{
    site_settings s;
    s.m_name = member(number);
    s.m_zone = zone(number % cells);
    s.m_peer_listen = address_of(number);
    return s;
}

// The site task's state in one process, and the demand of its cell.
struct process
{
    explicit process(std::size_t number)
        : m_state(settings_of(number), store_value_codec(), m_charts,
                  silent_store, m_boxes)
    {
        constexpr std::array kinds{
            stored_kind::configuration, stored_kind::endpoints,
            stored_kind::evacuations, stored_kind::members};
        for (std::size_t i = 0; i < kinds.size(); ++i)
        {
            m_state.m_watches[i].m_kind = kinds[i];
            m_state.m_watches[i].m_revision = 20'000;
        }
        for (std::size_t i = 0; i < members; ++i)
        {
            m_state.m_members[member(i)] = {member(i), address_of(i),
                                            zone(i % cells)};
            m_state.m_peers[to_string(address_of(i))].m_name = member(i);
        }
        m_state.m_cell.m_state = cell_state::follower;
    }

    void lead(time_point until, std::uint64_t incarnation)
    {
        m_state.m_cell.m_state = cell_state::leader;
        m_state.m_cell.m_incarnation = incarnation;
        for (std::size_t i = 0; i < members; ++i)
            m_state.m_cell.m_received_votes[member(i)] = until;
    }

    site_charts m_charts = load_site_charts(TEST_CHARTS);
    site_mailboxes m_boxes;
    site_task_state m_state;
    demand_table m_demand;
    std::vector<double> m_recent_arrivals = std::vector<double>(workspaces);
};

void send(process& from, const peer_message& m)
{
    record_sent(from.m_state.m_traffic, peer_message_kind(m),
                encode_peer_message(m).size());
}

// Usual work in a fleet, in steps of the site task's interval. The leader of
// the first cell counts all that it sends; the others only what they exchange
// with it and each other.
struct usual_work
{
    explicit usual_work(bool earlier_build) : m_is_earlier(earlier_build)
    {
        for (std::size_t i = 0; i < cells; ++i)
        {
            m_leaders.push_back(std::make_unique<process>(i));
            m_leaders.back()->lead(m_now + std::chrono::hours(1), 1000 + i);
        }
    }

    void step()
    {
        m_now += site_tick;
        for (auto& leader : m_leaders)
            work(*leader);
        // Two of five steps: what is done every 250 ms.
        if (++m_steps % 5 % 3 == 0)
            for (auto& leader : m_leaders)
                announce(*leader);
        for (auto& leader : m_leaders)
            send_digests(*leader);
        if (m_steps % 5 % 3 == 0)
        {
            request_votes();
            answer_groups();
        }
    }

    // A statement at another member of the cell costs a grant of its leader.
    void work(process& p)
    {
        constexpr double decay_seconds = 1.5;
        const double step_seconds =
            std::chrono::duration<double>(site_tick).count();
        std::poisson_distribution<unsigned> arrivals(
            statements_per_second / cells / workspaces * step_seconds);
        for (std::size_t w = 0; w < workspaces; ++w)
        {
            const unsigned n = arrivals(m_random);
            p.m_recent_arrivals[w] =
                p.m_recent_arrivals[w] *
                    std::exp(-step_seconds / decay_seconds) +
                n;
            for (unsigned i = 0; i < n; ++i)
                send(p, peer_token_grant{true, {{workspace(w), 1, 0}}});
        }
    }
    void announce(process& p)
    {
        constexpr double decay_seconds = 1.5;
        demand_weights weights;
        for (std::size_t w = 0; w < workspaces; ++w)
        {
            const double rate = p.m_recent_arrivals[w] / decay_seconds;
            weights[workspace(w)] = rate + std::sqrt(rate);
        }
        if (!announce_weights(p.m_demand, weights))
            return;
        record_announcement(p.m_state.m_weights,
                            p.m_demand.m_announcements.back());
        p.m_demand.m_announcements.erase(p.m_demand.m_announcements.begin(),
                                         p.m_demand.m_announcements.end() - 1);
        // Among 300 workspaces there is always one without a whole token.
        p.m_state.m_weights_urgent = true;
    }
    void send_digests(process& p)
    {
        site_task_state& t = p.m_state;
        for (std::size_t i = 0; i < cells; ++i)
        {
            remote_cell& other = t.m_cell.m_other_cells[zone(i)];
            if (m_leaders[i].get() == &p ||
                !is_cell_digest_due(t, zone(i), other, m_now))
                continue;
            const std::string at = to_string(address_of(i));
            peer_site_digest m = start_cell_exchange(t, other, at, m_now);
            if (m_is_earlier)
                m.m_weights_since.reset();
            send(p, m);
            peer_message answer =
                answer_cell_digest(m_leaders[i]->m_state, m, m_now);
            auto& digest = std::get<peer_site_digest>(answer);
            if (m_is_earlier)
                digest.m_weights_since.reset();
            send(*m_leaders[i], answer);
            finish_cell_exchange(t, t.m_peers.at(at), other, answer, m_now);
        }
    }
    void request_votes()
    {
        process& leader = *m_leaders.front();
        peer_vote_request m{leader.m_state.m_settings.m_name,
                            to_string(address_of(0)), 0x5eed5eed5eed5eed};
        m.m_store_revision = m.m_content_revision = m.m_endpoints_revision =
            20'000;
        m.m_config_version = 100;
        for (std::size_t i = 1; i < members / cells; ++i)
            send(leader, m);
    }
    // Each member uses each group, and asks for those whose leases end soon.
    void answer_groups()
    {
        for (group_view& g : m_views)
        {
            g.m_term = 7;
            g.m_primary = "endpoint-1";
            g.m_primary_seen_at = m_now;
            if (needs_status(g, m_now, relayed_lease_renewal_margin))
                g.m_lease_until = m_now + leader_lease_duration;
        }
        for (auto& views : m_followers)
        {
            peer_groups answer{true, {}};
            for (std::size_t i = 0; i < groups; ++i)
                if (needs_relay(views[i], m_now, m_now))
                {
                    answer.m_groups.push_back(describe(i));
                    adopt_relayed_group(views[i], answer.m_groups.back(),
                                        m_now);
                }
            if (!answer.m_groups.empty())
                send(*m_leaders.front(), answer);
        }
    }
    relayed_group describe(std::size_t group) const
    {
        constexpr std::size_t endpoints = 5;
        relayed_group m = make_relayed_group(m_views[group], m_now);
        m.m_service = "service-" + std::to_string(group);
        for (std::size_t i = 0; i < endpoints; ++i)
            m.m_endpoints["endpoint-" + std::to_string(i)] = {
                milliseconds(100), 40, 3, milliseconds(200)};
        return m;
    }
    static std::string workspace(std::size_t number)
    {
        return "workspace-" + std::to_string(number);
    }

    bool m_is_earlier;
    std::mt19937 m_random{1};
    time_point m_now{std::chrono::hours(10)};
    std::size_t m_steps = 0;
    std::vector<std::unique_ptr<process>> m_leaders;
    std::array<group_view, groups> m_views;
    std::array<std::array<group_view, groups>, members / cells - 1> m_followers;
};

// What the leader of the first cell sends in a second, by kind, over ten
// seconds of usual work after five in which the demand settles.
std::map<std::string, traffic_count, std::less<>>
count_traffic(bool earlier_build)
{
    constexpr int steps_per_second = 10;
    constexpr int seconds = 10;
    usual_work work(earlier_build);
    for (int i = 0; i < 5 * steps_per_second; ++i)
        work.step();
    auto& sent = work.m_leaders.front()->m_state.m_traffic.m_sent;
    sent.clear();
    for (int i = 0; i < seconds * steps_per_second; ++i)
        work.step();
    for (auto& [kind, count] : sent)
        count = {count.m_messages / seconds, count.m_bytes / seconds};
    // All leaders know the weights of the others.
    for (const auto& at : work.m_leaders)
        for (const auto& [z, other] : at->m_state.m_cell.m_other_cells)
            CHECK((other.m_exchange.m_version != 0 ||
                   z == at->m_state.m_settings.m_zone));
    return sent;
}

}

SCENARIO("The digests of a cell leader follow the demand that changes")
{
    GIVEN("300 members, 6 cells, 24 groups and 300 workspaces")
    {
        const auto sent = count_traffic(false);
        const auto complete = count_traffic(true);
        for (const auto& [kind, count] : sent)
            WARN(kind << ": " << count.m_messages << " messages, "
                      << count.m_bytes << " bytes a second");
        WARN("site with complete weights: "
             << complete.at("site").m_messages << " messages, "
             << complete.at("site").m_bytes << " bytes a second");

        THEN("differences take less than a third of complete weights")
        {
            CHECK(sent.at("site").m_bytes * 3 < complete.at("site").m_bytes);
        }
        THEN("a pair of leaders exchanges digests no more often than the "
             "urgent interval permits, whichever of them asks")
        {
            constexpr std::uint64_t exchanges_per_second = 5;
            CHECK(sent.at("site").m_messages <=
                  exchanges_per_second * (cells - 1));
        }
    }
}
