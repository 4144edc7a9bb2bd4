#ifndef BLUEBELLSPOKE_DAEMON_FRONT_SHARES_HPP
#define BLUEBELLSPOKE_DAEMON_FRONT_SHARES_HPP

#include <deque>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include <daemon/messages.hpp>
#include <decide/loan_request_round.hpp>
#include <decide/rate_share.hpp>
#include <task/loop.hpp>

namespace bluebellspoke
{

struct front_state;

/// An admitted request that waits for its token.
struct waiting_request
{
    pool_request m_request;
    time_point m_since{};
};

/// One workspace's rate on this daemon and what waits for it.
struct front_rate
{
    rate_share m_share;
    std::deque<waiting_request> m_waiting;
    loan_request_round m_round;
};

/// The rates of all workspaces, and the right that their shares rest on.
struct front_rates
{
    shared_entitlement_ptr m_right; ///< Null: none yet.
    std::map<std::string, front_rate, std::less<>> m_rates;
    std::uint64_t m_first_loan = 1; ///< Differs after a restart.
    std::uint64_t m_applied = 0;    ///< Epoch told to the control task.
    bool m_ticking = false;
    bool m_knows_tree = false; ///< Settings have come at least once.
};

/// Fits the shares to the settings in force.
void update_rates(front_state& f);
void take_right(front_state& f, const share_entitlement& right);
/// Hands the request to the pool once a token is there. Throws refused when it
/// can't wait for one.
void admit_by_rate(front_state& f, pool_request&& request);
/// A caller is gone: its request waits no longer.
void forget_waiting(front_state& f, exchange_id exchange);
void lend_to_peer(front_state& f, const incoming_loan_request& asked);
void take_loan(front_state& f, const incoming_loan& arrived);
/// Asks peers for loans and lets go what has waited too long.
void tick_rates(front_state& f);
nlohmann::json describe_rates(const front_state& f);

}

#endif
