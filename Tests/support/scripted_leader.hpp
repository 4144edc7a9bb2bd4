#ifndef BLUEBELLSPOKE_SUPPORT_SCRIPTED_LEADER_HPP
#define BLUEBELLSPOKE_SUPPORT_SCRIPTED_LEADER_HPP

#include <cstddef>
#include <memory>

#include <model/address.hpp>
#include <peer/peer_message.hpp>
#include <support/relay.hpp>

namespace bluebellspoke::support
{

/// What a cell leader says of the store, and what it answers to a follower that
/// fetches its settings and lists.
struct leader_script
{
    peer_vote_request m_claim; ///< Name, address and leadership are filled in.
    peer_settings m_settings;
};

/// A cell leader that says what a test tells it to, on a thread of its own. It
/// sends its claims to one daemon directly; the daemon's calls reach it through
/// a relay.
class scripted_leader
{
public:
    explicit scripted_leader(const address& daemon);
    ~scripted_leader();
    scripted_leader(const scripted_leader&) = delete;
    scripted_leader& operator=(const scripted_leader&) = delete;

    /// Where the daemon reaches it.
    address local() const;
    /// From its next claim on it says this.
    void follow(const leader_script& script);
    /// Sends no claims and answers nothing from now on.
    void fall_silent();
    /// How often the daemon has fetched its settings since it was last told
    /// what to say.
    std::size_t fetches() const;
    /// The daemon's open connections to it go silent; new ones work.
    void silence_connections();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
