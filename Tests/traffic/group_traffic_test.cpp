#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <decide/group_relay.hpp>
#include <decide/relay_changes.hpp>
#include <peer/peer_codec.hpp>

// Answers about groups made a cell leader send several megabytes a second where
// groups and workspaces grow with the fleet, most of it after a restart of all
// processes: each process asks for each group in use up to 20 times a second,
// and each answer repeated all endpoints of the group.

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t members = 300;
constexpr std::size_t cells = 6;
constexpr std::size_t cell_size = members / cells;
constexpr std::size_t groups = 31;
constexpr std::size_t endpoints_per_group = 3;
constexpr std::size_t workspaces = 311;
// Four times the 1,173 statements a second of a fleet of 195 processes.
constexpr double statements_per_second = 4692;
constexpr milliseconds tick{20};
constexpr milliseconds route_timeout{800};
constexpr milliseconds urgent_digest_interval{200};
constexpr milliseconds round_trip_in_cell{2};
constexpr milliseconds round_trip_between_cells{42};
constexpr seconds played{10};
constexpr time_point start{std::chrono::hours(10)};

std::string service(std::size_t group)
{
    return "service-" + std::to_string(group);
}

std::string endpoint(std::size_t group, std::size_t number)
{
    return "endpoint-" + std::to_string(group) + "-" + std::to_string(number);
}

std::string workspace(std::size_t number)
{
    return "workspace-" + std::to_string(number);
}

struct traffic
{
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

using traffic_by_kind = std::map<std::string, traffic, std::less<>>;

void count(traffic_by_kind& sent, const peer_message& m)
{
    traffic& c = sent[std::string(peer_message_kind(m))];
    ++c.m_messages;
    c.m_bytes += encode_peer_message(m).size();
}

std::string largest_kind(const traffic_by_kind& sent)
{
    return std::ranges::max_element(sent, {},
                                    [](const auto& entry)
                                    {
                                        return entry.second.m_bytes;
                                    })
        ->first;
}

// What one process knows of one group.
struct known_group
{
    group_view m_view;
    time_point m_used_at{};
    time_point m_waits_since{}; ///< A statement without a lease; zero: none.
    relay_bases m_bases;
    // As a cell leader:
    relay_history m_history;
    std::array<relayed_endpoint, endpoints_per_group> m_endpoints{};
    std::array<time_point, endpoints_per_group> m_replied_at{};
};

struct process
{
    std::uint64_t m_incarnation = 0;
    bool m_leads = false;
    std::vector<known_group> m_groups = std::vector<known_group>(groups);
    time_point m_requested_at{};
    std::uint64_t m_version = 0; ///< Of its last answer.
    traffic_by_kind m_sent;
};

struct fleet_options
{
    bool m_is_earlier_build = false;
    bool m_restarts = false;
};

// One cell with all its members, and the leaders of the other cells.
class fleet
{
public:
    explicit fleet(const fleet_options& options)
        : m_options(options), m_members(cell_size), m_other_leaders(cells - 1)
    {
        std::uint64_t incarnation = 0xfeed'0000'0000'0000;
        for (process* p : all())
            p->m_incarnation = ++incarnation;
        m_members.front().m_leads = true;
        for (process& p : m_other_leaders)
            p.m_leads = true;
        if (!m_options.m_restarts)
            for (; m_now < start; m_now += tick)
                step();
        for (process* p : all())
            p->m_sent.clear();
        m_waiting_ticks = 0;
        if (m_options.m_restarts)
            fetch_settings();
        for (m_now = start; m_now < start + played; m_now += tick)
            step();
    }

    const traffic_by_kind& leader() const
    {
        return m_members.front().m_sent;
    }
    traffic_by_kind mean_of_others() const
    {
        traffic_by_kind sum;
        for (std::size_t i = 1; i < cell_size; ++i)
            for (const auto& [kind, c] : m_members[i].m_sent)
            {
                sum[kind].m_messages += c.m_messages;
                sum[kind].m_bytes += c.m_bytes;
            }
        for (auto& [kind, c] : sum)
        {
            c.m_messages /= cell_size - 1;
            c.m_bytes /= cell_size - 1;
        }
        return sum;
    }
    /// Sum over all processes of the time in which statements waited for the
    /// lease of a group, in ticks and groups.
    std::size_t waiting_ticks() const
    {
        return m_waiting_ticks;
    }

private:
    static constexpr std::size_t primary = 0;

    std::vector<process*> all()
    {
        std::vector<process*> out;
        for (process& p : m_members)
            out.push_back(&p);
        for (process& p : m_other_leaders)
            out.push_back(&p);
        return out;
    }

    bool each(duration interval) const
    {
        return (m_now - start) % interval < tick &&
               (m_now - start) % interval >= duration::zero();
    }

