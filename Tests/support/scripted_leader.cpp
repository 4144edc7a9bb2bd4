#include <support/scripted_leader.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include <decide/cell_vote.hpp>
#include <peer/peer_call.hpp>
#include <task/loop.hpp>
#include <task/mailbox.hpp>

namespace bluebellspoke::support
{

namespace
{

struct script_change
{
    std::optional<leader_script> m_script;
    std::promise<void>* m_done;
};
struct leader_stop
{
};
using leader_message = std::variant<script_change, leader_stop>;

constexpr std::size_t mailbox_size = 16;

}

struct scripted_leader::state
{
    explicit state(const address& daemon)
        : m_loop(make_loop()), m_box(mailbox_size), m_daemon(m_loop, daemon),
          m_claims(m_loop,
                   [this]
                   {
                       send_claim();
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
        m_network = std::make_unique<relay>(m_server->local());
        m_box.attach(m_loop,
                     [this](leader_message& message)
                     {
                         take(message);
                     });
        m_claims.start_periodic(vote_request_interval);
    }

    void change(const std::optional<leader_script>& script)
    {
        std::promise<void> done;
        m_box.post(script_change{script, &done});
        done.get_future().wait();
    }

    void take(leader_message& message)
    {
        if (std::holds_alternative<leader_stop>(message))
            return stop(m_loop);
        auto& change = std::get<script_change>(message);
        m_script = std::move(change.m_script);
        m_fetches = 0;
        change.m_done->set_value();
    }

    void send_claim()
    {
        if (!m_script)
            return;
        peer_vote_request claim = m_script->m_claim;
        claim.m_name = "leader";
        claim.m_address = to_string(m_network->local());
        claim.m_incarnation = 1;
        claim.m_leads_cell = true;
        call_peer(m_daemon, claim, [](std::optional<peer_message>&) {});
    }

    void answer(const arrived_request& request)
    {
        const auto message = decode_peer_request(*m_server, request);
        if (!message)
            return;
        if (!m_script ||
            !std::holds_alternative<peer_settings_request>(*message))
        {
            answer_peer(*m_server, request.m_exchange, peer_declined{"leader"});
            return;
        }
        answer_peer(*m_server, request.m_exchange, m_script->m_settings);
        ++m_fetches;
    }

    loop m_loop;
    mailbox<leader_message> m_box;
    http2_client m_daemon;
    timer m_claims;
    std::unique_ptr<http2_server> m_server;
    std::unique_ptr<relay> m_network;
    std::optional<leader_script> m_script;
    std::atomic<std::size_t> m_fetches = 0;
    std::thread m_thread;
};

scripted_leader::scripted_leader(const address& daemon)
    : m_state(std::make_unique<state>(daemon))
{
    m_state->m_thread = std::thread(
        [this]
        {
            run(m_state->m_loop);
        });
}

scripted_leader::~scripted_leader()
{
    m_state->m_box.post(leader_stop());
    m_state->m_thread.join();
}

address scripted_leader::local() const
{
    return m_state->m_network->local();
}

void scripted_leader::follow(const leader_script& script)
{
    m_state->change(script);
}

void scripted_leader::fall_silent()
{
    m_state->change(std::nullopt);
}

std::size_t scripted_leader::fetches() const
{
    return m_state->m_fetches;
}

void scripted_leader::silence_connections()
{
    m_state->m_network->silence_connections();
}

}
