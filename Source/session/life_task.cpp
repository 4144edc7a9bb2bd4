#include <session/life_task.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <exception>
#include <filesystem>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include <decide/load/client_budget.hpp>
#include <decide/settings_reload.hpp>
#include <model/overloaded.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>
#include <wire/http1_server.hpp>

namespace bluebellspoke
{

namespace
{

// Part of the stop grace that is reserved for sending the last bytes.
constexpr std::chrono::milliseconds final_flush_time{400};
// Time for the shutdown notice to reach all peers: the one-way latency between
// regions plus a margin.
constexpr std::chrono::milliseconds shutdown_notice_time{100};
// Interval of the checks whether the tasks have stopped. Releasing a duty takes
// a single call to the store.
constexpr std::chrono::milliseconds stop_check_interval{50};
// The settings file may change without a SIGHUP. Checking it once per second
// is well within the 4 s in which a configuration has to be in force.
constexpr std::chrono::seconds settings_check_interval{1};

struct life_state
{
    life_state(const site_settings& settings,
               const life_dependencies& dependencies, site_mailboxes& boxes);

    site_settings m_settings;
    const life_dependencies& m_dependencies;
    site_mailboxes& m_boxes;
    loop m_loop;
    timer m_stop_timer;
    timer m_settings_timer;
    std::filesystem::file_time_type m_settings_write_time{};
    std::unique_ptr<http1_server> m_ready_http;
    std::unique_ptr<http1_server> m_metrics_http;
    event_ptr m_sigterm_event;
    event_ptr m_sighup_event;
    bool m_configured = false;
    bool m_accepts_callers = false;
    time_point m_stopping_since{};
    time_point m_ending_since{};
    std::set<std::string> m_stopped_tasks;
    /// The request that waits for the metrics of the tasks; 0: none.
    std::uint64_t m_metrics_exchange = 0;
    metric_families m_families;
    std::size_t m_reported_tasks = 0;
};

bool runs_usage_task(const life_state& s)
{
    return s.m_settings.m_report_window != duration{};
}

// Each task reports its own metrics, except this one.
std::size_t metrics_task_count(const life_state& s)
{
    constexpr std::size_t tasks_of_every_process = 3;
    return tasks_of_every_process + (runs_usage_task(s) ? 1 : 0);
}

void begin_stop(life_state& s)
{
    if (s.m_stopping_since != time_point{})
        return;
    s.m_stopping_since = boot_now();
    log_event(event_id::daemon_draining);
    s.m_boxes.m_session.post(stop_begun());
    s.m_boxes.m_site.post(stop_begun());
    s.m_boxes.m_failover.post(stop_begun());
    if (runs_usage_task(s))
        s.m_boxes.m_usage.post(stop_begun());
    s.m_stop_timer.start_periodic(stop_check_interval);
}

std::string join_names(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

void reload_settings(life_state& s)
{
    try
    {
        const settings_reload f = merge_reloaded_settings(
            s.m_settings, s.m_dependencies.m_read_settings());
        log_event(event_id::settings_file_read,
                  {{"followed", join_names(f.m_followed)},
                   {"kept_until_restart", join_names(f.m_kept_until_restart)}});
        if (f.m_followed.empty())
            return;
        s.m_settings = f.m_settings;
        s.m_boxes.m_session.post(settings_changed{f.m_settings});
        s.m_boxes.m_site.post(settings_changed{f.m_settings});
    }
    catch (const std::exception& e)
    {
        log_event(event_id::settings_file_refused, {{"failure", e.what()}});
        // The file may have been read during a write: the next check reads
        // it again.
        s.m_settings_write_time = {};
    }
}

// Modification time of the settings file, or zero if it does not exist.
std::filesystem::file_time_type settings_write_time(const life_state& s)
{
    std::error_code failure;
    const auto time = std::filesystem::last_write_time(
        s.m_dependencies.m_settings_file, failure);
    return failure ? std::filesystem::file_time_type() : time;
}

// Reloads the settings when the file has changed. A missing file is ignored,
// since it is absent for a moment while it is replaced.
void check_settings_file(life_state& s)
{
    const auto time = settings_write_time(s);
    if (time == s.m_settings_write_time ||
        time == std::filesystem::file_time_type())
        return;
    s.m_settings_write_time = time;
    reload_settings(s);
}

void check_stop_progress(life_state& s)
{
    const duration elapsed = boot_now() - s.m_stopping_since;
    const bool all_done =
        s.m_stopped_tasks.contains("session") &&
        s.m_stopped_tasks.contains("failover") &&
        (!runs_usage_task(s) || s.m_stopped_tasks.contains("usage"));
    const bool grace_over =
        elapsed >= s.m_settings.m_stop_grace - final_flush_time;
    if (s.m_ending_since == time_point{} && (all_done || grace_over))
    {
        s.m_ending_since = boot_now();
        s.m_boxes.m_site.post(process_ending());
    }
    // The shutdown notice needs time to be sent before the loop stops.
    if (s.m_ending_since != time_point{} &&
        boot_now() - s.m_ending_since >= shutdown_notice_time)
        stop(s.m_loop);
}

constexpr http1_answer not_found{404, "Not Found", {}};
constexpr std::string_view explain_path = "/explain?";

void answer_ready_probe(life_state& s, const arrived_http1_request& request)
{
    const bool ready = s.m_configured && s.m_accepts_callers &&
                       s.m_stopping_since == time_point{};
    if (request.m_path != s.m_dependencies.m_ready_path)
        s.m_ready_http->respond(request.m_exchange, not_found);
    else if (ready)
        s.m_ready_http->respond(request.m_exchange, {200, "OK", {}});
    else
        s.m_ready_http->respond(request.m_exchange, {503, "Not Ready", {}});
}

http1_answer response_to(explain_fault fault, std::string_view body)
{
    switch (fault)
    {
    case explain_fault::malformed:
        return {400, "Bad Request", body};
    case explain_fault::unknown_database:
    case explain_fault::unknown_workspace:
        return {404, "Not Found", body};
    case explain_fault::unauthorized:
        return {403, "Forbidden", body};
    case explain_fault::no_configuration:
    case explain_fault::overloaded:
        break;
    }
    return {503, "Service Unavailable", body};
}

void answer_explain_fault(life_state& s, std::uint64_t exchange,
                          explain_fault fault)
{
    const std::string body =
        s.m_dependencies.m_explain_codec.m_write_fault(fault);
    s.m_metrics_http->respond(exchange, response_to(fault, body));
}

// The connections of the metrics port limit how many requests wait: each has
// one, and its age ends it.
void request_explanation(life_state& s, const arrived_http1_request& request)
{
    const auto query = s.m_dependencies.m_explain_codec.m_read(
        std::string_view(request.m_path).substr(explain_path.size()));
    if (!query)
        return answer_explain_fault(s, request.m_exchange,
                                    explain_fault::malformed);
    if (!s.m_boxes.m_session.try_post(
            explain_request{request.m_exchange, *query}))
        answer_explain_fault(s, request.m_exchange, explain_fault::overloaded);
}

void answer_explanation(life_state& s, const explain_response& m)
{
    if (const auto* fault = std::get_if<explain_fault>(&m.m_result))
        return answer_explain_fault(s, m.m_exchange, *fault);
    const std::string body = s.m_dependencies.m_explain_codec.m_write(
        std::get<explanation>(m.m_result));
    s.m_metrics_http->respond(m.m_exchange, {200, "OK", body});
}

void answer_metrics_port(life_state& s, const arrived_http1_request& request)
{
    if (request.m_path.starts_with(explain_path))
        return request_explanation(s, request);
    if (request.m_path != "/metrics")
    {
        s.m_metrics_http->respond(request.m_exchange, not_found);
        return;
    }
    if (s.m_metrics_exchange != 0)
    {
        s.m_metrics_http->respond(request.m_exchange, {503, "Busy", {}});
        return;
    }
    s.m_metrics_exchange = request.m_exchange;
    s.m_families.clear();
    s.m_reported_tasks = 0;
    s.m_boxes.m_session.post(metrics_request());
    s.m_boxes.m_site.post(metrics_request());
    s.m_boxes.m_failover.post(metrics_request());
    if (runs_usage_task(s))
        s.m_boxes.m_usage.post(metrics_request());
}

void collect_metrics(life_state& s, metrics_response& response)
{
    if (s.m_metrics_exchange == 0)
        return;
    for (auto& family : response.m_families)
        s.m_families.push_back(std::move(family));
    if (++s.m_reported_tasks < metrics_task_count(s))
        return;
    add_value(s.m_families, metric_id::log_lines_dropped, {},
              static_cast<double>(dropped_log_lines()));
    add_value(s.m_families, metric_id::port_connections_closed,
              std::array{std::string_view("ready")},
              static_cast<double>(s.m_ready_http->closed()));
    add_value(s.m_families, metric_id::port_connections_closed,
              std::array{std::string_view("metrics")},
              static_cast<double>(s.m_metrics_http->closed()));
    s.m_metrics_http->respond(std::exchange(s.m_metrics_exchange, 0),
                              {200, "OK", to_text(s.m_families)});
}

void on_sigterm(evutil_socket_t, short, void* context)
{
    begin_stop(*static_cast<life_state*>(context));
}

void on_sighup(evutil_socket_t, short, void* context)
{
    life_state& s = *static_cast<life_state*>(context);
    s.m_settings_write_time = settings_write_time(s);
    reload_settings(s);
}

event_ptr make_signal_event(loop& l, int signal, event_callback_fn callback,
                            life_state& s)
{
    event_ptr e(evsignal_new(l.m_base.get(), signal, callback, &s));
    if (!e || event_add(e.get(), nullptr) != 0)
        throw loop_error();
    return e;
}

void set_life_signals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

life_state::life_state(const site_settings& settings,
                       const life_dependencies& dependencies,
                       site_mailboxes& boxes)
    : m_settings(settings), m_dependencies(dependencies), m_boxes(boxes),
      m_loop(make_loop()), m_stop_timer(m_loop,
                                        [this]
                                        {
                                            check_stop_progress(*this);
                                        }),
      m_settings_timer(m_loop,
                       [this]
                       {
                           check_settings_file(*this);
                       })
{
}

void handle_message(life_state& s, life_message& message)
{
    std::visit(
        overloaded{
            [&](const config_changed&)
            {
                s.m_configured = true;
            },
            [&](const accepting_callers&)
            {
                s.m_accepts_callers = true;
            },
            [&](const stop_done& m)
            {
                s.m_stopped_tasks.insert(m.m_task);
            },
            [&](metrics_response& m)
            {
                collect_metrics(s, m);
            },
            [&](const explain_response& m)
            {
                answer_explanation(s, m);
            },
            [&](const task_stop&)
            {
                stop(s.m_loop);
            },
        },
        message);
}

}

void block_life_signals()
{
    set_life_signals(SIG_BLOCK);
}

void run_life_task(const site_settings& settings,
                   const life_dependencies& dependencies, site_mailboxes& boxes)
{
    life_state s(settings, dependencies, boxes);
    boxes.m_life.attach(s.m_loop,
                        [&](life_message& m)
                        {
                            handle_message(s, m);
                        });
    http1_server_limits limits;
    limits.m_connections =
        make_client_limits(settings.m_memory_bytes, settings.m_descriptors)
            .m_port_connections;
    s.m_ready_http = std::make_unique<http1_server>(
        s.m_loop, settings.m_ready_listen, limits,
        [&s](const arrived_http1_request& request)
        {
            answer_ready_probe(s, request);
        });
    s.m_metrics_http = std::make_unique<http1_server>(
        s.m_loop, settings.m_metrics_listen, limits,
        [&s](const arrived_http1_request& request)
        {
            answer_metrics_port(s, request);
        });
    s.m_sigterm_event = make_signal_event(s.m_loop, SIGTERM, &on_sigterm, s);
    s.m_sighup_event = make_signal_event(s.m_loop, SIGHUP, &on_sighup, s);
    set_life_signals(SIG_UNBLOCK);
    s.m_settings_write_time = settings_write_time(s);
    s.m_settings_timer.start_periodic(settings_check_interval);
    run(s.m_loop);
    // The handlers go with this task, and the default action would end the
    // process before the other tasks have.
    block_life_signals();
}

}
