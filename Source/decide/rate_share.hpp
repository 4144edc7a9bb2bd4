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

/// One daemon's share of a workspace's rate and burst. The burst is divided
/// into whole units. Each unit includes its part of the rate, and tokens are
/// transferred with units, so that all daemons together admit at most
/// burst + rate * w statements in any time window of length w.
struct rate_share
{
    std::string m_workspace;
    double m_rate = 0;         ///< Of the whole fleet, in tokens per second.
    std::uint32_t m_burst = 0; ///< Of the whole fleet, in units.
    shared_entitlement_ptr m_entitlement; ///< Null until set.
    std::uint32_t m_entitled_units = 0;   ///< While m_entitlement is valid.
    share_ledger m_ledger;
    rate_bucket m_bucket;
    double m_recent_arrivals = 0; ///< Decaying with demand_decay_time.
    time_point m_last_arrival_at{};
    time_point m_advanced_to{}; ///< Time of m_bucket's state.
};

/// Time constant of the exponential decay in the estimate of demand.
inline constexpr std::chrono::milliseconds demand_decay_time{250};
/// How long a daemon without arrivals renews its loans, unless a peer asks for
/// the units.
inline constexpr std::chrono::seconds rate_loan_idle_limit{10};

rate_share make_rate_share(std::string_view workspace, std::uint64_t first_id,
                           time_point now);
/// Sets the workspace's rate and burst of the whole fleet.
void set_rate(rate_share& s, double rate, double burst, time_point now);
void set_entitlement(rate_share& s, shared_entitlement_ptr entitlement,
                     time_point now);
void set_entitlement(rate_share& s, const share_entitlement& entitlement,
                     time_point now);

/// Fills the bucket up to its burst. Only for a workspace that is new to the
/// settings tree, for which no daemon can have spent tokens yet.
void fill_bucket(rate_share& s);

/// Advances the bucket to `now`, applying in order every end of a loan and
/// every start and end of the entitlement on the way.
void advance_to(rate_share& s, time_point now);
/// Counts one arrival in the estimate of demand.
void record_arrival(rate_share& s, time_point now);
/// Returns the estimate of demand, in arrivals per second.
double demand_of(const rate_share& s, time_point now);
/// Takes one token if there is one. Returns whether it did.
bool admit_one(rate_share& s, time_point now);

/// Returns how many units the daemon should ask its peers for. Units are wanted
/// before the bucket is empty.
std::uint32_t wanted_units(const rate_share& s, time_point now);
/// True when loans should be renewed rather than left to expire.
bool should_renew_loans(const rate_share& s, time_point now);
/// True when peers are to be asked for units or for the renewal of loans.
bool should_ask_peers(const rate_share& s, time_point now);
/// Returns the request to send to one peer.
loan_request make_loan_request(const rate_share& s, std::string_view self,
                               std::string_view lender, time_point now);

/// Units and the tokens that are transferred with them.
struct rate_loan
{
    loan_answer m_units;
    double m_tokens = 0;
};

/// Answers a peer's request. The units and tokens in the answer are removed
/// here before it is sent.
rate_loan lend_rate(rate_share& s, const loan_request& request, time_point now);
/// Applies a peer's answer. Returns the units gained.
std::uint32_t apply_rate_loan(rate_share& s, std::string_view lender,
                              const rate_loan& answer, time_point asked_at,
                              time_point now);
/// True when no more units are lent than the daemon is entitled to. The epoch
/// may then be reported as applied.
bool within_entitlement(const rate_share& s);

}

#endif
