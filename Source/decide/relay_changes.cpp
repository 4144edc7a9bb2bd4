#include <decide/relay_changes.hpp>

#include <algorithm>
#include <utility>

#include <decide/group_relay.hpp>
#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

// Spans count back from when a description was made, so that equal spans of two
// descriptions are different times.
bool is_same_time(const relay_history& h, duration before, time_point now,
                  duration after)
{
    return h.m_described_at - before == now - after;
}

bool is_same_lease(const relay_history& h, const relayed_group& m,
                   time_point now)
{
    return h.m_last.m_lease_proven_ago &&
           is_same_time(h, *h.m_last.m_lease_proven_ago, now,
                        *m.m_lease_proven_ago);
}

bool is_same_position(const relay_history& h, const relayed_group& m,
                      time_point now)
{
    return h.m_last.m_position == m.m_position &&
           is_same_time(h, h.m_last.m_position_asked_ago, now,
                        m.m_position_asked_ago);
}

bool is_same_endpoint(const relay_history& h, const relayed_endpoint& before,
                      time_point now, const relayed_endpoint& after)
{
    return before.m_connections == after.m_connections &&
           before.m_busy == after.m_busy &&
           is_same_time(h, before.m_ago, now, after.m_ago) &&
           (!after.m_busy ||
            is_same_time(h, before.m_busy_ago, now, after.m_busy_ago));
}

void record_endpoints(relay_history& h, const relayed_group& m, time_point now,
                      std::uint64_t version)
{
    std::map<std::string, std::uint64_t, std::less<>> versions;
    for (const auto& [id, e] : m.m_endpoints)
    {
        const auto before = h.m_last.m_endpoints.find(id);
        const bool is_same = before != h.m_last.m_endpoints.end() &&
                             is_same_endpoint(h, before->second, now, e);
        versions[id] = is_same ? h.m_endpoint_versions[id] : version;
    }
    h.m_endpoint_versions = std::move(versions);
}

bool has_all_of(const group_view& g, const relay_base& b)
{
    // A later term replaces all that was told of an earlier one.
    if (g.m_term != b.m_term)
        return g.m_term > b.m_term;
    return b.m_primary.empty() ||
           (g.m_primary == b.m_primary && g.m_lease_until >= b.m_lease_until);
}

// Returns true if the lease ends soon, or may still be in force where it was
// told: an answer with a shorter round trip makes it last longer here.
bool may_gain_lease(const group_view& g, const relay_base& b, time_point now)
{
    return now >= g.m_lease_until - unrenewed_lease_margin &&
           now < g.m_lease_until + b.m_round_trip;
}

}

void record_description(relay_history& h, const relayed_group& m,
                        time_point now, std::uint64_t version)
{
    const bool is_known = h.m_same_primary_since != 0;
    if (!is_known || h.m_last.m_term != m.m_term ||
        h.m_last.m_primary != m.m_primary)
        h.m_same_primary_since = version;
    if (!is_known || !is_same_time(h, h.m_last.m_primary_seen_ago, now,
                                   m.m_primary_seen_ago))
        h.m_seen_version = m.m_primary.empty() ? 0 : version;
    if (m.m_lease_proven_ago && !is_same_lease(h, m, now))
        h.m_lease_version = version;
    if (m.m_position && !is_same_position(h, m, now))
        h.m_position_version = version;
    record_endpoints(h, m, now, version);
    h.m_last = m;
    h.m_described_at = now;
}

bool has_changes_since(const relay_history& h, std::uint64_t base)
{
    return h.m_same_primary_since != 0 && base >= h.m_same_primary_since;
}

std::optional<relayed_change>
changes_since(const relay_history& h, std::uint64_t base, bool repeats_lease)
{
    const relayed_group& m = h.m_last;
    relayed_change change;
    bool has_any = h.m_seen_version > base;
    change.m_primary_seen_ago = m.m_primary_seen_ago;
    if (m.m_lease_proven_ago && (repeats_lease || h.m_lease_version > base))
    {
        change.m_lease_proven_ago = m.m_lease_proven_ago;
        has_any = true;
    }
    if (m.m_position && h.m_position_version > base)
    {
        change.m_position = m.m_position;
        change.m_position_asked_ago = m.m_position_asked_ago;
        has_any = true;
    }
    for (const auto& [id, e] : m.m_endpoints)
        if (h.m_endpoint_versions.at(id) > base)
            change.m_endpoints.push_back({hash_endpoint_id(id), e});
    if (!has_any && change.m_endpoints.empty())
        return std::nullopt;
    return change;
}

void remember_base(relay_bases& bases, const relay_base& base)
{
    const auto same =
        std::ranges::find(bases, base.m_source, &relay_base::m_source);
    if (same != bases.end())
    {
        // An answer that was overtaken by a later one.
        if (base.m_version < same->m_version)
            return;
        bases.erase(same);
    }
    bases.push_back(base);
    if (bases.size() > max_relay_bases)
        bases.pop_front();
}

void forget_base(relay_bases& bases, std::uint64_t source)
{
    std::erase_if(bases,
                  [&](const relay_base& b)
                  {
                      return b.m_source == source;
                  });
}

relay_query make_relay_query(std::string_view service, const relay_bases& bases,
                             const group_view& g, time_point now)
{
    relay_query q{std::string(service), {}, false};
    for (const relay_base& b : bases)
    {
        if (!has_all_of(g, b))
            continue;
        q.m_bases.push_back(b);
        q.m_wants_lease = q.m_wants_lease || may_gain_lease(g, b, now);
    }
    return q;
}

const relay_base* find_base(std::span<const relay_base> bases,
                            std::uint64_t source)
{
    const auto found = std::ranges::find(bases, source, &relay_base::m_source);
    return found == bases.end() ? nullptr : &*found;
}

std::uint32_t hash_endpoint_id(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

const relay_query* query_of(const relayed_change& change,
                            std::span<const relay_query> queries,
                            std::uint64_t source)
{
    if (change.m_index >= queries.size())
        return nullptr;
    const relay_query& query = queries[change.m_index];
    return find_base(query.m_bases, source) != nullptr ? &query : nullptr;
}

relayed_group expand_change(const relayed_change& change,
                            const relay_query& query, std::uint64_t source,
                            std::span<const std::string> endpoint_ids)
{
    const relay_base& base = *find_base(query.m_bases, source);
    relayed_group m;
    m.m_service = query.m_service;
    m.m_term = base.m_term;
    m.m_primary = base.m_primary;
    m.m_primary_seen_ago = change.m_primary_seen_ago;
    m.m_lease_proven_ago = change.m_lease_proven_ago;
    m.m_position = change.m_position;
    m.m_position_asked_ago = change.m_position_asked_ago;
    std::map<std::uint32_t, std::vector<std::string_view>> ids;
    for (const std::string& id : endpoint_ids)
        ids[hash_endpoint_id(id)].push_back(id);
    for (const relayed_endpoint_change& e : change.m_endpoints)
    {
        const auto found = ids.find(e.m_id_hash);
        if (found != ids.end() && found->second.size() == 1)
            m.m_endpoints.emplace(found->second.front(), e.m_endpoint);
    }
    return m;
}

}
