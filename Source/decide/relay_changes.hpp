#ifndef BLUEBELLSPOKE_DECIDE_RELAY_CHANGES_HPP
#define BLUEBELLSPOKE_DECIDE_RELAY_CHANGES_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <decide/group_view.hpp>
#include <model/relayed_group.hpp>

namespace bluebellspoke
{

/// Most processes whose last answers a process remembers for a group: its cell
/// leader or the leaders of the other cells, and their predecessors.
inline constexpr std::size_t max_relay_bases = 8;

/// From this many processes on, requests name the last answers. In smaller
/// fleets group answers aren't the largest of a leader's messages.
inline constexpr std::size_t min_processes_for_relay_changes = 250;

/// Returns true if processes of such a fleet ask for changes.
constexpr bool uses_relay_changes(std::size_t processes) noexcept
{
    return processes >= min_processes_for_relay_changes;
}

/// What a cell leader last described of a group, and the version of the answer
/// at which each part was found changed.
///
/// Answers the load of processes x groups: each process asks for each group in
/// use up to 20 times a second while it has no lease, and most answers would
/// repeat what the process was told before.
struct relay_history
{
    relayed_group m_last;        ///< The last description.
    time_point m_described_at{}; ///< When that was made.
    /// Version since which the term and the primary are the same; 0: never
    /// described.
    std::uint64_t m_same_primary_since = 0;
    std::uint64_t m_seen_version = 0;
    std::uint64_t m_lease_version = 0;
    std::uint64_t m_position_version = 0;
    std::map<std::string, std::uint64_t, std::less<>>
        m_endpoint_versions; ///< By id.
};

/// Records the description that is made at `now` for the answer `version`. The
/// versions of a process increase from answer to answer.
void record_description(relay_history& h, const relayed_group& m,
                        time_point now, std::uint64_t version);
/// Returns true if a process that was told the group in the answer `base` of
/// this process can be told the changes since then. 0 is no answer.
bool has_changes_since(const relay_history& h, std::uint64_t base);
/// Returns what changed since the answer `base`, or nullopt if nothing did. The
/// lease counts as changed if `repeats_lease` is true. Requires
/// has_changes_since(). The caller sets the index.
std::optional<relayed_change> changes_since(const relay_history& h,
                                            std::uint64_t base,
                                            bool repeats_lease = false);

/// The last answer of one process about a group.
struct relay_base
{
    std::uint64_t m_source = 0; ///< Incarnation of the process.
    std::uint64_t m_version = 0;
    term_number m_term = 0;
    std::string m_primary;
    time_point m_lease_until{}; ///< Of the view after it was applied.
    duration m_round_trip{};    ///< From the request until it was applied.
};

/// The last answers about a group, the latest at the back.
using relay_bases = std::deque<relay_base>;

/// A group that a process asks for, and the answers of which it still has all.
struct relay_query
{
    std::string m_service;
    std::vector<relay_base> m_bases;
    bool m_wants_lease = false; ///< Also if it hasn't changed since.
};

/// Returns the query of a process with this view and these last answers. It
/// names those of which the view still has everything: a view that started a
/// term again or lost its primary may lack a lease that it was told. A lease
/// also ends here earlier than at the process that told it, by the round trip
/// of its answer; near its end it is wanted again, as a faster answer makes it
/// last longer.
relay_query make_relay_query(std::string_view service, const relay_bases& bases,
                             const group_view& g, time_point now);

void remember_base(relay_bases& bases, const relay_base& base);
void forget_base(relay_bases& bases, std::uint64_t source);
/// Returns the base of an answer of the process, or nullptr if there is none.
const relay_base* find_base(std::span<const relay_base> bases,
                            std::uint64_t source);

/// Returns the hash that stands for an endpoint's id. It is the same in every
/// build.
std::uint32_t hash_endpoint_id(std::string_view id);
/// Returns the query that the change answers, or nullptr if there is none or it
/// named no answer of the process `source`.
const relay_query* query_of(const relayed_change& change,
                            std::span<const relay_query> queries,
                            std::uint64_t source);
/// Returns the group that the change describes. Endpoints whose hash is that of
/// none or of several of `endpoint_ids` are left out. Requires that query_of()
/// returned the query.
relayed_group expand_change(const relayed_change& change,
                            const relay_query& query, std::uint64_t source,
                            std::span<const std::string> endpoint_ids);

}

#endif
