#include <session/life_task.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <memory>
#include <set>

#include <event2/buffer.h>
#include <event2/http.h>

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

    const site_settings& m_settings;
    const life_surroundings& m_around;
    site_mailboxes& m_boxes;
    loop m_loop;
    timer m_tick;
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

void reload(life_state& s)
{
    try
    {
        const site_settings read = s.m_around.m_reload();
        log_event(event_id::settings_file_read,
                  {{"zones", std::to_string(read.m_region_of_zone.size())}});
    }
    catch (const std::exception& e)
    {
        log_event(event_id::settings_file_refused, {{"failure", e.what()}});
    }
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
    reload(*static_cast<life_state*>(of));
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
    run(s.m_loop);
}

}
