#ifndef BLUEBELLSPOKE_REPORT_METRIC_HPP
#define BLUEBELLSPOKE_REPORT_METRIC_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>

#include <report/latency_histogram.hpp>

namespace bluebellspoke
{

/// Metric families; docs/METRICS.md is their catalogue.
enum class metric_id : std::uint8_t
{
    requests,
    refusals,
    workspace_latency,
    workspace_rate,
    open_requests,
    caller_connections,
    statements,
    queue_time,
    endpoint_time,
    confirm_time,
    retries,
    retries_refused,
    last_write,
    queued_requests,
    endpoint_state,
    endpoint_running,
    endpoint_connections,
    connection_share,
    settings_version,
    fleet_members,
    platform_answers,
    session_statements,
    session_faults,
    sessions_open,
    endpoint_links_opened,
    endpoint_links_refused,
    group_requests,
    session_reads,
    session_wait_time,
    session_endpoint_time,
    session_time,
    session_retries,
    group_term,
    group_term_age,
    rate_part,
    rate_tokens,
    configuration_age,
    endpoint_list_age,
    store_calls,
    promotions,
    duty_held,
    log_lines_dropped,
    task_processor,
    peer_digests,
    status_questions,
    cell_kept,
    relayed_watches,
    settings_behind,
    peer_messages,
    peer_bytes,
    endpoint_choices,
    endpoint_busy,
    relayed_sessions,
    relayed_statements,
    home_moves,
    homes_lost,
    clients_closed,
    client_bytes,
    accepting_pauses,
    port_connections_closed,
    session_turn_wait,
    session_refusals,
    usage_reports,
    usage_members_missing,
    usage_duty_held,
    duty_calls,
    connections_failed,
    peer_answers_failed,
    own_credit_used,
    tokens_transferred,
    ignored_entries,
    unconfigured_endpoints,
    relayed_groups,
    takeovers_begun,
    fences_lost,
    promotion_orders,
    takeover_members_joined,
    acknowledgements_unproven,
};

enum class metric_type : std::uint8_t
{
    counter,
    gauge,
    histogram,
};

struct metric_entry
{
    metric_id m_id;
    metric_type m_type;
    std::string_view m_name;
    std::string_view m_labels; ///< Comma-separated; empty: none.
    std::string_view m_meaning;
};

/// Every family, in the order of metric_id.
std::span<const metric_entry> metric_catalogue() noexcept;
std::string_view to_string(metric_type type) noexcept;

using metric_families = std::vector<prometheus::MetricFamily>;
/// Values of the labels, in the order in which the catalogue names them.
using label_values = std::span<const std::string_view>;

/// Adds one value of a counter or gauge.
void add_value(metric_families& families, metric_id id, label_values labels,
               double value);
void add_histogram(metric_families& families, metric_id id, label_values labels,
                   const latency_histogram& histogram);

/// The text format that Prometheus reads.
std::string to_text(const metric_families& families);

}

#endif
