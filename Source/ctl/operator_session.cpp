#include <ctl/operator_session.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include <peer/peer_codec.hpp>
#include <store/epoch_codec.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds call_limit{5};
constexpr std::chrono::seconds daemon_limit{1};
constexpr std::string_view peer_path = "/peer";

template <class Value, class Call>
platform_result<Value> wait_for(operator_session& s, Call call)
{
    std::optional<platform_result<Value>> kept;
    call(
        [&](platform_result<Value>& result)
        {
            kept = std::move(result);
            stop(s.m_loop);
        });
    while (!kept)
        run(s.m_loop);
    return std::move(*kept);
}

// Reads change nothing, so that whatever became of one is an outage.
template <class Value>
Value take(platform_result<Value> result, std::string_view what)
{
    if (std::holds_alternative<platform_failure>(result))
        throw ctl_error(ctl_fault::platform_unavailable,
                        std::string("reading ").append(what));
    return std::move(std::get<Value>(result));
}

std::optional<peer_message> to_message(http2_result& result)
{
    constexpr int status_ok = 200;
    const auto* response = std::get_if<http2_response>(&result);
    if (response == nullptr || response->m_status != status_ok)
        return std::nullopt;
    try
    {
        return decode_peer_message(response->m_body);
    }
    catch (const peer_protocol_error&)
    {
        return std::nullopt;
    }
}

/// Questions to several daemons, each on a connection of its own.
struct daemon_round
{
    std::vector<std::unique_ptr<http2_client>> m_clients;
    std::vector<std::optional<peer_message>> m_answers;
    std::size_t m_left = 0;
};

void ask(operator_session& s, daemon_round& round,
         std::span<const platform_vm> vms, const peer_message& message)
{
    round.m_answers.resize(vms.size());
    round.m_left = vms.size();
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        round.m_clients.push_back(std::make_unique<http2_client>(
            s.m_loop, parse_address(vms[i].m_peer_address),
            s.m_settings.m_peer_tls));
        round.m_clients.back()->send(
            {"POST", std::string(peer_path), {}, encode_peer_message(message)},
            daemon_limit,
            [&s, &round, i](http2_result& result)
            {
                round.m_answers[i] = to_message(result);
                if (--round.m_left == 0)
                    stop(s.m_loop);
            });
    }
    while (round.m_left > 0)
        run(s.m_loop);
}

fleet_epoch read_fleet_epoch(operator_session& s)
{
    const platform_object object = get_object(s, epoch_object);
    if (object.m_version == 0)
        return {};
    try
    {
        return decode_epoch(object.m_version, object.m_value);
    }
    catch (const epoch_error&)
    {
        // The daemons refuse it too, and count by the list alone.
        return {};
    }
}

// The list lags, and may omit daemons that still have standing.
std::vector<daemon_status> known_daemons(operator_session& s)
{
    std::vector<daemon_status> daemons;
    for (const platform_vm& vm : list_vms(s))
        daemons.push_back({vm, true, false, std::nullopt});
    for (const fleet_member& m : read_fleet_epoch(s).m_members)
    {
        const auto found = std::find_if(daemons.begin(), daemons.end(),
                                        [&](const daemon_status& d)
                                        {
                                            return d.m_vm.m_name == m.m_name;
                                        });
        if (found != daemons.end())
            found->m_in_epoch = true;
        else
            daemons.push_back({{m.m_name, m.m_address, "", vm_state::live},
                               false,
                               true,
                               std::nullopt});
    }
    return daemons;
}

}

operator_session::operator_session(const operator_settings& settings)
    : m_settings(settings), m_loop(make_loop()),
      m_platform(m_loop, settings.m_platform, settings.m_platform_tls)
{
}

platform_listing list_objects(operator_session& s, std::string_view prefix)
{
    return take(wait_for<platform_listing>(
                    s,
                    [&](platform_callback<platform_listing> done)
                    {
                        s.m_platform.list(prefix, call_limit, std::move(done));
                    }),
                prefix);
}

platform_object get_object(operator_session& s, std::string_view name)
{
    return take(wait_for<platform_object>(
                    s,
                    [&](platform_callback<platform_object> done)
                    {
                        s.m_platform.get(name, call_limit, std::move(done));
                    }),
                name);
}

std::vector<platform_vm> list_vms(operator_session& s)
{
    return take(wait_for<std::vector<platform_vm>>(
                    s,
                    [&](platform_callback<std::vector<platform_vm>> done)
                    {
                        s.m_platform.vms(call_limit, std::move(done));
                    }),
                "the list of VMs");
}

platform_result<platform_object> try_put(operator_session& s,
                                         const platform_object& object,
                                         std::uint64_t if_version)
{
    return wait_for<platform_object>(
        s,
        [&](platform_callback<platform_object> done)
        {
            s.m_platform.put(object.m_name, object.m_value, if_version,
                             call_limit, std::move(done));
        });
}

std::vector<daemon_status> ask_fleet(operator_session& s)
{
    std::vector<daemon_status> members = known_daemons(s);
    std::vector<platform_vm> vms;
    vms.reserve(members.size());
    for (const daemon_status& m : members)
        vms.push_back(m.m_vm);
    daemon_round round;
    ask(s, round, vms, peer_status_request());
    for (std::size_t i = 0; i < vms.size(); ++i)
        if (round.m_answers[i])
            if (auto* status = std::get_if<peer_status>(&*round.m_answers[i]))
                members[i].m_status = std::move(*status);
    return members;
}

std::optional<peer_message> ask_daemon(operator_session& s,
                                       const platform_vm& vm,
                                       const peer_message& message)
{
    daemon_round round;
    ask(s, round, {&vm, 1}, message);
    return std::move(round.m_answers.front());
}

void pause(operator_session& s, duration time)
{
    timer over(s.m_loop,
               [&s]
               {
                   stop(s.m_loop);
               });
    over.start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(time));
    run(s.m_loop);
}

}
