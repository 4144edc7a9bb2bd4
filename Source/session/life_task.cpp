#include <session/life_task.hpp>

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

#include <event2/buffer.h>
#include <event2/http.h>

#include <decide/followed_settings.hpp>
#include <model/overloaded.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// What is left of the grace for the last bytes to leave.
constexpr std::chrono::milliseconds last_words{400};
// Time for a message to all peers, one way between regions and some.
constexpr std::chrono::milliseconds goodbye_time{100};
// The duty's release is one call to the store.
constexpr std::chrono::milliseconds life_tick{50};
// The settings file may change without a signal. A look each second is well
// within the 4 s in which a configuration has to be in force.
constexpr std::chrono::seconds settings_look{1};
// Tasks that have counts to give.
constexpr std::size_t counting_tasks = 3;

struct http_deleter
{
    void operator()(evhttp* h) const noexcept
    {
        evhttp_free(h);
    }
};

struct life_state
{
    life_state(const site_settings& settings, const life_surroundings& around,
               site_mailboxes& boxes);

    site_settings m_settings;
    const life_surroundings& m_around;
    site_mailboxes& m_boxes;
    loop m_loop;
    timer m_tick;
    timer m_look;
    std::filesystem::file_time_type m_settings_time{};
    std::unique_ptr<evhttp, http_deleter> m_http;
    std::unique_ptr<evhttp, http_deleter> m_metrics_http;
    event_ptr m_terminate;
    event_ptr m_reload;
    bool m_configured = false;
    time_point m_stopping_since{};
    time_point m_ending_since{};
    std::set<std::string> m_done;
    evhttp_request* m_metrics_request = nullptr; ///< Waits for counts.
    metric_families m_families;
    std::size_t m_counted = 0;
};

void begin_stop(life_state& s)
{
    if (s.m_stopping_since != time_point{})
        return;
    s.m_stopping_since = boot_now();
    log_event(event_id::daemon_draining);
    s.m_boxes.m_session.post(stop_begun());
    s.m_boxes.m_site.post(stop_begun());
    s.m_boxes.m_failover.post(stop_begun());
    s.m_tick.start_periodic(life_tick);
}

std::string joined(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

void reload(life_state& s)
{
    try
    {
        const followed_settings f =
            follow_settings(s.m_settings, s.m_around.m_reload());
        log_event(event_id::settings_file_read,
                  {{"followed", joined(f.m_followed)},
                   {"kept_until_restart", joined(f.m_kept)}});
        if (f.m_followed.empty())
            return;
        s.m_settings = f.m_settings;
        s.m_boxes.m_session.post(settings_changed{f.m_settings});
        s.m_boxes.m_site.post(settings_changed{f.m_settings});
    }
    catch (const std::exception& e)
    {
        log_event(event_id::settings_file_refused, {{"failure", e.what()}});
        // It may have been read while it was written: the next look tries
        // again.
        s.m_settings_time = {};
    }
}

// Zero while there is no file.
std::filesystem::file_time_type settings_time(const life_state& s)
{
    std::error_code failure;
    const auto time =
        std::filesystem::last_write_time(s.m_around.m_settings_file, failure);
    return failure ? std::filesystem::file_time_type() : time;
}

// A file that is gone for a moment is being replaced.
void look_at_settings(life_state& s)
{
    const auto time = settings_time(s);
    if (time == s.m_settings_time || time == std::filesystem::file_time_type())
        return;
    s.m_settings_time = time;
    reload(s);
}

void tick(life_state& s)
{
    const duration passed = boot_now() - s.m_stopping_since;
    const bool all_done =
        s.m_done.contains("session") && s.m_done.contains("failover");
    const bool over = passed >= s.m_settings.m_stop_grace - last_words;
    if (s.m_ending_since == time_point{} && (all_done || over))
    {
        s.m_ending_since = boot_now();
        s.m_boxes.m_site.post(process_ending());
    }
    // The goodbye needs a moment to leave.
    if (s.m_ending_since != time_point{} &&
        boot_now() - s.m_ending_since >= goodbye_time)
        stop(s.m_loop);
}

void answer_ready_probe(evhttp_request* request, void* of)
{
    const life_state& s = *static_cast<life_state*>(of);
    const bool ready = s.m_configured && s.m_stopping_since == time_point{};
    if (ready)
        evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
    else
        evhttp_send_reply(request, HTTP_SERVUNAVAIL, "Not Ready", nullptr);
}

void ask_counts(evhttp_request* request, void* of)
{
    life_state& s = *static_cast<life_state*>(of);
    if (s.m_metrics_request != nullptr)
    {
        evhttp_send_reply(request, HTTP_SERVUNAVAIL, "Busy", nullptr);
        return;
    }
    s.m_metrics_request = request;
    s.m_families.clear();
    s.m_counted = 0;
    s.m_boxes.m_session.post(counts_wanted());
    s.m_boxes.m_site.post(counts_wanted());
    s.m_boxes.m_failover.post(counts_wanted());
}

void take_counts(life_state& s, counts_given& given)
{
    if (s.m_metrics_request == nullptr)
        return;
    for (auto& family : given.m_families)
        s.m_families.push_back(std::move(family));
    if (++s.m_counted < counting_tasks)
        return;
    evhttp_request* const request = std::exchange(s.m_metrics_request, nullptr);
    add_value(s.m_families, metric_id::log_lines_dropped, {},
              static_cast<double>(dropped_log_lines()));
    const std::string text = to_text(s.m_families);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/plain; version=0.0.4");
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(),
                 text.size());
    evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
}

