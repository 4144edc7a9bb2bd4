#ifndef BLUEBELLSPOKE_DECIDE_LOAN_HPP
#define BLUEBELLSPOKE_DECIDE_LOAN_HPP

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A borrower counts a loan's time from before it asked; the lender from after
/// it answered, plus the margin, for clocks that run at different rates.
inline constexpr std::chrono::milliseconds loan_term{2000};
inline constexpr std::chrono::milliseconds loan_margin{50};
/// How long a request may wait for a loan before it is refused.
inline constexpr std::chrono::milliseconds loan_wait{50};
/// From one round of asking to the next: the first, and the longest while
/// nothing is gained.
inline constexpr std::chrono::milliseconds ask_pause{20};
inline constexpr std::chrono::milliseconds longest_ask_pause{500};

/// Units of one resource that one daemon uses in place of another.
struct loan
{
    std::uint64_t m_id = 0; ///< The lender's number.
    std::string m_peer;     ///< The other side.
    std::uint32_t m_units = 0;
    time_point m_expires{};
    std::string m_passed_by; ///< Who had borrowed it before; empty: nobody.
};

/// One daemon's part of one limit: its share by right, and what it has lent
/// and borrowed. Over all daemons the held units never exceed the limit.
struct share_book
{
    std::uint32_t m_base = 0; ///< By right.
    std::vector<loan> m_lent;
    std::vector<loan> m_borrowed;
    std::uint64_t m_next_id = 1;
    std::uint32_t m_kept = 0; ///< Units by right that are never lent.
    /// What a borrower may take to stop using units whose time is over.
    duration m_grace{};
    /// Units in use can't be stopped at once: the lender renews them as long as
    /// it is asked to, and asks for them when it needs them.
    bool m_always_renews = false;
};

/// Units of the loan of a number: given back, or kept.
struct loan_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
};

/// A part of a loan that its borrower passed on to the one who asks: the lender
/// shall note who has it now.
struct loan_claim
{
    std::uint64_t m_id = 0;
    std::string m_passed_by;
    std::uint32_t m_units = 0;
};

/// What a daemon asks of one peer.
struct loan_ask
{
    std::string m_peer;         ///< Who asks.
    std::uint32_t m_wanted = 0; ///< Units at most.
    std::uint32_t m_held = 0;
    double m_demand = 0;             ///< In any unit that all share.
    std::vector<loan_part> m_renews; ///< Loans of this lender to keep.
    std::vector<loan_claim> m_claims;
};

/// A part of a loan that the peer has from somebody else.
struct passed_loan
{
    std::string m_lender;
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
    duration m_left{}; ///< Of its time, when the answer was made.
};

/// A claim that was granted, under a number of its own.
struct claimed_loan
{
    loan_claim m_claim;
    std::uint64_t m_id = 0;
};

/// What the peer gives.
struct loan_answer
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;         ///< Lent anew; 0: nothing.
    std::vector<loan_part> m_returned; ///< Given back to the asker.
    std::vector<passed_loan> m_passed;
    std::vector<loan_part> m_renewed; ///< With the units that are left.
    std::vector<claimed_loan> m_claimed;
};

/// Units that the answer hands over.
std::uint32_t offered_units(const loan_answer& a) noexcept;

std::uint32_t count_units(std::span<const loan> loans) noexcept;
/// Units that the daemon may use.
std::uint32_t held_units(const share_book& b) noexcept;
/// True when no more is lent than the share by right.
bool covers_loans(const share_book& b) noexcept;
/// Ends the loans whose time is over.
void expire_loans(share_book& b, time_point now);
/// The earliest end of a loan, or time_point::max().
time_point next_expiry(const share_book& b) noexcept;

/// Units to hand to a peer so that both hold the same for their demand.
std::uint32_t units_to_give(std::uint32_t own, double own_demand,
                            const loan_ask& ask) noexcept;
/// Answers a peer: takes the units out of the book before anything is said.
/// `free` is how many of the held units can be handed over at once.
loan_answer answer_ask(share_book& b, const loan_ask& ask, double own_demand,
                       std::uint32_t free, time_point now);
/// Takes a peer's answer in. Returns the units gained.
std::uint32_t take_loan(share_book& b, std::string_view lender,
                        const loan_answer& answer, time_point asked_at,
                        time_point now);

/// Why a daemon asks its peers.
struct loan_need
{
    std::uint32_t m_wanted = 0; ///< Units.
    double m_demand = 0;        ///< As loan_ask::m_demand.
    bool m_keeps = false;       ///< Wants to keep what it has borrowed.
};

/// What to ask one lender.
loan_ask make_ask(const share_book& b, const loan_need& need,
                  std::string_view self, std::string_view lender);
/// True when a loan has used up half of its time, or the lender doesn't know
/// of it yet.
bool has_loans_to_keep(const share_book& b, time_point now) noexcept;

}

#endif
