#ifndef BLUEBELLSPOKE_DECIDE_DUTY_LEASE_HPP
#define BLUEBELLSPOKE_DECIDE_DUTY_LEASE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <decide/usage_report.hpp>
#include <model/address.hpp>
#include <model/clock.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// A duty is the exclusive right of one process to order promotions, or to send
/// usage reports. Its holder renews it at this interval.
inline constexpr std::chrono::milliseconds duty_renewal_interval{600};
/// How long the duty is valid for its holder, counted from before it sent the
/// last acknowledged renewal: three renewal intervals.
inline constexpr std::chrono::milliseconds duty_validity{1800};
/// How long an order or a report may remain in transit after its sender has
/// abandoned it.
inline constexpr std::chrono::milliseconds max_order_delay{1000};
/// How long another process must see no renewal before it acquires the duty:
/// duty_validity + max_order_delay, plus 1 % for clock rate differences.
inline constexpr std::chrono::milliseconds duty_acquisition_delay{2830};

/// A promotion that was decided and whose order may have been sent.
struct pending_promotion
{
    std::string m_endpoint;
    /// The first term in which the endpoint may lead by the order. Earlier
    /// builds store a later one.
    term_number m_term = 0;

    friend bool operator==(const pending_promotion&,
                           const pending_promotion&) = default;
};

/// The log of an endpoint that is gone, as it may have held commits that no
/// other endpoint has received since.
struct gone_log
{
    bool m_drained = false; ///< Its endpoint was draining when last seen.
    duration m_ago{};       ///< Since it was last seen, when it was stored.

    friend bool operator==(const gone_log&, const gone_log&) = default;
};

/// The logs of one group that are gone, by address.
using gone_logs = std::map<address, gone_log>;

/// The end of a term: its primary was fenced with this log, so that no commit
/// beyond it was acknowledged.
struct final_position
{
    term_number m_term = 0; ///< Led by that primary.
    log_position m_position;

    friend bool operator==(const final_position&,
                           const final_position&) = default;
};

/// The stored object that records which process holds a duty, and what a
/// successor has to know of the holder's acts.
struct duty_record
{
    std::string m_holder; ///< Node name; empty: released.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_token = 0;    ///< Fencing token; grows with each holder.
    std::uint64_t m_renewals = 0; ///< Counted so that each renewal changes
                                  ///< the object.
    std::map<std::string, pending_promotion, std::less<>>
        m_pending_promotions; ///< By service; orders may be in transit.
    /// By service: number of logs that may hold its commits. Stored because a
    /// holder that has just started doesn't see unreachable endpoints.
    std::map<std::string, std::uint32_t, std::less<>> m_group_sizes;
    /// By service: which of these logs are gone. Absent in records of earlier
    /// builds.
    std::optional<std::map<std::string, gone_logs, std::less<>>> m_gone_logs;
    /// By service: the end of the newest term that has ended.
    std::map<std::string, final_position, std::less<>> m_final_positions;
    /// By service: the newest term that may have begun.
    std::map<std::string, term_number, std::less<>> m_newest_terms;
    std::optional<usage_report> m_report; ///< The last one; may be in transit.
};

/// A revision of the record and when this process first observed it.
struct duty_observation
{
    std::uint64_t m_revision = 0; ///< 0: the object doesn't exist.
    duty_record m_record;
    time_point m_first_seen_at{};
};

/// Returns the new observation, or `before` unless `revision` is newer, so that
/// the time of the first observation is kept.
duty_observation observe_duty(const std::optional<duty_observation>& before,
                              std::uint64_t revision, duty_record record,
                              time_point now);

/// Returns true when this process should try to acquire the duty: the duty is
/// released, expired or held by an earlier process of the same node.
bool may_acquire_duty(const duty_observation& seen, std::string_view self,
                      std::uint64_t incarnation, time_point now);

/// Returns the record to store in order to make this process the holder.
duty_record acquire_duty(const duty_record& before, std::string_view self,
                         std::uint64_t incarnation);

/// How fast the store answers.
struct store_pace
{
    duration m_answer_time{}; ///< The longest of late; halved by each answer.
    unsigned m_unanswered_writes = 0; ///< Since the last answered one.
};

void note_answer_time(store_pace& pace, duration took) noexcept;
void note_write(store_pace& pace, bool was_answered) noexcept;

/// Returns how long a holder waits for the answer to a renewal before it sends
/// another one besides it.
duration duty_hedge_delay(const store_pace& pace) noexcept;

/// Returns the timeout of a write of a duty's record. The store answers within
/// 10 ms or, for seconds on end, most writes not at all.
duration duty_write_timeout(const store_pace& pace) noexcept;

/// Returns true while a renewal sent at `renewed_at` allows the holder to order
/// promotions, or to send usage reports.
bool may_order_promotion(time_point renewed_at, time_point now) noexcept;

}

#endif
