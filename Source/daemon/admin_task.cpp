#include <daemon/admin_task.hpp>

#include <chrono>
#include <csignal>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <daemon/daemon_chart.hpp>
#include <model/overloaded.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

// For refusals to reach their callers after the drain's limit.
constexpr std::chrono::seconds cut_limit{2};
constexpr std::size_t dumping_tasks = 3;  // front, pool, control
constexpr std::size_t counting_tasks = 3; // front, pool, control
constexpr std::size_t draining_tasks = 3; // front, pool, control

struct evhttp_deleter
{
    void operator()(evhttp* server) const noexcept
    {
        evhttp_free(server);
    }
};

struct open_dump
{
    evhttp_request* m_request = nullptr;
    std::map<std::string, nlohmann::json> m_parts;
};

struct open_scrape
{
    evhttp_request* m_request = nullptr;
    std::size_t m_tasks = 0; ///< That have answered.
    metric_families m_families;
};

struct admin_state
{
    admin_state(const daemon_settings& daemon, mailboxes& boxes);

    const daemon_settings& m_daemon;
    mailboxes& m_boxes;
    daemon_chart m_chart;
    daemon_state m_state;
    loop m_loop;
    std::unique_ptr<evhttp, evhttp_deleter> m_http;
    event_ptr m_terminate;
    event_ptr m_interrupt;
    timer m_grace;
    event_ptr m_hang_up;
    timer m_drain_limit;
    time_point m_standing_until = time_point::min();
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, open_dump> m_dumps;
    std::map<std::uint64_t, open_scrape> m_scrapes;
    std::set<std::string> m_drained;
};

template <class Message>
void tell_all(mailboxes& boxes)
{
    boxes.m_front.post(Message());
    boxes.m_pool.post(Message());
    boxes.m_control.post(Message());
}

std::chrono::microseconds to_microseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d);
}

void act(admin_state& a, daemon_action action)
{
    switch (action)
    {
    case daemon_action::begin_grace:
        log_event(event_id::daemon_draining);
        a.m_boxes.m_pool.post(leave_begun());
        a.m_grace.start_once(to_microseconds(a.m_daemon.m_drain_grace));
        break;
    case daemon_action::begin_drain:
        a.m_drain_limit.start_once(to_microseconds(a.m_daemon.m_drain_limit));
        tell_all<drain_begun>(a.m_boxes);
        break;
    case daemon_action::refuse_remaining:
        log_event(event_id::drain_cut);
        a.m_drain_limit.start_once(cut_limit);
        a.m_boxes.m_pool.post(work_cut());
        a.m_boxes.m_front.post(work_cut());
        break;
    case daemon_action::stop_tasks:
        tell_all<stop_wanted>(a.m_boxes);
        stop(a.m_loop);
        break;
    }
}

void fire(admin_state& a, daemon_event event)
{
    a.m_chart.fire(a.m_state, event,
                   [&a](daemon_action action)
                   {
                       act(a, action);
                   });
    a.m_boxes.m_control.post(life_changed{std::string(to_string(a.m_state))});
}

void on_signal(evutil_socket_t, short, void* user)
{
    fire(*static_cast<admin_state*>(user), daemon_event::drain_requested);
}

