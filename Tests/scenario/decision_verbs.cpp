#include <scenario/decision_verbs.hpp>

#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <decide/access.hpp>
#include <decide/acknowledgement.hpp>
#include <decide/promotion.hpp>
#include <decide/rate_bucket.hpp>
#include <decide/resolved_settings.hpp>
#include <decide/routing.hpp>
#include <decide/session_token.hpp>
#include <decide/standing.hpp>
#include <model/refusal.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke::scenario
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

time_point at_ms(const json& ms)
{
    return time_point(milliseconds(ms.get<std::int64_t>()));
}

log_position to_position(const json& j)
{
    return {j.at("term"), j.at("offset")};
}

json from_position(const log_position& p)
{
    return {{"term", p.m_term}, {"offset", p.m_offset}};
}

endpoint_state to_state(const json& j)
{
    endpoint_state s;
    s.m_role = j.value("role", "replica") == "primary" ? endpoint_role::primary
                                                       : endpoint_role::replica;
    s.m_fence = j.at("fence");
    s.m_received = to_position(j.at("received"));
    s.m_replayed = to_position(j.at("replayed"));
    if (j.contains("age_ms"))
        s.m_age = milliseconds(j.at("age_ms"));
    s.m_asked_at = at_ms(j.value("asked_at", 0));
    return s;
}

// An endpoint without a `state` was not heard from.
std::vector<endpoint_view> to_endpoints(const json& list)
{
    std::vector<endpoint_view> views;
    for (const json& j : list)
    {
        endpoint_view& v = views.emplace_back();
        if (j.contains("state"))
            v.m_state = to_state(j.at("state"));
        v.m_admits = j.value("admits", true);
        v.m_local = j.value("local", false);
        v.m_running = j.value("running", 0U);
        v.m_slots = j.value("slots", 1U);
    }
    return views;
}

json run_is_confirmed(const json& a)
{
    return is_confirmed(to_endpoints(a.at(0)), to_position(a.at(1)));
}

json run_is_superseded(const json& a)
{
    return is_superseded(to_endpoints(a.at(0)), to_position(a.at(1)));
}

// Endpoints are numbered from 1, as lists are in Lua.
json run_find_primary(const json& a)
{
    const auto found = find_primary(to_endpoints(a.at(0)));
    return found ? json(*found + 1) : json();
}

routing_requirements to_need(const json& j)
{
    routing_requirements need;
    if (j.value("kind", "read") == "write")
        need.m_kind = statement_kind::write;
    if (j.contains("session"))
        need.m_session_position = to_position(j.at("session"));
    if (j.contains("max_age_ms"))
        need.m_max_age = milliseconds(j.at("max_age_ms"));
    need.m_primary_only = j.value("primary_only", false);
    return need;
}

json run_choose_endpoint(const json& a)
{
    constexpr std::array<const char*, 4> outcomes{"run", "wait_slot",
                                                  "wait_state", "none"};
    const route r = choose_endpoint(to_endpoints(a.at(0)), to_need(a.at(1)),
                                    at_ms(a.at(2)));
    return {{"outcome", outcomes.at(static_cast<std::size_t>(r.m_outcome))},
            {"endpoint", r.m_index + 1}};
}

std::vector<voter> to_voters(const json& list)
{
    std::vector<voter> voters;
    for (const json& j : list)
    {
        voter& v = voters.emplace_back();
        if (j.contains("state"))
            v.m_state = to_state(j.at("state"));
        if (j.contains("heard_at"))
            v.m_last_contact_at = at_ms(j.at("heard_at"));
        v.m_eligible = j.value("eligible", true);
    }
    return voters;
}

// evaluate_election({term, candidate, began_at, ballots}, voters, now); a
// ballot that has not come in is false.
json run_judge_election(const json& a)
{
    constexpr std::array<const char*, 3> outcomes{"open", "won", "lost"};
    const json& j = a.at(0);
    election e{j.at("term"), j.at("candidate"), at_ms(j.at("began_at")), {}};
    for (const json& b : j.at("ballots"))
    {
        std::optional<ballot>& place = e.m_ballots.emplace_back();
        if (b.is_object())
            place = ballot{b.at("granted"), to_state(b.at("state"))};
    }
    const election_result r =
        evaluate_election(e, to_voters(a.at(1)), at_ms(a.at(2)));
    return {{"outcome", outcomes.at(static_cast<std::size_t>(r.m_outcome))},
            {"winner", r.m_winner + 1}};
}

