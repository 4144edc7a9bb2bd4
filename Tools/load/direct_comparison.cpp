#include <load/direct_comparison.hpp>

#include <algorithm>
#include <functional>
#include <thread>

#include <endpoint/endpoint_sql.hpp>
#include <endpoint/pg_connection.hpp>
#include <load/plain_read.hpp>
#include <load/process_usage.hpp>
#include <support/fleet.hpp>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;
using std::chrono::microseconds;

constexpr std::size_t tool_threads = 4;

/// What one way of asking gave.
struct way
{
    std::vector<double> m_times; ///< Microseconds.
    double m_seconds = 0;
};

// Both ways keep the same number of callers busy from one loop like this.
struct round_clock
{
    loop m_loop;
    time_point m_end{};
    std::size_t m_busy = 0;
};

struct direct_caller
{
    round_clock& m_clock;
    way& m_way;
    std::unique_ptr<pg_connection> m_connection;
};

void end_caller(round_clock& clock)
{
    if (--clock.m_busy == 0)
        stop(clock.m_loop);
}

void note(way& w, time_point sent)
{
    w.m_times.push_back(
        std::chrono::duration<double, std::micro>(monotonic_clock::now() - sent)
            .count());
}

// The same text that a daemon sends, so that the endpoint's work is alike.
void ask_directly(direct_caller& c)
{
    const time_point sent = monotonic_clock::now();
    if (sent >= c.m_clock.m_end)
    {
        end_caller(c.m_clock);
        return;
    }
    c.m_connection->submit(read_query(plain_read),
                           [&c, sent](pg_reply&)
                           {
                               note(c.m_way, sent);
                               ask_directly(c);
                           });
}

void run_direct(way& w, const support::fleet& f, const comparison_options& o)
{
    static const connection_chart chart = load_connection_chart(LOAD_CHARTS);
    round_clock clock{make_loop(), {}, o.m_callers};
    std::vector<std::unique_ptr<direct_caller>> callers;
    std::size_t ready = 0;
    time_point start{};
    const auto on_ready = [&]
    {
        if (++ready < o.m_callers)
            return;
        start = monotonic_clock::now();
        clock.m_end = start + o.m_each;
        for (const auto& c : callers)
            ask_directly(*c);
    };
    for (std::size_t i = 0; i < o.m_callers; ++i)
    {
        callers.push_back(
            std::make_unique<direct_caller>(direct_caller{clock, w, nullptr}));
        pg_target target;
        target.m_address = f.m_endpoints.front().m_address;
        callers.back()->m_connection = std::make_unique<pg_connection>(
            clock.m_loop, chart, target, pg_handlers{on_ready, [] {}});
        callers.back()->m_connection->open();
    }
    run(clock.m_loop);
    w.m_seconds +=
        std::chrono::duration<double>(monotonic_clock::now() - start).count();
}

struct proxy_caller
{
    round_clock& m_clock;
    way& m_way;
    http2_client m_client;
    const http2_request& m_request;
};

void ask_proxy(proxy_caller& c)
{
    constexpr std::chrono::seconds limit{5};
    const time_point sent = monotonic_clock::now();
    if (sent >= c.m_clock.m_end)
    {
        end_caller(c.m_clock);
        return;
    }
    c.m_client.send(c.m_request, limit,
                    [&c, sent](http2_result& result)
                    {
                        const auto* r = std::get_if<http2_response>(&result);
                        if (r != nullptr && r->m_status == 200)
                            note(c.m_way, sent);
                        ask_proxy(c);
                    });
}

