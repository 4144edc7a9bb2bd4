#ifndef BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP
#define BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <variant>

namespace bluebellspoke
{

/// What daemons tell each other. Each message goes out on a stream of its own
/// and is answered by one message on the same stream.

/// A daemon says that it is there and what it knows.
struct peer_heartbeat
{
    std::string m_name;              ///< Of the sender's VM.
    std::uint64_t m_incarnation = 0; ///< Another one after each restart.
    std::uint64_t m_settings_version = 0;
    bool m_platform_answers = false;
    std::uint64_t m_confirmed_age_ms = 0; ///< Since it was known current.
    bool m_draining = false;
};

/// The receiver doesn't know what was asked, or can't do it now.
struct peer_declined
{
    std::string m_name;
};

using peer_message = std::variant<peer_heartbeat, peer_declined>;

}

#endif
