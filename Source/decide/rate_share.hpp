#ifndef BLUEBELLSPOKE_DECIDE_RATE_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_RATE_SHARE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <decide/loan.hpp>
#include <decide/rate_bucket.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// A workspace's rate and burst on one daemon. The burst is divided in whole
/// units; each unit carries its part of the rate, and tokens move with units,
/// so that over all daemons, in any time w, no more than burst + rate * w
/// statements are admitted.
struct rate_share
{
    std::string m_workspace;
    double m_rate = 0;            ///< Of the whole fleet, tokens a second.
    std::uint32_t m_burst = 0;    ///< Of the whole fleet, units.
    shared_right_ptr m_right;     ///< Null: none yet.
    std::uint32_t m_by_right = 0; ///< Units, while the right lasts.
    share_book m_book;
    rate_bucket m_bucket;
    double m_recent = 0; ///< Arrivals, each fading with demand_memory.
    time_point m_recent_at{};
    time_point m_settled_at{}; ///< Up to when m_bucket is accounted for.
};

/// How long an arrival counts in the estimate of demand.
inline constexpr std::chrono::milliseconds demand_memory{250};
/// How long a daemon without arrivals keeps what it has borrowed, unless it is
/// asked for it.
inline constexpr std::chrono::seconds keep_bound{10};

rate_share make_rate_share(std::string_view workspace, std::uint64_t first_id,
                           time_point now);
/// Fits the share to the settings in force.
void set_rate(rate_share& s, double rate, double burst, time_point now);
void set_right(rate_share& s, shared_right_ptr right, time_point now);
void set_right(rate_share& s, const share_right& right, time_point now);

/// Gives the share its whole burst; only for a workspace that is new to the
/// settings tree, so that no daemon can have spent any of it.
void fill_bucket(rate_share& s);

/// Brings the bucket up to `now`, through every end of a loan or a right that
/// has passed meanwhile.
void settle(rate_share& s, time_point now);
/// Counts one arrival in the demand.
void note_arrival(rate_share& s, time_point now);
/// Arrivals a second, lately.
double demand_of(const rate_share& s, time_point now);
/// Takes one token. Returns false, and takes nothing, when there is none.
bool admit_one(rate_share& s, time_point now);

/// Units that the daemon should ask its peers for, before it runs dry.
std::uint32_t wanted_units(const rate_share& s, time_point now);
/// True when loans should be renewed rather than end.
bool keeps_loans(const rate_share& s, time_point now);
/// True when peers are to be asked, for a need or to keep what is borrowed.
bool needs_peers(const rate_share& s, time_point now);
/// What to ask one peer for.
loan_ask make_ask(const rate_share& s, std::string_view self,
                  std::string_view lender, time_point now);

/// Units and the tokens that go with them.
struct rate_loan
{
    loan_answer m_units;
    double m_tokens = 0;
};

/// Answers a peer; what is given is gone from here first.
rate_loan lend_rate(rate_share& s, const loan_ask& ask, time_point now);
/// Takes a peer's answer in. Returns the units gained.
std::uint32_t take_rate_loan(rate_share& s, std::string_view lender,
                             const rate_loan& answer, time_point asked_at,
                             time_point now);
/// True when what is lent fits what the right gives: it may be reported as
/// applied.
bool keeps_to_right(const rate_share& s);

}

#endif
