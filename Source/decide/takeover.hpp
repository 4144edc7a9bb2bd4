#ifndef BLUEBELLSPOKE_DECIDE_TAKEOVER_HPP
#define BLUEBELLSPOKE_DECIDE_TAKEOVER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <decide/duty_lease.hpp>
#include <model/clock.hpp>
#include <model/endpoint_status.hpp>

namespace bluebellspoke
{

/// How long a primary may fail to respond before it is replaced: two status
/// intervals plus the timeout of one request.
inline constexpr std::chrono::milliseconds primary_timeout{1200};
/// How long commits may stay unfinished while the primary responds before it is
/// assumed to be cut off from its replicas.
inline constexpr std::chrono::milliseconds commit_stall_timeout{1500};
/// How long a promoted endpoint may take to become the primary before it is
/// ordered again.
inline constexpr std::chrono::milliseconds promotion_timeout{2000};
/// How long after an order was sent its promotion may still take effect.
inline constexpr std::chrono::milliseconds promotion_order_lifetime =
    max_order_delay + promotion_timeout;
/// How long an endpoint that is no longer listed may go on receiving commits,
/// after a drain or without one. Its log counts towards the size of its group
/// until others have everything that the primary had after that time.
inline constexpr std::chrono::seconds drained_log_retention{5};
inline constexpr std::chrono::seconds lost_log_retention{60};
/// How long ago a member may have been asked for the status that shows that it
/// is still fenced: three of the intervals at which members are polled.
inline constexpr std::chrono::milliseconds max_fence_age{300};

/// A member of a group as seen by the process that runs the takeover.
struct takeover_member
{
    std::string m_id;
    bool m_leaving = false;      ///< Draining, in an evacuated zone, or not
                                 ///< listed.
    bool m_listed = true;        ///< Its entry is in the list of endpoints.
    bool m_joined_late = false;  ///< It was listed after the others were
                                 ///< fenced.
    bool m_reachable = false;    ///< It responded in this round.
    bool m_stepped_down = false; ///< It led its term, the newest known, and
                                 ///< obeyed a step-down order.
    endpoint_status m_status;    ///< Its last response of this round.
    time_point m_asked_at{};     ///< When m_status was requested.
    time_point m_fenced_at{};    ///< When its fence was first seen; zero: it
                                 ///< isn't fenced.
    bool m_fence_lost = false;   ///< It was fenced, and a later response showed
                                 ///< that it isn't, in the same term.
};

/// Why a primary is replaced.
enum class takeover_reason : std::uint8_t
{
    none,
    silent,        ///< It doesn't respond to this process.
    starved,       ///< It responds, but its commits don't finish.
    leaving,       ///< It drains, or its zone is evacuated.
    missing,       ///< No endpoint leads.
    order_pending, ///< A promotion that an earlier duty holder ordered may
                   ///< still take effect.
};

std::string_view to_string(takeover_reason reason) noexcept;

/// The observations that decide whether a group's primary is replaced.
struct primary_evidence
{
    bool m_known = false; ///< An endpoint led recently.
    bool m_leaving = false;
    time_point m_last_contact_at{}; ///< Last response, or since when there is
                                    ///< no primary.
    bool m_takeover_interrupted =
        false; ///< Members are paused for a later term.
    time_point m_commits_stalled_since{}; ///< Start of the oldest unfinished
                                          ///< commit; zero: none.
};

takeover_reason evaluate_primary(const primary_evidence& e, time_point now);

/// Returns true while a commit that was sent at `sent_at`, and has no answer,
/// may become evidence of a stall: it hasn't been out for commit_stall_timeout,
/// and no commit that was sent later is acknowledged. `acknowledged_sent_at` is
/// when the newest acknowledged commit was sent.
bool may_show_stall(time_point sent_at, time_point acknowledged_sent_at,
                    time_point now);

/// Returns how many of `members` endpoints must be fenced before one is
/// promoted. Every commit that the primary and `sync_replicas` replicas hold is
/// then in the log of at least one of them.
std::size_t fence_quorum(std::size_t members,
                         std::uint32_t sync_replicas) noexcept;

/// Returns true when the member takes part in no commit of a term before
/// `term`: it is a replica that is paused for `term` or later, or it has
/// stepped down in the newest term. end_old_step_down ends older step-downs.
bool is_fenced(const takeover_member& m, term_number term) noexcept;

/// Records a member's response to an order that was sent at `asked_at` to fence
/// it for `term`, or to ask whether it is fenced. A response as a primary, or
/// of another term than the last one, ends its step-down.
void record_response(takeover_member& m, const endpoint_status& status,
                     term_number term, time_point asked_at, time_point now);

/// Returns the newest term that one of the members has led or followed.
term_number newest_term(std::span<const takeover_member> members) noexcept;

/// Raises `old_term`, the term to be ended, to the newest that the members
/// know. Returns false if `fenced_term`, for which they are fenced, isn't above
/// it: then they have to be fenced again before one of them is chosen.
bool update_old_term(std::span<const takeover_member> members,
                     term_number& old_term, term_number fenced_term) noexcept;

/// Ends the member's step-down if a term newer than the one that it led is
/// known: it may follow that term's primary at any time, and take part in
/// commits. `term` is the one that the members are fenced for.
void end_old_step_down(takeover_member& m, term_number newest, term_number term,
                       time_point now) noexcept;

/// Returns the lowest term, `wanted` or above, for which the members can be
/// fenced: it is above every term that one of them leads or follows, and not
/// below any term for which one of them is paused already.
term_number next_term(std::span<const takeover_member> members,
                      term_number wanted) noexcept;

/// Returns false if the member's log can't hold a commit of a group whose
/// newest term is `newest`: it joined while nobody led, and had nothing to
/// copy.
bool may_hold_commits(const takeover_member& m, term_number newest) noexcept;

/// Returns the end of the term `newest`, the newest that may have begun, if its
/// primary is one of the members and is fenced for `term`: its log has every
/// acknowledged commit.
std::optional<log_position>
find_end_of_term(std::span<const takeover_member> members, term_number newest,
                 term_number term) noexcept;

/// Returns the id of the member to promote, or nullopt when too few members are
/// fenced for `term`. Chooses the most advanced log, and prefers members that
/// stay over members that leave.
///
/// `end` is the position at which the newest term that may have begun has
/// ended, if that is known. Then who isn't behind it may be chosen, whatever
/// the number of members.
///
/// While the promotion of `ordered` may still take effect, only that endpoint
/// is chosen, and only if it's fenced and no eligible member's log is more
/// advanced: an order for another one could be followed by the earlier
/// promotion. Empty: no promotion is under way.
std::optional<std::string>
choose_successor(std::span<const takeover_member> members, term_number term,
                 std::uint32_t sync_replicas, std::string_view ordered = {},
                 std::optional<log_position> end = {});

/// What the responses of the members show about the fence of a takeover.
enum class fence_state : std::uint8_t
{
    confirmed,   ///< It holds, and the successor is still the one to choose.
    unconfirmed, ///< Too few members have responded lately.
    lost,        ///< A member takes part in commits again, or another
                 ///< successor is to be chosen.
};

/// Evaluates the fence by the members that were asked at `since` or later.
fence_state evaluate_fence(std::span<const takeover_member> members,
                           term_number term, std::uint32_t sync_replicas,
                           std::string_view successor, time_point since,
                           std::optional<log_position> end = {});

/// A promotion that was ordered and may still take effect.
struct ordered_promotion
{
    std::string m_endpoint; ///< Empty: none.
    time_point m_expires_at{};
    term_number m_term = 0; ///< The first in which the endpoint may lead by it.
};

/// Returns true if an endpoint that leads this term does so by the order. It
/// may have led an earlier term, too.
bool has_taken_effect(const ordered_promotion& o, std::string_view primary,
                      term_number term) noexcept;

/// Returns true if the ordered endpoint has answered, after the order expired,
/// in a term before the one that the order would have begun. One that has
/// restarted, and follows nobody yet, shows nothing.
bool had_no_effect(const ordered_promotion& o,
                   const takeover_member& m) noexcept;

/// Returns the endpoint whose promotion may take effect after `now`, or an
/// empty string.
std::string_view pending_endpoint(const ordered_promotion& o,
                                  time_point now) noexcept;

}

#endif
