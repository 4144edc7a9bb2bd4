#include <support/scripted_voter.hpp>

#include <atomic>
#include <future>
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

using voter_clock = std::chrono::steady_clock;

struct vote_change
{
    bool m_grants;
    std::promise<void>* m_done;
};
struct voter_stop
{
};
using voter_message = std::variant<vote_change, voter_stop>;

constexpr std::size_t mailbox_size = 16;
constexpr std::chrono::milliseconds no_delay{-1};
constexpr std::uint64_t not_asked = ~std::uint64_t{0};

}

struct scripted_voter::state
{
    explicit state(std::string name)
        : m_name(std::move(name)), m_loop(make_loop()), m_box(mailbox_size)
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
                     [this](voter_message& message)
                     {
                         take(message);
                     });
    }

    void take(voter_message& message)
    {
        if (std::holds_alternative<voter_stop>(message))
            return stop(m_loop);
        const auto& change = std::get<vote_change>(message);
        m_grants = change.m_grants;
        m_voted_at.reset();
        m_announcement_delay = no_delay;
        change.m_done->set_value();
    }

    void note_request(const peer_vote_request& m)
    {
        const auto now = voter_clock::now();
        m_is_asked_by_candidate = !m.m_leads_cell;
        if (!m.m_leads_cell)
            m_confirmed = m.m_confirmed_incarnation;
        if (!m.m_leads_cell && m_grants)
            m_voted_at = now;
        if (m.m_leads_cell && m_voted_at &&
            m_announcement_delay.load() == no_delay)
            m_announcement_delay =
                std::chrono::floor<std::chrono::milliseconds>(now -
                                                              *m_voted_at);
    }

    void answer(const arrived_request& request)
    {
        const auto message = decode_peer_request(*m_server, request);
        if (!message)
            return;
        if (std::holds_alternative<peer_restart_request>(*message) &&
            m_incarnation != 0)
        {
            answer_peer(*m_server, request.m_exchange,
                        peer_restart{m_name, m_incarnation, m_is_unused, true});
            return;
        }
        const auto* m = std::get_if<peer_vote_request>(&*message);
        if (m == nullptr)
        {
            answer_peer(*m_server, request.m_exchange, peer_declined{m_name});
            return;
        }
        note_request(*m);
        peer_vote vote;
        vote.m_name = m_name;
        vote.m_granted = m_grants;
        answer_peer(*m_server, request.m_exchange, vote);
    }

    std::string m_name;
    loop m_loop;
    mailbox<voter_message> m_box;
    std::unique_ptr<http2_server> m_server;
    bool m_grants = false;
    std::atomic<bool> m_is_asked_by_candidate = false;
    std::atomic<std::uint64_t> m_incarnation = 0;
    std::atomic<bool> m_is_unused = false;
    std::atomic<std::uint64_t> m_confirmed = not_asked;
    std::optional<voter_clock::time_point> m_voted_at;
    std::atomic<std::chrono::milliseconds> m_announcement_delay = no_delay;
    std::thread m_thread;
};

scripted_voter::scripted_voter(std::string name)
    : m_state(std::make_unique<state>(std::move(name)))
{
    m_state->m_thread = std::thread(
        [this]
        {
            run(m_state->m_loop);
        });
}

scripted_voter::~scripted_voter()
{
    m_state->m_box.post(voter_stop());
    m_state->m_thread.join();
}

address scripted_voter::local() const
{
    return m_state->m_server->local();
}

void scripted_voter::set_granting(bool grants)
{
    std::promise<void> done;
    m_state->m_box.post(vote_change{grants, &done});
    done.get_future().wait();
}

void scripted_voter::set_restart(std::uint64_t incarnation, bool is_unused)
{
    m_state->m_is_unused = is_unused;
    m_state->m_incarnation = incarnation;
    m_state->m_confirmed = not_asked;
}

std::optional<std::uint64_t> scripted_voter::confirmed_incarnation() const
{
    const std::uint64_t confirmed = m_state->m_confirmed;
    return confirmed == not_asked ? std::nullopt : std::optional(confirmed);
}

bool scripted_voter::is_asked_by_candidate() const
{
    return m_state->m_is_asked_by_candidate;
}

std::optional<std::chrono::milliseconds>
scripted_voter::announcement_delay() const
{
    const std::chrono::milliseconds delay = m_state->m_announcement_delay;
    return delay == no_delay ? std::nullopt : std::optional(delay);
}

}
