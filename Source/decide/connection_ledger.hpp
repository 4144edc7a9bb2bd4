#ifndef BLUEBELLSPOKE_DECIDE_CONNECTION_LEDGER_HPP
#define BLUEBELLSPOKE_DECIDE_CONNECTION_LEDGER_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// An endpoint closes a connection that has been idle for this long, so that a
/// paused or partitioned process doesn't hold connections much longer.
inline constexpr std::chrono::milliseconds connection_idle_timeout{2000};
/// How long a statement or transaction may continue on a connection that the
/// daemon may no longer have, before the connection is closed.
inline constexpr std::chrono::milliseconds revocation_grace{200};
/// How long a daemon doesn't reopen connections that a peer asked for while
/// they were open.
inline constexpr std::chrono::milliseconds yield_time{500};
/// How long a peak in the demand for connections counts after it has passed.
inline constexpr std::chrono::milliseconds demand_hold_time{250};
/// How long loans are renewed after they were last needed.
inline constexpr std::chrono::seconds connection_loan_idle_limit{2};

/// How long a close may take to reach the endpoint. A closed connection counts
/// as open until then.
inline constexpr std::chrono::milliseconds close_delay{50};

/// A daemon's use of its connections to one endpoint.
struct connection_usage
{
    std::uint32_t m_open = 0; ///< In any state, including those being closed.
    std::uint32_t m_busy = 0; ///< Running a statement or a transaction.
    std::uint32_t m_waiting = 0; ///< Requests without a connection.
};

/// Units of an expired loan on which statements may still finish.
struct expired_loan
{
    std::uint32_t m_units = 0;
    time_point m_close_at{};
};

/// One daemon's share of one endpoint's connections, with its loans. The
/// connections that all daemons have open never exceed the endpoint's limit.
struct connection_ledger
{
    std::string m_endpoint;
    std::uint32_t m_limit = 0; ///< Of the endpoint, for the whole fleet.
    std::uint32_t m_entitled_units = 0; ///< While the entitlement is valid.
    std::uint32_t m_enforced_units = 0; ///< Lowered once the open ones fit.
    /// All members reserve a connection for its monitor.
    bool m_monitor_reserved = false;
    time_point m_valid_from = time_point::max();
    time_point m_valid_until{};
    share_ledger m_ledger;
    std::vector<expired_loan> m_expired_loans;
    std::uint32_t m_yield_limit = 0; ///< Most to use until m_yield_until.
    time_point m_yield_until{};
    std::uint32_t m_peak_demand = 0; ///< Highest within demand_hold_time.
    time_point m_peak_demand_at{};
    time_point m_last_shortage_at{}; ///< When the own units last fell short.
};

connection_ledger make_connection_ledger(std::string_view endpoint,
                                         std::uint64_t first_id);
/// Sets the entitlement and the endpoint's limit.
void set_connection_limit(connection_ledger& b,
                          const share_entitlement& entitlement,
                          std::uint32_t limit, time_point now);
/// Ends expired loans and an expired entitlement.
void advance_to(connection_ledger& b, time_point now);
/// Records the daemon's demand. To be called whenever `usage` may have changed.
void record_usage(connection_ledger& b, const connection_usage& usage,
                  time_point now);

/// Returns how many connections the daemon may use. Idle ones beyond it are
/// closed.
std::uint32_t usable_connections(const connection_ledger& b, time_point now);
/// Returns the number beyond which busy connections are closed as well.
std::uint32_t max_open_connections(const connection_ledger& b, time_point now);
/// True while the daemon may have a monitor connection open.
bool may_monitor(const connection_ledger& b, time_point now);

/// Returns how many more connections to ask peers for.
std::uint32_t wanted_connections(const connection_ledger& b, time_point now);
/// True when peers are to be asked for connections or for the renewal of loans.
bool should_ask_peers(const connection_ledger& b, time_point now);
loan_request make_loan_request(const connection_ledger& b,
                               std::string_view self, std::string_view lender,
                               time_point now);
/// Answers a peer's request. Open connections aren't lent at once: the daemon
/// stops using them, and lends them when it is asked again after they were
/// closed.
loan_answer lend_connections(connection_ledger& b, const loan_request& request,
                             const connection_usage& usage, time_point now);
/// Applies a peer's answer. Returns the units gained.
std::uint32_t apply_connection_loan(connection_ledger& b,
                                    std::string_view lender,
                                    const loan_answer& answer,
                                    time_point asked_at, time_point now);
/// True when the open and lent connections fit the entitlement. The epoch may
/// then be reported as applied.
bool within_entitlement(connection_ledger& b, const connection_usage& usage,
                        time_point now);
/// Returns when the ledger changes next without an event, or time_point::max().
time_point next_change(const connection_ledger& b, time_point after);

}

#endif
