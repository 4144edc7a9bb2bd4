#ifndef BLUEBELLSPOKE_DECIDE_TAKEOVER_HPP
#define BLUEBELLSPOKE_DECIDE_TAKEOVER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <model/clock.hpp>
#include <model/endpoint_status.hpp>

namespace bluebellspoke
{

/// How long a primary may give no sign before it is replaced: two status
/// periods and the wait for one answer that doesn't come.
inline constexpr std::chrono::milliseconds primary_silence{1200};
/// How long commits may fail to end, while the primary answers, before it is
/// taken to be cut off from its replicas.
inline constexpr std::chrono::milliseconds commit_silence{1500};

/// A member of a group as the promoter sees it.
struct takeover_member
{
    std::string m_id;
    bool m_leaving = false;      ///< Draining, or in an evacuated zone.
    bool m_reachable = false;    ///< It answered in this round.
    bool m_stepped_down = false; ///< It led, and took the order not to.
    endpoint_status m_status;    ///< Its last answer of this round.
};

/// Why a primary is replaced.
enum class takeover_reason : std::uint8_t
{
    none,
    silent,  ///< It answers nobody here.
    starved, ///< It commits nothing any more.
    leaving, ///< It drains, or its zone is evacuated.
    missing, ///< Nobody leads.
};

std::string_view to_string(takeover_reason reason) noexcept;

/// The evidence on one group's primary.
struct primary_evidence
{
    bool m_known = false; ///< Some endpoint led lately.
    bool m_leaving = false;
    time_point m_last_sign{};   ///< Its last answer, or when it was missed.
    bool m_interrupted = false; ///< Members are paused for a later term.
    time_point m_stuck_since{}; ///< Oldest commit without an end; zero: none.
};

takeover_reason judge_primary(const primary_evidence& e, time_point now);

/// How many of `members` endpoints have to be touched before one is promoted.
std::size_t touches_needed(std::size_t members,
                           std::uint32_t sync_replicas) noexcept;

/// True when the member takes part in no commit of a term before `term`.
bool is_touched(const takeover_member& m, term_number term) noexcept;

/// The least term, `wanted` or above, for which members can be touched: above
/// every term that one of them leads or follows, and none for which one of them
/// was touched by somebody else.
term_number next_term(std::span<const takeover_member> members,
                      term_number wanted) noexcept;

/// The member to promote once enough are touched for `term`: the furthest log,
/// one that stays before one that leaves. Nothing when too few are touched.
std::optional<std::string>
choose_successor(std::span<const takeover_member> members, term_number term,
                 std::uint32_t sync_replicas);

}

#endif