void reply(evhttp_request* request, int status, const std::string& body,
           const char* type)
{
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", type);
    evbuffer* out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void on_health(evhttp_request* request, void*)
{
    reply(request, HTTP_OK, "{\"health\":\"ok\"}\n", "application/json");
}

void on_ready(evhttp_request* request, void* user)
{
    const auto& a = *static_cast<admin_state*>(user);
    const bool stands = monotonic_clock::now() <= a.m_standing_until;
    const bool ready = a.m_state == daemon_state::serving && stands;
    const nlohmann::json body{{"state", to_string(a.m_state)},
                              {"standing", stands}};
    reply(request, ready ? HTTP_OK : HTTP_SERVUNAVAIL, body.dump() + "\n",
          "application/json");
}

void on_dump(evhttp_request* request, void* user)
{
    auto& a = *static_cast<admin_state*>(user);
    const std::uint64_t ticket = a.m_next_ticket++;
    a.m_dumps[ticket].m_request = request;
    a.m_boxes.m_front.post(dump_wanted{ticket});
    a.m_boxes.m_pool.post(dump_wanted{ticket});
    a.m_boxes.m_control.post(dump_wanted{ticket});
}

void on_metrics(evhttp_request* request, void* user)
{
    auto& a = *static_cast<admin_state*>(user);
    const std::uint64_t ticket = a.m_next_ticket++;
    a.m_scrapes[ticket].m_request = request;
    a.m_boxes.m_front.post(metrics_wanted{ticket});
    a.m_boxes.m_pool.post(metrics_wanted{ticket});
    a.m_boxes.m_control.post(metrics_wanted{ticket});
}

void take_metrics(admin_state& a, task_metrics& metrics)
{
    const auto found = a.m_scrapes.find(metrics.m_ticket);
    if (found == a.m_scrapes.end())
        return;
    open_scrape& open = found->second;
    std::move(metrics.m_families.begin(), metrics.m_families.end(),
              std::back_inserter(open.m_families));
    if (++open.m_tasks < counting_tasks)
        return;
    reply(open.m_request, HTTP_OK, to_text(open.m_families),
          "text/plain; version=0.0.4");
    a.m_scrapes.erase(found);
}

void on_unknown(evhttp_request* request, void*)
{
    reply(request, HTTP_NOTFOUND, "{\"error\":\"not_found\"}\n",
          "application/json");
}

void take_dump(admin_state& a, const state_dump& dump)
{
    const auto found = a.m_dumps.find(dump.m_ticket);
    if (found == a.m_dumps.end())
        return;
    open_dump& open = found->second;
    open.m_parts[dump.m_task] = nlohmann::json::parse(dump.m_json);
    if (open.m_parts.size() < dumping_tasks)
        return;
    const nlohmann::json body{{"name", a.m_daemon.m_name},
                              {"zone", a.m_daemon.m_zone},
                              {"state", to_string(a.m_state)},
                              {"tasks", open.m_parts}};
    reply(open.m_request, HTTP_OK, body.dump(2) + "\n", "application/json");
    a.m_dumps.erase(found);
}

void on_message(admin_state& a, admin_message& message)
{
    std::visit(
        overloaded{
            [&](state_dump& m)
            {
                take_dump(a, m);
            },
            [&](task_metrics& m)
            {
                take_metrics(a, m);
            },
            [&](settings_changed& m)
            {
                const bool out =
                    m.m_settings->m_zones_out.contains(a.m_daemon.m_zone);
                fire(a, daemon_event::configured);
                fire(a, out ? daemon_event::zone_taken_out
                            : daemon_event::zone_put_back);
            },
            [&](standing_changed& m)
            {
                a.m_standing_until = m.m_until;
            },
            [&](task_drained& m)
            {
                a.m_drained.insert(m.m_task);
                if (a.m_drained.size() == draining_tasks)
                    fire(a, daemon_event::drained);
            },
            [&](drain_begun&)
            {
                fire(a, daemon_event::drain_requested);
            },
            [&](stop_wanted&)
            {
                stop(a.m_loop);
            },
        },
        message);
}

// Certificates that can't be used leave the old ones in force.
void on_hang_up(evutil_socket_t, short, void* user)
{
    auto& a = *static_cast<admin_state*>(user);
    try
    {
        const daemon_tls tls = load_daemon_tls(a.m_daemon);
        a.m_boxes.m_front.post(tls_changed{tls});
        a.m_boxes.m_control.post(tls_changed{tls});
        log_event(event_id::certificates_reloaded);
    }
    catch (const tls_error& e)
    {
        log_event(event_id::certificates_refused, {{"fault", e.what()}});
    }
}

event_ptr watch_signal(admin_state& a, int number,
                       event_callback_fn on_signalled)
{
    event_ptr watch(
        evsignal_new(a.m_loop.m_base.get(), number, on_signalled, &a));
    if (!watch)
        throw loop_error();
    event_add(watch.get(), nullptr);
    return watch;
}

void open_http(admin_state& a)
{
    a.m_http.reset(evhttp_new(a.m_loop.m_base.get()));
    const address& listen = a.m_daemon.m_admin_listen;
    if (!a.m_http || evhttp_bind_socket(a.m_http.get(), listen.m_host.c_str(),
                                        listen.m_port) != 0)
        throw loop_error();
    evhttp_set_cb(a.m_http.get(), "/health", on_health, &a);
    evhttp_set_cb(a.m_http.get(), "/ready", on_ready, &a);
    evhttp_set_cb(a.m_http.get(), "/dump", on_dump, &a);
    evhttp_set_cb(a.m_http.get(), "/metrics", on_metrics, &a);
    evhttp_set_gencb(a.m_http.get(), on_unknown, &a);
}

admin_state::admin_state(const daemon_settings& daemon, mailboxes& boxes)
    : m_daemon(daemon), m_boxes(boxes),
      m_chart(load_daemon_chart(daemon.m_charts)), m_state(m_chart.initial()),
      m_loop(make_loop()), m_grace(m_loop,
                                   [this]
                                   {
                                       fire(*this, daemon_event::grace_expired);
                                   }),
      m_drain_limit(m_loop,
                    [this]
                    {
                        fire(*this, daemon_event::drain_expired);
                    })
{
    m_terminate = watch_signal(*this, SIGTERM, on_signal);
    m_interrupt = watch_signal(*this, SIGINT, on_signal);
    m_hang_up = watch_signal(*this, SIGHUP, on_hang_up);
    open_http(*this);
}

}

void run_admin_task(const daemon_settings& settings, mailboxes& boxes)
{
    admin_state a(settings, boxes);
    boxes.m_admin.attach(a.m_loop,
                         [&a](admin_message& message)
                         {
                             on_message(a, message);
                         });
    log_event(event_id::daemon_started, {{"zone", settings.m_zone}});
    run(a.m_loop);
}

}
