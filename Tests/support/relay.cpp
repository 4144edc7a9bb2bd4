#include <support/relay.hpp>

#include <csignal>
#include <deque>
#include <future>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <model/clock.hpp>
#include <task/loop.hpp>
#include <task/mailbox.hpp>
#include <wire/http2_transport.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke::support
{

namespace
{

struct cut_wanted
{
    bool m_to_target;
    bool m_from_target;
};
struct drop_wanted
{
};
struct silence_wanted
{
    std::promise<void>* m_done;
};
struct relay_stop
{
};
using relay_message =
    std::variant<cut_wanted, drop_wanted, silence_wanted, relay_stop>;

struct relayed;

/// One direction of one connection: bytes wait until they are due.
struct way
{
    bool m_to_target = false;
    bufferevent* m_out = nullptr;
    std::deque<std::pair<time_point, std::string>> m_waiting;
    std::unique_ptr<timer> m_due;
};

struct relayed
{
    relay::state* m_relay = nullptr;
    bufferevent_ptr m_caller;
    bufferevent_ptr m_target;
    way m_forth;
    way m_back;
    bool m_silent = false; ///< Carries nothing any more.
};

constexpr std::size_t mailbox_size = 64;
constexpr std::size_t record_bytes = std::size_t{32} << 20U;

}

struct relay::state
{
    state(const address& target, std::chrono::microseconds latency)
        : m_target(target), m_latency(latency), m_loop(make_loop()),
          m_box(mailbox_size), m_listener(nullptr, evconnlistener_free)
    {
    }

    address m_target;
    std::chrono::microseconds m_latency;
    loop m_loop;
    mailbox<relay_message> m_box;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
    address m_local;
    std::list<std::unique_ptr<relayed>> m_connections;
    bool m_cut_forth = false;
    bool m_cut_back = false;
    std::mutex m_record_guard;
    std::string m_record; ///< What went to the target.
    std::thread m_thread;
};

namespace
{

bool is_cut(const relay::state& s, const way& w)
{
    return w.m_to_target ? s.m_cut_forth : s.m_cut_back;
}

void record(relay::state& s, std::string_view bytes)
{
    const std::lock_guard lock(s.m_record_guard);
    s.m_record.append(bytes);
    if (s.m_record.size() > record_bytes)
        s.m_record.erase(0, s.m_record.size() - record_bytes / 2);
}

void pass_due(relay::state& s, way& w)
{
    const time_point now = monotonic_clock::now();
    while (!is_cut(s, w) && !w.m_waiting.empty() &&
           w.m_waiting.front().first <= now)
    {
        const std::string& bytes = w.m_waiting.front().second;
        if (w.m_to_target)
            record(s, bytes);
        bufferevent_write(w.m_out, bytes.data(), bytes.size());
        w.m_waiting.pop_front();
    }
    if (!is_cut(s, w) && !w.m_waiting.empty())
        w.m_due->start_once(
            std::chrono::duration_cast<std::chrono::microseconds>(
                w.m_waiting.front().first - now));
}

void take_bytes(bufferevent* from, way& w, relay::state& s)
{
    evbuffer* in = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, bytes.data(), bytes.size());
    w.m_waiting.emplace_back(monotonic_clock::now() + s.m_latency,
                             std::move(bytes));
    pass_due(s, w);
}

void on_caller_bytes(bufferevent* from, void* user)
{
    auto& c = *static_cast<relayed*>(user);
    if (!c.m_silent)
        take_bytes(from, c.m_forth, *c.m_relay);
}

void on_target_bytes(bufferevent* from, void* user)
{
    auto& c = *static_cast<relayed*>(user);
    if (!c.m_silent)
        take_bytes(from, c.m_back, *c.m_relay);
}

void drop(relayed& c)
{
    c.m_relay->m_connections.remove_if(
        [&c](const auto& candidate)
        {
            return candidate.get() == &c;
        });
}

// An end crosses a cut as little as bytes do: the other side must not learn
// of it.
void on_end(bufferevent*, short what, void* user)
{
    auto& c = *static_cast<relayed*>(user);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        return;
    if (!c.m_relay->m_cut_forth && !c.m_relay->m_cut_back && !c.m_silent)
        drop(c);
}

void prepare(relayed& c, way& w, bufferevent* out, bool to_target)
{
    w.m_to_target = to_target;
    w.m_out = out;
    w.m_due = std::make_unique<timer>(c.m_relay->m_loop,
                                      [&c, &w]
                                      {
                                          pass_due(*c.m_relay, w);
                                      });
}

void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
               void* user)
{
    auto& s = *static_cast<relay::state*>(user);
    set_no_delay(descriptor);
    auto made = std::make_unique<relayed>();
    relayed& c = *made;
    c.m_relay = &s;
    event_base* base = s.m_loop.m_base.get();
    c.m_caller.reset(
        bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE));
    c.m_target.reset(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
    prepare(c, c.m_forth, c.m_target.get(), true);
    prepare(c, c.m_back, c.m_caller.get(), false);
    s.m_connections.push_back(std::move(made));
    bufferevent_setcb(c.m_caller.get(), on_caller_bytes, nullptr, on_end, &c);
    bufferevent_setcb(c.m_target.get(), on_target_bytes, nullptr, on_end, &c);
    const socket_address to = to_socket_address(s.m_target);
    bufferevent* target = c.m_target.get();
    bufferevent_enable(c.m_caller.get(), EV_READ | EV_WRITE);
    bufferevent_enable(target, EV_READ | EV_WRITE);
    bufferevent_socket_connect(target,
                               reinterpret_cast<const sockaddr*>(&to.m_storage),
                               static_cast<int>(to.m_length));
}

