#include <load/load_player.hpp>

#include <csignal>
#include <thread>
#include <utility>

#include <load/arrivals.hpp>
#include <load/process_usage.hpp>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;
using std::chrono::nanoseconds;

constexpr std::size_t connections_per_daemon = 4;
constexpr std::string_view session_header = "x-bluebellspoke-session";
constexpr std::chrono::milliseconds late{5};

/// A transaction that was begun and is open until its timer ends it.
struct open_transaction
{
    open_transaction(loop& l, sigc::slot<void()> elapsed)
        : m_end(l, std::move(elapsed))
    {
    }

    std::string m_id;
    timer m_end;
};

struct player
{
    const experiment& m_experiment;
    const support::fleet& m_fleet;
    loop m_loop;
    std::vector<std::unique_ptr<http2_client>> m_clients;
    std::vector<std::vector<support::session>> m_sessions;
    std::vector<arrival> m_arrivals;
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    time_point m_start{};
    load_result m_result;
    timer m_wake;
    std::vector<std::unique_ptr<open_transaction>> m_transactions;
};

json body_of(const experiment& e, const arrival& a)
{
    const workspace_load& w = e.m_workspaces[a.m_workspace];
    const std::string key = "box-" + std::to_string(a.m_session);
    json body{{"time_limit_ms", e.m_time_limit_ms}};
    if (a.m_write)
    {
        body["kind"] = "write";
        body["statement"] = "update bears set value = $2 where key = $1";
        body["parameters"] = {key, "brown bear"};
        return body;
    }
    body["statement"] = "select value from bears where key = $1";
    body["parameters"] = {key};
    if (w.m_max_age_ms)
        body["max_age_ms"] = *w.m_max_age_ms;
    return body;
}

// Sessions roam: each request of a session may go to another daemon.
std::size_t daemon_for(const player& p, const arrival& a)
{
    const auto& pinned = p.m_experiment.m_workspaces[a.m_workspace].m_daemon;
    const std::size_t daemons = p.m_fleet.m_daemons.size();
    return pinned ? *pinned % daemons : p.m_next % daemons;
}

std::string refusal_name(const http2_result& result)
{
    if (const auto* failure = std::get_if<http2_failure>(&result))
        return std::string(to_string(*failure));
    const json body =
        json::parse(std::get<http2_response>(result).m_body, nullptr, false);
    return body.is_object() ? body.value("error", std::string("unreadable"))
                            : "unreadable";
}

double ms_since(time_point start, time_point now)
{
    return std::chrono::duration<double, std::milli>(now - start).count();
}

void send(player& p, const arrival& a, std::size_t daemon, bool first);

// As the advice of these refusals says; the platform's balancer does the same
// once it has seen the daemon's readiness.
bool goes_elsewhere(const std::string& refusal)
{
    return refusal == "zone_out" || refusal == "draining";
}

void take_result(player& p, const arrival& a, std::size_t daemon, bool first,
                 http2_result& result)
{
    const auto* response = std::get_if<http2_response>(&result);
    const bool served = response != nullptr && response->m_status == 200;
    if (!served && first && goes_elsewhere(refusal_name(result)))
    {
        send(p, a, (daemon + 1) % p.m_fleet.m_daemons.size(), false);
        return;
    }
    workspace_result& w = p.m_result.m_workspaces[a.m_workspace];
    sample s;
    s.m_intended = std::chrono::duration<double, std::milli>(a.m_at).count();
    s.m_ended = ms_since(p.m_start, monotonic_clock::now());
    s.m_write = a.m_write;
    s.m_served = served;
    w.m_samples.push_back(s);
    --p.m_open;
    if (!s.m_served)
    {
        ++w.m_refused[refusal_name(result)];
        return;
    }
    ++w.m_served;
    const std::string_view token =
        find_header(response->m_headers, session_header);
    p.m_sessions[a.m_workspace][a.m_session].m_token = token;
    const bool replica =
        response->m_body.find("\"from\":\"replica\"") != std::string::npos;
    if (!a.m_write)
        ++(replica ? w.m_at_replica : w.m_at_primary);
}

void send_to(player& p, const arrival& a, std::size_t daemon,
             http2_request request, http2_done done)
{
    constexpr std::chrono::seconds slack{2};
    const std::size_t client =
        daemon * connections_per_daemon + a.m_session % connections_per_daemon;
    p.m_clients[client]->send(
        std::move(request),
        std::chrono::milliseconds(p.m_experiment.m_time_limit_ms) + slack,
        std::move(done));
}

void commit(player& p, const arrival& a, std::size_t daemon,
            const std::string& id)
{
    const support::session& session = p.m_sessions[a.m_workspace][a.m_session];
    send_to(p, a, daemon, support::end_request(session, id, "commit"),
            [&p, a, daemon](http2_result& result)
            {
                take_result(p, a, daemon, false, result);
            });
}

void hold_transaction(player& p, const arrival& a, std::size_t daemon,
                      std::string id)
{
    const workspace_load& w = p.m_experiment.m_workspaces[a.m_workspace];
    const std::size_t index = p.m_transactions.size();
    p.m_transactions.push_back(std::make_unique<open_transaction>(
        p.m_loop,
        [&p, a, daemon, index]
        {
            commit(p, a, daemon, p.m_transactions[index]->m_id);
        }));
    p.m_transactions.back()->m_id = std::move(id);
    p.m_transactions.back()->m_end.start_once(
        std::chrono::milliseconds(*w.m_transaction_ms));
}

void begin(player& p, const arrival& a, std::size_t daemon)
{
    const support::session& session = p.m_sessions[a.m_workspace][a.m_session];
    send_to(p, a, daemon, support::begin_request(session),
            [&p, a, daemon](http2_result& result)
            {
                const auto* r = std::get_if<http2_response>(&result);
                if (r == nullptr || r->m_status != 200)
                    take_result(p, a, daemon, false, result);
                else
                    hold_transaction(p, a, daemon,
                                     json::parse(r->m_body).at("transaction"));
            });
}