void run_proxy(way& w, const support::fleet& f, const comparison_options& o,
               const http2_request& request)
{
    round_clock clock{make_loop(), {}, o.m_callers};
    std::vector<std::unique_ptr<proxy_caller>> callers;
    for (std::size_t i = 0; i < o.m_callers; ++i)
        callers.push_back(std::unique_ptr<proxy_caller>(new proxy_caller{
            clock, w, http2_client(clock.m_loop, f.m_daemons.front().m_callers),
            request}));
    const time_point start = monotonic_clock::now();
    clock.m_end = start + o.m_each;
    for (const auto& c : callers)
        ask_proxy(*c);
    run(clock.m_loop);
    w.m_seconds +=
        std::chrono::duration<double>(monotonic_clock::now() - start).count();
}

// Several threads share the callers, so that the tool isn't what is measured.
void run_in_threads(
    way& w, const comparison_options& options,
    const std::function<void(way&, const comparison_options&)>& run_callers)
{
    comparison_options part = options;
    part.m_callers = std::max<std::size_t>(options.m_callers / tool_threads, 1);
    std::vector<way> parts(tool_threads);
    std::vector<std::thread> threads;
    threads.reserve(tool_threads);
    for (way& own : parts)
        threads.emplace_back(
            [&]
            {
                run_callers(own, part);
            });
    for (std::thread& t : threads)
        t.join();
    for (const way& own : parts)
        w.m_times.insert(w.m_times.end(), own.m_times.begin(),
                         own.m_times.end());
    w.m_seconds += parts.front().m_seconds;
}

double quantile(std::vector<double> times, double q)
{
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(
        q * static_cast<double>(times.size() - 1))];
}

double per_second(const way& w)
{
    return static_cast<double>(w.m_times.size()) / w.m_seconds;
}

json to_json(const way& w)
{
    return {{"statements_per_second", per_second(w)},
            {"p50_us", quantile(w.m_times, 0.5)},
            {"p99_us", quantile(w.m_times, 0.99)}};
}

/// Processor time of the daemon's two tasks that a statement passes, seconds.
struct task_usage
{
    double m_front = 0;
    double m_pool = 0;
};

task_usage usage_of(const support::fleet& f)
{
    const pid_t process = f.m_daemons.front().m_process->id();
    return {processor_seconds(process, "front"),
            processor_seconds(process, "pool")};
}

json per_statement(const task_usage& usage, const way& w)
{
    constexpr double us_per_second = 1e6;
    const auto statements = static_cast<double>(w.m_times.size());
    return {{"front_us", us_per_second * usage.m_front / statements},
            {"pool_us", us_per_second * usage.m_pool / statements}};
}

}

json compare_with_direct(const comparison_options& options)
{
    constexpr unsigned spare = 16;
    support::fleet_options o;
    o.m_daemons = 1;
    o.m_endpoints = 1;
    o.m_slots = static_cast<unsigned>(options.m_callers);
    o.m_connections = 2 * static_cast<unsigned>(options.m_callers) + spare;
    o.m_service_us = options.m_service_us;
    o.m_daemon_flags = options.m_daemon_flags;
    const support::fleet f(o);
    const http2_request request = make_proxied_read(f);
    way direct;
    way proxy;
    task_usage usage;
    for (unsigned round = 0; round < options.m_rounds; ++round)
    {
        run_in_threads(direct, options,
                       [&](way& w, const comparison_options& part)
                       {
                           run_direct(w, f, part);
                       });
        const task_usage before = usage_of(f);
        run_in_threads(proxy, options,
                       [&](way& w, const comparison_options& part)
                       {
                           run_proxy(w, f, part, request);
                       });
        const task_usage after = usage_of(f);
        usage.m_front += after.m_front - before.m_front;
        usage.m_pool += after.m_pool - before.m_pool;
    }
    const json direct_json = to_json(direct);
    const json proxy_json = to_json(proxy);
    return {{"callers", options.m_callers},
            {"direct", direct_json},
            {"through_daemon", proxy_json},
            {"processor_per_statement", per_statement(usage, proxy)},
            {"throughput_ratio", per_second(proxy) / per_second(direct)},
            {"median_added_us",
             quantile(proxy.m_times, 0.5) - quantile(direct.m_times, 0.5)}};
}

}
