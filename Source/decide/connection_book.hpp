#ifndef BLUEBELLSPOKE_DECIDE_CONNECTION_BOOK_HPP
#define BLUEBELLSPOKE_DECIDE_CONNECTION_BOOK_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// An endpoint ends a connection that has been silent for this long, so a
/// process that is paused or cut off holds none much longer.
inline constexpr std::chrono::milliseconds silence_bound{2000};
/// How long a statement or transaction may go on without a right to its
/// connection before the connection is closed under it.
inline constexpr std::chrono::milliseconds drop_grace{200};
/// How long a daemon leaves alone what it was asked for and couldn't give yet.
inline constexpr std::chrono::milliseconds yield_time{500};
/// How long a need for connections counts after it has passed.
inline constexpr std::chrono::milliseconds need_memory{250};
/// How long what was borrowed is kept after the last need for it.
inline constexpr std::chrono::seconds connection_keep{2};

/// A close may take this long to reach the endpoint; until then what was closed
/// counts as open.
inline constexpr std::chrono::milliseconds close_time{50};

/// What a daemon does with its connections to one endpoint.
struct connection_use
{
    std::uint32_t m_open = 0;    ///< In any state, those being closed too.
    std::uint32_t m_busy = 0;    ///< In a statement or a transaction.
    std::uint32_t m_waiting = 0; ///< Requests that found none.
};

/// Units whose loan is over, while statements may still end on them.
struct ending_loan
{
    std::uint32_t m_units = 0;
    time_point m_drop_at{};
};

/// One daemon's part of one endpoint's connections. Over all daemons, what is
/// open never exceeds the endpoint's limit.
struct connection_book
{
    std::string m_endpoint;
    std::uint32_t m_limit = 0;    ///< The endpoint's, whole fleet.
    std::uint32_t m_by_right = 0; ///< While the right holds.
    std::uint32_t m_in_force = 0; ///< Like it, until what is open fits it.
    bool m_named = false;         ///< All members count its monitor.
    time_point m_from = time_point::max();
    time_point m_until{};
    share_book m_book;
    std::vector<ending_loan> m_ending;
    std::uint32_t m_yield_to = 0; ///< Opens no more than these until then.
    time_point m_yield_until{};
    std::uint32_t m_demand = 0; ///< The highest of late.
    time_point m_demand_at{};
    time_point m_needed_at{}; ///< The own ones weren't enough.
};

connection_book make_connection_book(std::string_view endpoint,
                                     std::uint64_t first_id);
/// Fits the book to the right and to the endpoint's limit.
void set_connections(connection_book& b, const share_right& right,
                     std::uint32_t limit, time_point now);
/// Ends loans and rights whose time is over.
void settle(connection_book& b, time_point now);
/// Notes what the daemon needs; to be told whenever it may have changed.
void note_use(connection_book& b, const connection_use& use, time_point now);

/// How many the daemon may have open: idle ones beyond it are closed.
std::uint32_t usable_connections(const connection_book& b, time_point now);
/// Beyond this, busy ones are closed as well.
std::uint32_t most_connections(const connection_book& b, time_point now);
/// True while the daemon may hold a monitor's connection.
bool may_monitor(const connection_book& b, time_point now);

/// How many more to ask peers for.
std::uint32_t wanted_connections(const connection_book& b, time_point now);
/// True when a round of asking is due for a need, or to keep what is borrowed.
bool needs_peers(const connection_book& b, time_point now);
loan_ask make_ask(const connection_book& b, std::string_view self,
                  std::string_view lender, time_point now);
/// Answers a peer. What is open isn't given: the daemon yields it, and gives
/// it when it is asked again after the close.
loan_answer lend_connections(connection_book& b, const loan_ask& ask,
                             const connection_use& use, time_point now);
/// Takes a peer's answer in. Returns the units gained.
std::uint32_t take_connections(connection_book& b, std::string_view lender,
                               const loan_answer& answer, time_point asked_at,
                               time_point now);
/// True when what is open and lent fits the right; it may then be reported as
/// applied.
bool keeps_to_right(connection_book& b, const connection_use& use,
                    time_point now);
/// When time itself changes the book next, or time_point::max().
time_point next_change(const connection_book& b, time_point after);

}

#endif