void on_terminate(evutil_socket_t, short, void* of)
{
    begin_stop(*static_cast<life_state*>(of));
}

void on_reload(evutil_socket_t, short, void* of)
{
    life_state& s = *static_cast<life_state*>(of);
    s.m_settings_time = settings_time(s);
    reload(s);
}

std::unique_ptr<evhttp, http_deleter> serve(loop& l, const address& at)
{
    std::unique_ptr<evhttp, http_deleter> http(evhttp_new(l.m_base.get()));
    if (!http ||
        evhttp_bind_socket(http.get(), at.m_host.c_str(), at.m_port) != 0)
        throw loop_error();
    return http;
}

event_ptr take_signal(loop& l, int signal, event_callback_fn callback,
                      life_state& s)
{
    event_ptr e(evsignal_new(l.m_base.get(), signal, callback, &s));
    if (!e || event_add(e.get(), nullptr) != 0)
        throw loop_error();
    return e;
}

life_state::life_state(const site_settings& settings,
                       const life_surroundings& around, site_mailboxes& boxes)
    : m_settings(settings), m_around(around), m_boxes(boxes),
      m_loop(make_loop()), m_tick(m_loop,
                                  [this]
                                  {
                                      tick(*this);
                                  }),
      m_look(m_loop,
             [this]
             {
                 look_at_settings(*this);
             })
{
}

void take_message(life_state& s, life_message& message)
{
    std::visit(
        overloaded{
            [&](const config_changed&)
            {
                s.m_configured = true;
            },
            [&](const stop_done& m)
            {
                s.m_done.insert(m.m_task);
            },
            [&](counts_given& m)
            {
                take_counts(s, m);
            },
            [&](const task_stop&)
            {
                stop(s.m_loop);
            },
        },
        message);
}

}

void run_life_task(const site_settings& settings,
                   const life_surroundings& around, site_mailboxes& boxes)
{
    life_state s(settings, around, boxes);
    boxes.m_life.attach(s.m_loop,
                        [&](life_message& m)
                        {
                            take_message(s, m);
                        });
    s.m_http = serve(s.m_loop, settings.m_ready_listen);
    evhttp_set_cb(s.m_http.get(), around.m_ready_path.c_str(),
                  &answer_ready_probe, &s);
    s.m_metrics_http = serve(s.m_loop, settings.m_metrics_listen);
    evhttp_set_cb(s.m_metrics_http.get(), "/metrics", &ask_counts, &s);
    s.m_terminate = take_signal(s.m_loop, SIGTERM, &on_terminate, s);
    s.m_reload = take_signal(s.m_loop, SIGHUP, &on_reload, s);
    s.m_settings_time = settings_time(s);
    s.m_look.start_periodic(settings_look);
    run(s.m_loop);
}

}
