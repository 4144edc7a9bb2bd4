#include <support/scripted_member.hpp>

#include <future>
#include <limits>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include <peer/peer_call.hpp>
#include <task/loop.hpp>
#include <task/mailbox.hpp>

namespace bluebellspoke::support
{

namespace
{

struct counts_change
{
    usage_windows m_windows;
};
struct repetition
{
    std::promise<void>* m_done;
};
struct member_stop
{
};
using member_message = std::variant<counts_change, repetition, member_stop>;

constexpr std::size_t mailbox_size = 16;
constexpr std::chrono::milliseconds digest_pause{300};

}

struct scripted_member::state
{
    state(std::string name, const address& daemon,
          std::chrono::milliseconds skew)
        : m_name(std::move(name)), m_skew(skew), m_loop(make_loop()),
          m_box(mailbox_size), m_daemon(m_loop, daemon),
          m_digests(m_loop,
                    [this]
                    {
                        call_peer(m_daemon, digest(),
                                  [](std::optional<peer_message>&) {});
                    })
    {
        http2_server_handlers handlers;
        handlers.m_on_request = [this](arrived_request& request)
        {
            answer(request);
        };
        handlers.m_on_abandoned = [](exchange_id) {};
        handlers.m_on_disconnect = [](connection_id) {};
        m_server = std::make_unique<http2_server>(
            m_loop, address{"127.0.0.1", 0}, http2_server_limits(),
            std::move(handlers));
        m_box.attach(m_loop,
                     [this](member_message& message)
                     {
                         take(message);
                     });
        m_digests.start_periodic(digest_pause);
    }

    void take(member_message& message)
    {
        if (auto* change = std::get_if<counts_change>(&message))
            m_windows = std::move(change->m_windows);
        else if (auto* again = std::get_if<repetition>(&message))
            call_peer(m_daemon, summary(),
                      [done = again->m_done](std::optional<peer_message>&)
                      {
                          done->set_value();
                      });
        else
            stop(m_loop);
    }

    peer_site_digest digest() const
    {
        peer_site_digest d;
        d.m_name = m_name;
        d.m_address = to_string(m_server->local());
        d.m_zone = "zone-1";
        d.m_incarnation = 1;
        d.m_wall_ms = static_cast<std::uint64_t>(
            (std::chrono::floor<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch()) +
             m_skew)
                .count());
        return d;
    }

    peer_usage summary() const
    {
        return {
            {m_name, 1, 1, std::numeric_limits<window_id>::max(), *m_windows}};
    }

    void answer(const arrived_request& request)
    {
        const auto message = decode_peer_request(*m_server, request);
        if (!message)
            return;
        if (std::holds_alternative<peer_site_digest>(*message))
            answer_peer(*m_server, request.m_exchange, digest());
        else if (m_windows &&
                 std::holds_alternative<peer_usage_request>(*message))
            answer_peer(*m_server, request.m_exchange, summary());
        else
            answer_peer(*m_server, request.m_exchange, peer_declined{m_name});
    }

    std::string m_name;
    std::chrono::milliseconds m_skew;
    loop m_loop;
    mailbox<member_message> m_box;
    http2_client m_daemon;
    timer m_digests;
    std::unique_ptr<http2_server> m_server;
    std::optional<usage_windows> m_windows;
    std::thread m_thread;
};

scripted_member::scripted_member(std::string name, const address& daemon,
                                 std::chrono::milliseconds skew)
    : m_state(std::make_unique<state>(std::move(name), daemon, skew))
{
    m_state->m_thread = std::thread(
        [this]
        {
            run(m_state->m_loop);
        });
}

scripted_member::~scripted_member()
{
    m_state->m_box.post(member_stop());
    m_state->m_thread.join();
}

address scripted_member::local() const
{
    return m_state->m_server->local();
}

void scripted_member::say(const usage_windows& windows)
{
    m_state->m_box.post(counts_change{windows});
}

void scripted_member::send_again()
{
    std::promise<void> done;
    m_state->m_box.post(repetition{&done});
    done.get_future().wait();
}

}
