#ifndef BLUEBELLSPOKE_DECIDE_FIRST_SETTINGS_HPP
#define BLUEBELLSPOKE_DECIDE_FIRST_SETTINGS_HPP

#include <chrono>
#include <cstddef>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a process that starts waits for the store before it fetches its
/// first settings from a peer. The store answers in milliseconds; a
/// configuration of 1 MB takes 0.8 s on a link of 10 Mbit/s.
inline constexpr std::chrono::milliseconds first_answer_timeout{1000};

/// How long it waits for one peer before it asks another one, too.
inline constexpr std::chrono::milliseconds first_fetch_patience{300};
inline constexpr std::size_t max_first_fetches = 2;

/// What a process without settings knows of its calls to the store, and of its
/// fetches of one part of the settings from peers.
struct first_settings_state
{
    time_point m_started_at{};
    bool m_store_failed = false;       ///< A call to the store has failed.
    std::size_t m_pending_fetches = 0; ///< Requests to peers without an answer.
    time_point m_last_fetch_at{};
};

/// Returns true if the process fetches its first settings from a peer now: the
/// store doesn't answer it, and other peers haven't answered in time.
bool may_fetch_first_settings(const first_settings_state& s,
                              time_point now) noexcept;

}

#endif