void send(player& p, const arrival& a, std::size_t daemon, bool first)
{
    if (p.m_experiment.m_workspaces[a.m_workspace].m_transaction_ms)
    {
        begin(p, a, daemon);
        return;
    }
    const support::session& session = p.m_sessions[a.m_workspace][a.m_session];
    send_to(p, a, daemon,
            support::statement_request(session, body_of(p.m_experiment, a)),
            [&p, a, daemon, first](http2_result& result)
            {
                take_result(p, a, daemon, first, result);
            });
}

// Open loop: what is due goes out whether or not earlier answers have come.
void send_due(player& p)
{
    const nanoseconds now = monotonic_clock::now() - p.m_start;
    while (p.m_next < p.m_arrivals.size() && p.m_arrivals[p.m_next].m_at <= now)
    {
        const arrival& a = p.m_arrivals[p.m_next];
        if (now - a.m_at > late)
            ++p.m_result.m_late;
        ++p.m_result.m_workspaces[a.m_workspace].m_sent;
        ++p.m_open;
        send(p, a, daemon_for(p, a), true);
        ++p.m_next;
    }
    const bool all_sent = p.m_next == p.m_arrivals.size();
    if (all_sent && p.m_open == 0)
    {
        stop(p.m_loop);
        return;
    }
    constexpr std::chrono::milliseconds tick{20};
    const nanoseconds until =
        all_sent ? tick : p.m_arrivals[p.m_next].m_at - now;
    p.m_wake.start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(until));
}

void take_zone(const support::fleet& f, const std::string& zone, bool out)
{
    support::put_node(f, zone, {{"kind", "zone"}, {"out", out}});
}

void take_step(support::fleet& f, const experiment_step& s)
{
    switch (s.m_kind)
    {
    case step_kind::kill_endpoint:
        f.m_endpoints.at(s.m_index).m_process->send_signal(SIGKILL);
        break;
    case step_kind::start_endpoint:
        support::start_endpoint(f.m_endpoints.at(s.m_index));
        break;
    case step_kind::kill_group:
        for (const support::endpoint_node& e : f.m_endpoints)
            e.m_process->send_signal(SIGKILL);
        break;
    case step_kind::start_group:
        for (support::endpoint_node& e : f.m_endpoints)
            support::start_endpoint(e);
        break;
    case step_kind::zone_out:
        take_zone(f, s.m_zone, true);
        break;
    case step_kind::zone_in:
        take_zone(f, s.m_zone, false);
        break;
    case step_kind::kill_daemon:
        f.m_daemons.at(s.m_index).m_process->send_signal(SIGKILL);
        break;
    case step_kind::start_daemon:
        support::start_daemon(f.m_daemons.at(s.m_index));
        break;
    }
}

// Steps block, so they have a thread that has the fleet to itself.
void take_steps(support::fleet& f, const experiment& e, time_point start)
{
    for (const experiment_step& s : e.m_steps)
    {
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(s.m_at)));
        take_step(f, s);
    }
}

void open_sessions(player& p)
{
    for (const workspace_load& w : p.m_experiment.m_workspaces)
    {
        support::put_node(p.m_fleet, w.m_name,
                          {{"kind", "workspace"},
                           {"service", "group"},
                           {"rate", w.m_rate},
                           {"burst", w.m_burst},
                           {"weight", w.m_weight}});
        const std::string key = support::grant_key(p.m_fleet, w.m_name, "load");
        p.m_sessions.emplace_back(w.m_sessions, support::session{key, {}});
        p.m_result.m_workspaces.emplace_back().m_name = w.m_name;
    }
    for (const support::daemon_node& d : p.m_fleet.m_daemons)
        for (std::size_t i = 0; i < connections_per_daemon; ++i)
            p.m_clients.push_back(
                std::make_unique<http2_client>(p.m_loop, d.m_callers));
}

bool reads(const support::daemon_node& d, support::session s)
{
    support::caller c(d.m_callers);
    return support::run_statement(
               c, s, {{"statement", "select value from bears where key = 'a'"}})
               .m_status == 200;
}

double daemon_cpu(const support::fleet& f)
{
    double sum = 0;
    for (const support::daemon_node& d : f.m_daemons)
        sum += processor_seconds(d.m_process->id());
    return sum;
}

void wait_until_served(const player& p)
{
    for (const support::daemon_node& d : p.m_fleet.m_daemons)
        if (!support::eventually(
                [&]
                {
                    return reads(d, p.m_sessions.back().front());
                }))
            throw support::spawn_error();
}

}

load_result play(const experiment& e)
{
    support::fleet f(e.m_fleet);
    loop l = make_loop();
    player p{e,
             f,
             std::move(l),
             {},
             {},
             draw_arrivals(e),
             0,
             0,
             {},
             {},
             timer(p.m_loop,
                   [&p]
                   {
                       send_due(p);
                   }),
             {}};
    p.m_result.m_experiment = e.m_name;
    p.m_result.m_seconds = e.m_seconds;
    open_sessions(p);
    wait_until_served(p);
    // The buckets of the rates fill before the first arrival.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    p.m_start = monotonic_clock::now();
    std::thread steps(
        [&]
        {
            take_steps(f, e, p.m_start);
        });
    p.m_wake.start_once(std::chrono::microseconds::zero());
    const double cpu_before = daemon_cpu(f);
    run(p.m_loop);
    p.m_result.m_daemon_cpu_seconds = daemon_cpu(f) - cpu_before;
    steps.join();
    return std::move(p.m_result);
}

}