    void step()
    {
        for (process* p : all())
            if (p->m_leads)
                ask_endpoints(*p);
        for (process* p : all())
            accept_statements(*p);
        for (process* p : all())
            request_groups(*p);
        if (each(vote_request_interval))
            request_votes();
        if (each(urgent_digest_interval))
            exchange_digests();
        if (each(seconds(5)))
            relay_endpoint_change();
    }

    // After a restart of all processes the primaries are crowded by their new
    // connections, and answer the leaders one group after the other.
    bool primary_answers(std::size_t group) const
    {
        constexpr milliseconds first{2000};
        constexpr milliseconds interval{150};
        return !m_options.m_restarts ||
               m_now >= start + first + interval * group;
    }

    void ask_endpoints(process& p)
    {
        for (std::size_t g = 0; g < groups; ++g)
        {
            known_group& k = p.m_groups[g];
            const bool renews =
                needs_status(k.m_view, m_now, relayed_lease_renewal_margin);
            for (std::size_t e = 0; e < endpoints_per_group; ++e)
            {
                const bool is_needed = renews && e < 2;
                const duration interval = is_needed ? duration(status_interval)
                                                    : duration(seconds(1));
                if (m_now - k.m_replied_at[e] >= interval &&
                    (e != primary || primary_answers(g)))
                    record_reply(k, g, e);
            }
        }
    }
    void record_reply(known_group& k, std::size_t group, std::size_t e)
    {
        const time_point asked_at = m_now - milliseconds(5);
        endpoint_status s;
        s.m_role =
            e == primary ? endpoint_role::primary : endpoint_role::replica;
        s.m_term = 7;
        s.m_position = {7, 1'000'000 +
                               static_cast<std::uint64_t>(
                                   (asked_at - start + std::chrono::hours(1)) /
                                   milliseconds(1))};
        k.m_view.m_sync_replicas = 1;
        k.m_view.m_member_count = endpoints_per_group;
        record_status(k.m_view, endpoint(group, e), s, asked_at, m_now);
        k.m_replied_at[e] = m_now;
        k.m_endpoints[e].m_connections = 30 + m_status_random() % 20;
        k.m_endpoints[e].m_busy = m_status_random() % 4;
    }

    void accept_statements(process& p)
    {
        std::poisson_distribution<unsigned> arrivals(
            statements_per_second / members / groups *
            std::chrono::duration<double>(tick).count());
        for (known_group& k : p.m_groups)
        {
            const unsigned n = arrivals(m_arrival_random);
            if (n > 0)
            {
                k.m_used_at = m_now;
                // Its workspace has no token here.
                for (unsigned i = 0; i < n && !p.m_leads; ++i)
                    request_token(p);
            }
            if (m_now < k.m_view.m_lease_until ||
                m_now - k.m_waits_since >= route_timeout)
                k.m_waits_since = {};
            if (m_now < k.m_view.m_lease_until)
                continue;
            if (n > 0 && k.m_waits_since == time_point{})
                k.m_waits_since = m_now;
            if (k.m_waits_since != time_point{})
                ++m_waiting_ticks;
        }
    }
    void request_token(process& p)
    {
        count(p.m_sent, peer_token_request{{{workspace(17), 1, 0}}});
        count(m_members.front().m_sent,
              peer_token_grant{true, {{workspace(17), 1, 0}}});
    }

    void request_groups(process& p)
    {
        std::vector<relay_query> queries;
        std::vector<std::size_t> wanted;
        bool urgent = false;
        const duration margin = p.m_leads
                                    ? duration(unrenewed_lease_margin)
                                    : duration(relayed_lease_request_margin);
        for (std::size_t g = 0; g < groups; ++g)
        {
            known_group& k = p.m_groups[g];
            if (!needs_relay(k.m_view, k.m_used_at, m_now, margin))
                continue;
            queries.push_back(
                make_relay_query(service(g), k.m_bases, k.m_view, m_now));
            wanted.push_back(g);
            urgent = urgent || k.m_waits_since != time_point{};
        }
        if (queries.empty() ||
            m_now - p.m_requested_at <
                (urgent ? urgent_relay_interval : relay_interval))
            return;
        p.m_requested_at = m_now;
        if (!p.m_leads)
            return exchange(p, m_members.front(), queries, wanted);
        for (process* other : all())
            if (other->m_leads && other != &p)
                exchange(p, *other, queries, wanted);
    }

