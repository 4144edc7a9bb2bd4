#include <daemon/control_state.hpp>

#include <chrono>
#include <limits>
#include <utility>

#include <model/overloaded.hpp>
#include <peer/peer_call.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds heartbeat_period{500};
// No majority is one while nobody has said how many daemons there are.
constexpr std::size_t unknown_members = std::numeric_limits<std::size_t>::max();

std::uint64_t age_ms(time_point since)
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(monotonic_clock::now() -
                                                     since)
            .count());
}

peer_heartbeat heartbeat_of(const control_state& c)
{
    peer_heartbeat m;
    m.m_name = c.m_daemon.m_name;
    m.m_incarnation = c.m_incarnation;
    m.m_settings_version = c.m_version;
    m.m_platform_is_available = c.m_platform_answers;
    m.m_confirmed_age_ms = age_ms(confirmed_at(standing_of(c).m_view));
    m.m_draining = c.m_draining;
    m.m_epoch = c.m_fleet.m_epoch.m_number;
    m.m_applied_epoch = applied_epoch(c);
    m.m_epoch_confirmed_age_ms =
        age_ms(confirmed_at(epoch_standing_of(c).m_view));
    m.m_epoch_platform_is_available = c.m_fleet.m_platform_answers;
    m.m_address = to_string(c.m_daemon.m_peer_listen);
    m.m_zone = c.m_daemon.m_zone;
    return m;
}

// `asked_at` is when the message can have been sent at the earliest, as far as
// this process's clock can tell.
void learn_heartbeat(control_state& c, const peer_heartbeat& m,
                     time_point asked_at)
{
    const auto found = c.m_peers.find(m.m_name);
    if (found == c.m_peers.end() || asked_at < found->second.m_asked_at)
        return;
    found->second.m_last = m;
    found->second.m_asked_at = asked_at;
    if (m.m_epoch > c.m_fleet.m_epoch.m_number)
        read_epoch(c);
    update_right(c);
    fetch_from_peer(c);
    tell_standing(c);
}

void answer_peer(control_state& c, exchange_id exchange,
                 const peer_message& message)
{
    answer_peer(*c.m_peer_server, exchange, message);
}

/// Takes one message of a peer and sees to the answer.
void take_peer_message(control_state& c, exchange_id exchange,
                       const peer_message& message)
{
    std::visit(
        overloaded{
            [&](const peer_heartbeat& m)
            {
                note_caller(c, m);
                answer_peer(c, exchange, heartbeat_of(c));
            },
            [&](const peer_settings_request& m)
            {
                answer_peer(c, exchange, settings_for_peer(c, m.m_after));
            },
            [&](const peer_status_request&)
            {
                answer_peer(c, exchange, status_of(c));
            },
            [&](const peer_drain_request&)
            {
                c.m_boxes.m_admin.post(drain_begun());
                answer_peer(c, exchange, status_of(c));
            },
            [&](const peer_loan_request& m)
            {
                pass_loan_ask(c, exchange, m);
            },
            [&](const auto&)
            {
                answer_peer(c, exchange, peer_declined{c.m_daemon.m_name});
            },
        },
        message);
}

void on_request(control_state& c, arrived_request& arrived)
{
    if (const auto message = decode_peer_request(*c.m_peer_server, arrived))
        take_peer_message(c, arrived.m_exchange, *message);
}

void beat(control_state& c)
{
    c.m_heartbeat.start_once(heartbeat_period);
    const time_point asked_at = monotonic_clock::now();
    for (const auto& [name, p] : c.m_peers)
        send_to_peer(c, name, heartbeat_of(c),
                     [&c, asked_at](std::optional<peer_message>& answer)
                     {
                         if (!answer)
                             return;
                         if (const auto* m =
                                 std::get_if<peer_heartbeat>(&*answer))
                             learn_heartbeat(c, *m, asked_at);
                     });
}

