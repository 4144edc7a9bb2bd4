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

/// Duration of a loan. The borrower measures it from before it sent the
/// request, the lender from when it answers, plus the margin for clocks that
/// run at different rates.
inline constexpr std::chrono::milliseconds loan_term{2000};
inline constexpr std::chrono::milliseconds loan_margin{50};
/// How long a request may wait for a loan before it is refused.
inline constexpr std::chrono::milliseconds max_loan_wait{50};
/// Time between two rounds of requests: the first interval, and the longest one
/// while no units are gained.
inline constexpr std::chrono::milliseconds min_ask_interval{20};
inline constexpr std::chrono::milliseconds max_ask_interval{500};

/// Units of one resource that one daemon has lent to another.
struct loan
{
    std::uint64_t m_id = 0; ///< Assigned by the lender.
    std::string m_peer;     ///< The borrower or the lender.
    std::uint32_t m_units = 0;
    time_point m_expires{};
    std::string m_passed_by; ///< Previous borrower; empty: none.
};

/// One daemon's units of one limit: those that it is entitled to, those lent
/// and those borrowed. The held units of all daemons never exceed the limit.
struct share_ledger
{
    std::uint32_t m_base = 0; ///< Units that it is entitled to now.
    std::vector<loan> m_lent;
    std::vector<loan> m_borrowed;
    std::uint64_t m_next_id = 1;
    std::uint32_t m_reserved = 0; ///< Units of m_base that are never lent.
    /// Time that a borrower has to stop using units after a loan has expired.
    duration m_borrower_grace{};
    /// For units whose use can't be stopped at once: the lender renews a loan
    /// whenever it is asked to, and requests units back when it needs them.
    bool m_always_renews = false;
};

/// Units of the loan with the given id, returned or renewed.
struct loan_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
};

/// Units of a loan that its borrower passed on to the requester. The requester
/// reports to the lender that it has them now.
struct loan_claim
{
    std::uint64_t m_id = 0;
    std::string m_passed_by;
    std::uint32_t m_units = 0;
};

/// A daemon's request to one peer.
struct loan_request
{
    std::string m_borrower;     ///< The daemon that requests.
    std::uint32_t m_wanted = 0; ///< Most units to give.
    std::uint32_t m_held = 0;
    double m_demand = 0;               ///< In a unit that all daemons use.
    std::vector<loan_part> m_renewals; ///< Loans of this lender.
    std::vector<loan_claim> m_claims;
};

/// Units that the peer has borrowed from a third daemon and passes on.
struct passed_loan
{
    std::string m_lender;
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
    duration m_time_left{}; ///< Until it expires, at the time of the answer.
};

/// A granted claim, which is a loan with a new id.
struct claimed_loan
{
    loan_claim m_claim;
    std::uint64_t m_id = 0;
};

/// A peer's answer to a request.
struct loan_answer
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;         ///< Of a new loan; 0: none.
    std::vector<loan_part> m_returned; ///< To the requester.
    std::vector<passed_loan> m_passed;
    std::vector<loan_part> m_renewed; ///< With the remaining units.
    std::vector<claimed_loan> m_claimed;
};

/// Returns how many units the answer transfers to the requester.
std::uint32_t offered_units(const loan_answer& a) noexcept;

std::uint32_t count_units(std::span<const loan> loans) noexcept;
/// Returns how many units the daemon may use.
std::uint32_t held_units(const share_ledger& b) noexcept;
/// True when no more units are lent than the daemon is entitled to.
bool covers_loans(const share_ledger& b) noexcept;
/// Removes expired loans.
void expire_loans(share_ledger& b, time_point now);
/// Returns the earliest expiry of a loan, or time_point::max().
time_point next_expiry(const share_ledger& b) noexcept;

/// Returns how many units to give to a peer so that both hold units in
/// proportion to their demand.
std::uint32_t units_to_give(std::uint32_t own, double own_demand,
                            const loan_request& request) noexcept;
/// Answers a peer's request. The units in the answer are removed from the
/// ledger before it is sent. `free` is how many of the held units can be
/// transferred at once.
loan_answer answer_loan_request(share_ledger& b, const loan_request& request,
                                double own_demand, std::uint32_t free,
                                time_point now);
/// Applies a peer's answer. Returns the units gained.
std::uint32_t apply_loan_answer(share_ledger& b, std::string_view lender,
                                const loan_answer& answer, time_point asked_at,
                                time_point now);

/// What a daemon needs from its peers.
struct loan_need
{
    std::uint32_t m_wanted = 0; ///< Units.
    double m_demand = 0;        ///< As loan_request::m_demand.
    bool m_renew_loans = false; ///< Whether to renew its loans.
};

/// Returns the request to send to one lender.
loan_request make_loan_request(const share_ledger& b, const loan_need& need,
                               std::string_view self, std::string_view lender);
/// True when more than half of a loan's time has passed, or when units were
/// passed on and their lender doesn't know it yet.
bool has_loans_to_renew(const share_ledger& b, time_point now) noexcept;

}

#endif
