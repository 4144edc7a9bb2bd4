#include "scripted_endpoint.hpp"

#include <algorithm>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>

#include <event2/listener.h>

#include <session/line_stream.hpp>
#include <support/loopback.hpp>
#include <task/boot_clock.hpp>
#include <task/loop.hpp>
#include <task/mailbox.hpp>
#include <task/task_thread.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke::support
{

namespace
{

struct listener_deleter
{
    void operator()(evconnlistener* l) const noexcept
    {
        evconnlistener_free(l);
    }
};

struct endpoint_stop
{
};

struct order_session
{
    explicit order_session(loop& l, sigc::slot<void()> due)
        : m_delay(l, std::move(due))
    {
    }

    std::unique_ptr<line_stream> m_stream;
    timer m_delay;
    std::string m_answer; ///< Sent when m_delay elapses.
};

}

struct scripted_endpoint::state
{
    explicit state(endpoint_script script)
        : m_script(std::move(script)), m_address(free_address())
    {
        constexpr int backlog = 16;
        const socket_address at = to_socket_address(m_address);
        m_listener.reset(evconnlistener_new_bind(
            m_loop.m_base.get(), &on_accept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
            reinterpret_cast<const sockaddr*>(&at.m_storage),
            static_cast<int>(at.m_length)));
        if (!m_listener)
            throw loop_error();
        m_box.attach(m_loop,
                     [this](endpoint_stop&)
                     {
                         stop(m_loop);
                     });
        m_task = std::make_unique<task_thread>("endpoint",
                                               [this]
                                               {
                                                   run(m_loop);
                                               });
    }
    ~state()
    {
        m_box.post(endpoint_stop());
        m_task.reset();
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                          int, void* self)
    {
        static_cast<state*>(self)->accept(socket);
    }

    void accept(evutil_socket_t socket)
    {
        auto made = std::make_unique<std::unique_ptr<order_session>>();
        auto& s = *made;
        s = std::make_unique<order_session>(
            m_loop,
            [&s]
            {
                s->m_stream->write(std::exchange(s->m_answer, {}));
            });
        s->m_stream = std::make_unique<line_stream>(
            m_loop, socket,
            line_stream_handlers{[this, &s]
                                 {
                                     read(s);
                                 },
                                 [&s](stream_end_reason)
                                 {
                                     s.reset();
                                 }});
        m_sessions.push_back(std::move(made));
    }

    void read(std::unique_ptr<order_session>& s)
    {
        while (s)
        {
            const auto line = s->m_stream->next_line();
            if (!line)
                return;
            handle(s, *line);
        }
    }

    void handle(std::unique_ptr<order_session>& s, std::string_view line)
    {
        constexpr std::string_view order_start = "QUERY - ";
        const std::lock_guard lock(m_mutex);
        if (!line.starts_with(order_start))
        {
            if (m_script.m_answers)
                s->m_stream->write("READY I\r\n");
            return;
        }
        const std::string order(line.substr(order_start.size()));
        m_orders.push_back({order, boot_now()});
        if (m_script.m_closes_on_status && order == "STATUS")
            return s.reset();
        if (!m_script.m_answers)
            return;
        s->m_answer =
            "ROW " + m_script.m_status + "\r\nCOMPLETE -\r\nREADY I\r\n";
        s->m_delay.start_once(m_script.m_delay);
    }

    mutable std::mutex m_mutex;
    endpoint_script m_script;
    std::vector<received_order> m_orders;
    address m_address;
    loop m_loop = make_loop();
    mailbox<endpoint_stop> m_box{1};
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    /// Null after the other side has closed.
    std::vector<std::unique_ptr<std::unique_ptr<order_session>>> m_sessions;
    std::unique_ptr<task_thread> m_task;
};

scripted_endpoint::scripted_endpoint(const endpoint_script& script)
    : m_state(std::make_unique<state>(script))
{
}

scripted_endpoint::~scripted_endpoint() = default;

const address& scripted_endpoint::local() const
{
    return m_state->m_address;
}

void scripted_endpoint::follow(const endpoint_script& script)
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_script = script;
}

std::vector<received_order> scripted_endpoint::orders() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_orders;
}

bool scripted_endpoint::has_received(const std::string& order) const
{
    return std::ranges::any_of(orders(),
                               [&](const received_order& o)
                               {
                                   return o.m_order == order;
                               });
}

}