json run_judge_standing(const json& a)
{
    constexpr std::array<const char*, 3> names{"confirmed", "witnessed",
                                               "lapsed"};
    const json& j = a.at(0);
    std::vector<peer_report> peers;
    for (const json& p : j.at("peers"))
        peers.push_back({at_ms(p.at("asked_at")), p.at("version"),
                         milliseconds(p.at("confirmed_age")),
                         p.at("platform_answers")});
    const standing_view view{j.at("version"), at_ms(j.at("confirmed_at")),
                             j.at("platform_answers"), j.at("members"), peers};
    const time_point now = at_ms(a.at(1));
    return {{"standing",
             names.at(static_cast<std::size_t>(evaluate_standing(view, now)))},
            {"confirmed_at", std::chrono::duration_cast<milliseconds>(
                                 confirmed_at(view).time_since_epoch())
                                 .count()}};
}

json run_standing_bound(const json&)
{
    return std::chrono::duration_cast<milliseconds>(standing_bound).count();
}

json run_take_token(const json& a)
{
    const json& j = a.at(0);
    rate_bucket b{j.at("rate"), j.at("burst"), j.at("tokens"),
                  at_ms(j.at("filled_at"))};
    const bool taken = take_token(b, at_ms(a.at(1)));
    return {{"taken", taken},
            {"tokens", b.m_tokens},
            {"filled_at", std::chrono::duration_cast<milliseconds>(
                              b.m_refilled_at.time_since_epoch())
                              .count()}};
}

json run_seal_session(const json& a)
{
    const auto workspace = a.at(0).get<std::string>();
    const auto group = a.at(1).get<std::string>();
    const auto secret = a.at(3).get<std::string>();
    return make_session_token({workspace, group, to_position(a.at(2))}, secret);
}

json run_open_session(const json& a)
{
    const auto secrets = a.at(3).get<std::vector<std::string>>();
    const auto position = verify_session_token(
        a.at(0).get<std::string>(), a.at(1).get<std::string>(),
        a.at(2).get<std::string>(), secrets);
    return position ? from_position(*position) : json();
}

settings_tree to_tree(const json& nodes)
{
    settings_tree tree;
    std::uint64_t version = 0;
    for (const auto& [path, node] : nodes.items())
        tree[path == "@" ? "" : path] = {++version,
                                         decode_node(path, node.dump())};
    return tree;
}

// The workspace that a key opens in a tree, or the refusal's name.
json run_check_key(const json& a)
{
    const resolved_settings_ptr view = resolve_settings(to_tree(a.at(0)), 1);
    try
    {
        const access_grant grant =
            check_key_access(*view, a.at(1).get<std::string>());
        return {{"workspace", grant.m_workspace->m_name}};
    }
    catch (const refusal_error& r)
    {
        return {{"refused", describe(r.m_code).m_name}};
    }
}

json run_hash(const json& a)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : sha256(a.at(0).get<std::string>()))
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

}

void add_decision_verbs(lua_host& host)
{
    host.add("decide", {"is_confirmed", run_is_confirmed});
    host.add("decide", {"is_superseded", run_is_superseded});
    host.add("decide", {"find_primary", run_find_primary});
    host.add("decide", {"choose_endpoint", run_choose_endpoint});
    host.add("decide", {"judge_election", run_judge_election});
    host.add("decide", {"judge_standing", run_judge_standing});
    host.add("decide", {"standing_bound", run_standing_bound});
    host.add("decide", {"take_token", run_take_token});
    host.add("decide", {"seal_session", run_seal_session});
    host.add("decide", {"open_session", run_open_session});
    host.add("decide", {"check_key", run_check_key});
    host.add("decide", {"hash", run_hash});
}

}
