#include <load/slopes.hpp>

#include <array>
#include <thread>
#include <utility>

#include <load/load_player.hpp>
#include <load/process_usage.hpp>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;
using support::fleet;
using support::fleet_options;

constexpr double observed_seconds = 4;

void sleep_seconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

pid_t daemon_of(const fleet& f, std::size_t index)
{
    return f.m_daemons[index].m_process->id();
}

json platform_counters(const fleet& f)
{
    support::caller c(f.m_platform_address);
    return c.send({"GET", "/standin/counters", {}, {}}).json();
}

double difference(const json& before, const json& after, const char* field)
{
    return (after.at(field).get<double>() - before.at(field).get<double>()) /
           observed_seconds;
}

/// What an idle daemon and its share of the platform's calls take a second.
json observe_idle(const fleet& f)
{
    constexpr double settle_seconds = 2;
    sleep_seconds(settle_seconds);
    const pid_t first = daemon_of(f, 0);
    const json calls = platform_counters(f);
    const double control = processor_seconds(first, "control");
    const double pool = processor_seconds(first, "pool");
    const double bytes = transferred_bytes(first);
    sleep_seconds(observed_seconds);
    const json calls_after = platform_counters(f);
    return {
        {"control_cpu_percent",
         100 * (processor_seconds(first, "control") - control) /
             observed_seconds},
        {"pool_cpu_percent",
         100 * (processor_seconds(first, "pool") - pool) / observed_seconds},
        {"http_bytes_per_second",
         (transferred_bytes(first) - bytes) / observed_seconds},
        {"platform_reads_per_second", difference(calls, calls_after, "reads")},
        {"platform_writes_per_second",
         difference(calls, calls_after, "writes")},
        {"platform_watches_per_second",
         difference(calls, calls_after, "watches")},
        {"resident_bytes", resident_bytes(first)}};
}

json at_size(std::size_t size, json figures)
{
    figures["size"] = size;
    return figures;
}

json daemons_slope()
{
    json out = json::array();
    for (const std::size_t daemons : {2U, 4U, 8U, 16U, 32U})
    {
        fleet_options o;
        o.m_daemons = daemons;
        o.m_endpoints = 1;
        o.m_connections = 1000;
        out.push_back(at_size(daemons, observe_idle(fleet(o))));
    }
    return out;
}

void put_object(support::caller& c, const std::string& name, const json& value)
{
    const http2_request request{
        "PUT", "/v1/objects/" + name + "?if_version=0", {}, value.dump()};
    if (c.send(request).m_status != 200)
        throw support::spawn_error();
}

json settings_slope()
{
    json out = json::array();
    for (const std::size_t nodes : {100U, 1000U, 4000U})
    {
        fleet_options o;
        o.m_daemons = 2;
        o.m_endpoints = 1;
        const fleet f(o);
        support::caller c(f.m_platform_address);
        const double before = processor_seconds(daemon_of(f, 0), "control");
        for (std::size_t i = 0; i < nodes; ++i)
            put_object(c, "settings/w" + std::to_string(i),
                       {{"kind", "workspace"}, {"service", "group"}});
        json figures = observe_idle(f);
        figures["control_cpu_s_for_all_edits"] =
            processor_seconds(daemon_of(f, 0), "control") - before;
        const double edit = processor_seconds(daemon_of(f, 0));
        constexpr std::size_t edits = 10;
        for (std::size_t i = 0; i < edits; ++i)
        {
            put_object(c, "settings/late" + std::to_string(i),
                       {{"kind", "workspace"}, {"service", "group"}});
            sleep_seconds(0.1);
        }
        figures["cpu_ms_per_edit"] =
            1000 * (processor_seconds(daemon_of(f, 0)) - edit) / edits;
        out.push_back(at_size(nodes, std::move(figures)));
    }
    return out;
}

json groups_slope()
{
    json out = json::array();
    for (const std::size_t groups : {1U, 4U, 16U, 64U})
    {
        fleet_options o;
        o.m_daemons = 1;
        o.m_endpoints = 3;
        o.m_connections = 1000;
        const fleet f(o);
        json endpoints = json::array();
        for (const support::endpoint_node& e : f.m_endpoints)
            endpoints.push_back({{"name", e.m_name},
                                 {"address", to_string(e.m_address)},
                                 {"zone", e.m_zone}});
        for (std::size_t i = 1; i < groups; ++i)
            support::put_node(f, "group-" + std::to_string(i),
                              {{"kind", "service"},
                               {"slots", o.m_slots},
                               {"connections", o.m_connections},
                               {"endpoints", endpoints}});
        out.push_back(at_size(groups, observe_idle(f)));
    }
    return out;
}

json connections_slope()
{
    json out = json::array();
    fleet_options o;
    o.m_daemons = 1;
    o.m_endpoints = 1;
    const fleet f(o);
    loop l = make_loop();
    std::vector<std::unique_ptr<http2_client>> clients;
    for (const std::size_t connections : {0U, 1000U, 2000U, 4000U})
    {
        std::size_t left = connections - clients.size();
        while (clients.size() < connections)
        {
            clients.push_back(
                std::make_unique<http2_client>(l, f.m_daemons[0].m_callers));
            clients.back()->send({"POST", "/v1/statement", {}, "{}"},
                                 std::chrono::seconds(20),
                                 [&](http2_result&)
                                 {
                                     if (--left == 0)
                                         stop(l);
                                 });
        }
        if (left > 0)
            run(l);
        out.push_back(
            at_size(connections,
                    {{"resident_bytes", resident_bytes(daemon_of(f, 0))}}));
    }
    return out;
}

json rates_slope()
{
    json out = json::array();
    for (const double rate : {500.0, 1000.0, 2000.0, 4000.0})
    {
        experiment e;
        e.m_name = "rate";
        e.m_seconds = observed_seconds;
        e.m_fleet.m_daemons = 1;
        e.m_fleet.m_slots = 16;
        workspace_load w;
        w.m_name = "ward";
        w.m_rate = 100'000;
        w.m_burst = 100'000;
        w.m_load = rate;
        w.m_writes = 0.1;
        e.m_workspaces = {w};
        const load_result r = play(e);
        out.push_back(
            {{"size", rate},
             {"statements", r.m_workspaces.front().m_served},
             {"cpu_us_per_statement",
              1e6 * r.m_daemon_cpu_seconds /
                  static_cast<double>(r.m_workspaces.front().m_served)},
             {"p50_ms", latency_quantile(r.m_workspaces.front(), 0.5)}});
    }
    return out;
}

}

json run_slopes(const std::string& only)
{
    constexpr std::array<std::pair<const char*, json (*)()>, 5> slopes{{
        {"connections", connections_slope},
        {"rates", rates_slope},
        {"daemons", daemons_slope},
        {"settings", settings_slope},
        {"groups", groups_slope},
    }};
    json out = json::object();
    for (const auto& [name, measure] : slopes)
        if (only.empty() || only == name)
            out[name] = measure();
    return out;
}

}