void on_message(relay::state& s, relay_message& message)
{
    if (std::holds_alternative<relay_stop>(message))
    {
        stop(s.m_loop);
        return;
    }
    if (std::holds_alternative<drop_wanted>(message))
    {
        s.m_connections.clear();
        return;
    }
    if (const auto* silence = std::get_if<silence_wanted>(&message))
    {
        for (const auto& c : s.m_connections)
            c->m_silent = true;
        silence->m_done->set_value();
        return;
    }
    const auto& wanted = std::get<cut_wanted>(message);
    s.m_cut_forth = wanted.m_to_target;
    s.m_cut_back = wanted.m_from_target;
    for (const auto& c : s.m_connections)
    {
        pass_due(s, c->m_forth);
        pass_due(s, c->m_back);
    }
}

}

relay::relay(const address& target, std::chrono::microseconds latency)
    : m_state(std::make_unique<state>(target, latency))
{
    // A peer that is killed ends its connections, not the test.
    std::signal(SIGPIPE, SIG_IGN);
    state& s = *m_state;
    const socket_address bound = to_socket_address({"127.0.0.1", 0});
    s.m_listener.reset(evconnlistener_new_bind(
        s.m_loop.m_base.get(), on_accept, &s,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&bound.m_storage),
        static_cast<int>(bound.m_length)));
    if (!s.m_listener)
        throw loop_error();
    s.m_local = local_address(evconnlistener_get_fd(s.m_listener.get()));
    s.m_box.attach(s.m_loop,
                   [&s](relay_message& message)
                   {
                       on_message(s, message);
                   });
    s.m_thread = std::thread(
        [&s]
        {
            run(s.m_loop);
        });
}

relay::~relay()
{
    m_state->m_box.post(relay_stop());
    m_state->m_thread.join();
    m_state->m_connections.clear();
}

address relay::local() const
{
    return m_state->m_local;
}

void relay::cut(bool to_target, bool from_target)
{
    m_state->m_box.post(cut_wanted{to_target, from_target});
}

void relay::heal()
{
    cut(false, false);
}

bool relay::passed(std::string_view bytes) const
{
    const std::lock_guard lock(m_state->m_record_guard);
    return m_state->m_record.find(bytes) != std::string::npos;
}

void relay::drop_connections()
{
    m_state->m_box.post(drop_wanted());
}

void relay::silence_connections()
{
    std::promise<void> done;
    m_state->m_box.post(silence_wanted{&done});
    done.get_future().wait();
}

}