    // One request and its answer, by way of their encoded forms.
    void exchange(process& from, process& to,
                  const std::vector<relay_query>& queries,
                  const std::vector<std::size_t>& wanted)
    {
        peer_group_request request;
        request.m_from_other_cell = from.m_leads;
        for (const relay_query& q : queries)
        {
            const relay_base* const base =
                find_base(q.m_bases, to.m_incarnation);
            if (base != nullptr && q.m_wants_lease)
                request.m_leases.push_back(
                    static_cast<std::uint32_t>(request.m_services.size()));
            request.m_services.push_back(q.m_service);
            request.m_versions.push_back(base != nullptr ? base->m_version : 0);
            if (base != nullptr && !m_options.m_is_earlier_build)
                request.m_source = to.m_incarnation;
        }
        count(from.m_sent, request);
        const peer_groups answer =
            answer_groups(to,
                          std::get<peer_group_request>(decode_peer_message(
                              encode_peer_message(request))),
                          wanted);
        count(to.m_sent, answer);
        const time_point requested_at =
            m_now -
            (from.m_leads ? round_trip_between_cells : round_trip_in_cell);
        const auto read = std::get<peer_groups>(
            decode_peer_message(encode_peer_message(answer)));
        for (const relayed_group& g : read.m_groups)
        {
            const auto i = static_cast<std::size_t>(
                std::ranges::find(queries, g.m_service,
                                  &relay_query::m_service) -
                queries.begin());
            adopt(from.m_groups[wanted[i]], g, read, requested_at);
        }
        for (const relayed_change& c : read.m_changes)
        {
            const relay_query* const q = query_of(c, queries, read.m_source);
            REQUIRE(q != nullptr);
            adopt(from.m_groups[wanted[c.m_index]],
                  expand_change(c, *q, read.m_source, {}), read, requested_at);
        }
    }
    void adopt(known_group& k, const relayed_group& g,
               const peer_groups& answer, time_point requested_at) const
    {
        adopt_relayed_group(k.m_view, g, requested_at);
        if (answer.m_source != 0)
            remember_base(k.m_bases,
                          {answer.m_source, answer.m_version, g.m_term,
                           g.m_primary, k.m_view.m_lease_until,
                           m_now - requested_at});
    }
    peer_groups answer_groups(process& leader,
                              const peer_group_request& request,
                              const std::vector<std::size_t>& wanted)
    {
        peer_groups answer;
        answer.m_from_leader = true;
        if (!m_options.m_is_earlier_build)
        {
            answer.m_source = leader.m_incarnation;
            answer.m_version = ++leader.m_version;
        }
        for (std::size_t i = 0; i < wanted.size(); ++i)
        {
            known_group& k = leader.m_groups[wanted[i]];
            if (!request.m_from_other_cell)
                k.m_used_at = m_now;
            relayed_group m = describe(k, wanted[i]);
            record_description(k.m_history, m, m_now, answer.m_version);
            const std::uint64_t base = request.m_source == leader.m_incarnation
                                           ? request.m_versions.at(i)
                                           : 0;
            if (!has_changes_since(k.m_history, base))
            {
                answer.m_groups.push_back(std::move(m));
                continue;
            }
            auto change =
                changes_since(k.m_history, base,
                              std::ranges::find(request.m_leases, i) !=
                                  request.m_leases.end());
            if (!change)
                continue;
            change->m_index = static_cast<std::uint32_t>(i);
            answer.m_changes.push_back(std::move(*change));
        }
        return answer;
    }
    relayed_group describe(const known_group& k, std::size_t group) const
    {
        relayed_group m = make_relayed_group(k.m_view, m_now);
        m.m_service = service(group);
        for (std::size_t e = 0; e < endpoints_per_group; ++e)
        {
            if (k.m_replied_at[e] == time_point{})
                continue;
            relayed_endpoint& r = m.m_endpoints[endpoint(group, e)];
            r = k.m_endpoints[e];
            r.m_ago = m_now - k.m_replied_at[e];
            r.m_busy_ago = r.m_ago + milliseconds(5);
        }
        return m;
    }