// A list that doesn't name this daemon is from before its time: how many there
// are can't be told from it, so no majority can be counted.
std::size_t known_members(const control_state& c)
{
    for (const platform_vm& vm : c.m_vms)
        if (vm.m_name == c.m_daemon.m_name)
            return c.m_members;
    return unknown_members;
}

}

void start_peers(control_state& c)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [&c](arrived_request& arrived)
    {
        on_request(c, arrived);
    };
    handlers.m_on_abandoned = [](exchange_id) {};
    handlers.m_on_disconnect = [](connection_id) {};
    c.m_peer_server = std::make_unique<http2_server>(
        c.m_loop, c.m_daemon.m_peer_listen, http2_server_limits(),
        std::move(handlers));
    beat_peers(c);
}

void beat_peers(control_state& c)
{
    beat(c);
}

void beat_soon(control_state& c)
{
    c.m_heartbeat.start_once(std::chrono::microseconds::zero());
}

void answer_loan(control_state& c, const outgoing_loan& given)
{
    answer_peer(c, given.m_exchange, to_message(given.m_loan));
}

namespace
{

peer_report witness_of(const peer& p)
{
    return {p.m_asked_at, p.m_last->m_settings_version,
            std::chrono::milliseconds(p.m_last->m_confirmed_age_ms),
            p.m_last->m_platform_is_available};
}

// By name: a process that took a member's place has its settings from members.
witnessed_standing standing_among(const control_state& c,
                                  std::span<const fleet_member> members)
{
    witnessed_standing s;
    for (const auto& [name, p] : c.m_peers)
        if (p.m_last && find_member(members, name) != nullptr)
            s.m_witnesses.push_back(witness_of(p));
    const bool is_member = find_member(members, c.m_daemon.m_name) != nullptr;
    s.m_view = {c.m_version,          c.m_platform_confirmed_at,
                c.m_platform_answers, members.size(),
                s.m_witnesses,        is_member};
    return s;
}

}

std::vector<witnessed_standing> member_standings_of(const control_state& c)
{
    const fleet_epoch& e = c.m_fleet.m_epoch;
    std::vector<witnessed_standing> standings;
    if (!e.m_members.empty())
        standings.push_back(standing_among(c, e.m_members));
    if (!c.m_fleet.m_settling.m_settled && !e.m_former.empty())
        standings.push_back(standing_among(c, e.m_former));
    return standings;
}

witnessed_standing standing_of(const control_state& c)
{
    witnessed_standing s;
    for (const auto& [name, p] : c.m_peers)
        if (p.m_last)
            s.m_witnesses.push_back(witness_of(p));
    s.m_view = {c.m_version, c.m_platform_confirmed_at, c.m_platform_answers,
                known_members(c), s.m_witnesses};
    return s;
}

void set_peers(control_state& c, std::span<const platform_vm> vms)
{
    std::map<std::string, peer, std::less<>> kept;
    for (const platform_vm& vm : vms)
    {
        if (vm.m_name == c.m_daemon.m_name)
            continue;
        const auto found = c.m_peers.find(vm.m_name);
        const bool same =
            found != c.m_peers.end() &&
            found->second.m_vm.m_peer_address == vm.m_peer_address;
        peer& p = kept[vm.m_name];
        if (same)
            p = std::move(found->second);
        else
            p.m_client = std::make_unique<http2_client>(
                c.m_loop, parse_address(vm.m_peer_address),
                c.m_tls.m_peer_client);
        if (!same)
            p.m_since = monotonic_clock::now();
        p.m_vm = vm;
    }
    c.m_peers = std::move(kept);
}

void send_to_peer(control_state& c, std::string_view name,
                  const peer_message& message, peer_callback done)
{
    const auto found = c.m_peers.find(name);
    if (found == c.m_peers.end())
    {
        std::optional<peer_message> none;
        done(none);
        return;
    }
    call_peer(*found->second.m_client, message, std::move(done));
}

}