    void request_votes()
    {
        peer_vote_request request{"entry-17", "10.20.0.17:8462",
                                  0x5eed'5eed'5eed'5eed};
        request.m_leads_cell = true;
        request.m_store_revision = request.m_content_revision =
            request.m_endpoints_revision = request.m_evacuations_revision =
                20'000;
        request.m_config_version = 100;
        for (std::size_t i = 1; i < cell_size; ++i)
        {
            count(m_members.front().m_sent, request);
            count(m_members[i].m_sent,
                  peer_vote{"entry-18", true, true, 20'000, 100});
        }
    }
    // Among hundreds of workspaces one always lacks a whole token, so that
    // digests go at the urgent interval.
    void exchange_digests()
    {
        peer_site_digest digest;
        digest.m_name = "entry-17";
        digest.m_address = "10.20.0.17:8462";
        digest.m_zone = "region-1-zone-1";
        digest.m_store_revision = 20'000;
        digest.m_incarnation = digest.m_seen_incarnation =
            0x5eed'5eed'5eed'5eed;
        digest.m_weights_version = digest.m_seen_weights_version = 1000;
        for (std::size_t w = 0; w < workspaces; ++w)
            digest.m_weights.push_back({workspace(w), 40});
        for (std::size_t i = 0; i < cells - 1; ++i)
            count(m_members.front().m_sent, digest);
    }

    static peer_object endpoint_object(std::size_t group, std::size_t e)
    {
        return {"endpoint/" + endpoint(group, e), 20'000,
                std::string(130, 'x')};
    }
    void relay_endpoint_change()
    {
        peer_settings_request request{
            20'000, peer_settings_part::lists,
            peer_known_revisions{20'000, 20'000, 20'000}, false};
        peer_settings answer;
        answer.m_objects.push_back(endpoint_object(1, 1));
        answer.m_known = {0, 20'001, 20'001};
        for (std::size_t i = 1; i < cell_size; ++i)
        {
            count(m_members[i].m_sent, request);
            count(m_members.front().m_sent, answer);
        }
    }
    // A process that has just started gets the full configuration and lists.
    void fetch_settings()
    {
        constexpr std::size_t bytes_per_workspace = 110;
        constexpr std::size_t bytes_per_route = 120;
        peer_settings configuration;
        configuration.m_objects.push_back(
            {"config", 20'000,
             std::string(workspaces * bytes_per_workspace +
                             3 * groups * bytes_per_route,
                         'x')});
        peer_settings lists;
        for (std::size_t g = 0; g < groups; ++g)
            for (std::size_t e = 0; e < endpoints_per_group; ++e)
                lists.m_objects.push_back(endpoint_object(g, e));
        for (std::size_t i = 0; i < members; ++i)
            lists.m_vms.push_back({"entry-" + std::to_string(i),
                                   "10.20.0.17:8462", "region-1-zone-1",
                                   false});
        for (std::size_t i = 1; i < cell_size; ++i)
        {
            count(m_members[i].m_sent, peer_settings_request{});
            count(m_members[i].m_sent, peer_settings_request{});
            count(m_members.front().m_sent, configuration);
            count(m_members.front().m_sent, lists);
        }
    }

    fleet_options m_options;
    std::vector<process> m_members; ///< Of one cell; the first one leads.
    std::vector<process> m_other_leaders;
    time_point m_now = start - seconds(5);
    std::mt19937 m_arrival_random{1};
    std::mt19937 m_status_random{2};
    std::size_t m_waiting_ticks = 0;
};

// Sections repeat what is above them; each fleet is played once.
const fleet& play(const fleet_options& options)
{
    static std::map<std::pair<bool, bool>, fleet> played_fleets;
    return played_fleets
        .try_emplace({options.m_is_earlier_build, options.m_restarts}, options)
        .first->second;
}

std::string table(std::string_view title, const traffic_by_kind& before,
                  const traffic_by_kind& after)
{
    std::string out(title);
    for (const auto& [kind, b] : before)
    {
        const traffic& a = after.at(kind);
        out += "\n  " + kind + ": " + std::to_string(b.m_messages) +
               " messages, " + std::to_string(b.m_bytes) + " bytes; after " +
               std::to_string(a.m_messages) + ", " + std::to_string(a.m_bytes);
    }
    return out;
}

std::uint64_t bytes_of(const traffic_by_kind& sent, std::string_view kind)
{
    return sent.find(kind)->second.m_bytes;
}

}

SCENARIO("Answers about groups repeat what a process was told before")
{
    const bool restarts = GENERATE(false, true);
    CAPTURE(restarts);
    const fleet& before = play({true, restarts});
    const fleet& after = play({false, restarts});

    GIVEN("300 processes in 6 cells, 31 groups and 311 workspaces, for 10 s")
    {
        WARN((restarts ? "first 10 s after a restart" : "normal operation"));
        WARN(table("cell leader", before.leader(), after.leader()));
        WARN(table("mean of the others", before.mean_of_others(),
                   after.mean_of_others()));
        WARN("ticks of waiting: " << before.waiting_ticks() << "; after "
                                  << after.waiting_ticks());

        THEN("answers with all endpoints are what a leader sends most of")
        {
            CHECK(largest_kind(before.leader()) == "groups");
        }
        THEN("answers with the changes have at most half of the bytes")
        {
            CHECK(bytes_of(after.leader(), "groups") * 2 <=
                  bytes_of(before.leader(), "groups"));
        }
        THEN("no other kind grows, but for the versions in requests")
        {
            for (const auto& [kind, b] : before.leader())
                if (kind != "groups_wanted")
                    CHECK(after.leader().at(kind).m_bytes <= b.m_bytes);
        }
        THEN("statements wait no longer for a lease")
        {
            CHECK(after.waiting_ticks() <= before.waiting_ticks());
        }
    }
}
