#include <report/metric.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>

#include <prometheus/text_serializer.h>

namespace bluebellspoke
{

namespace
{

constexpr std::array catalogue{
    metric_entry{metric_id::requests, metric_type::counter,
                 "bluebellspoke_requests_total", "workspace,result",
                 "requests by outcome: served, refused, or unknown"},
    metric_entry{metric_id::refusals, metric_type::counter,
                 "bluebellspoke_refusals_total", "error,outcome",
                 "refusals by code and by what became of the request"},
    metric_entry{metric_id::workspace_latency, metric_type::histogram,
                 "bluebellspoke_request_seconds", "workspace",
                 "time from a request's arrival to its answer"},
    metric_entry{metric_id::workspace_rate, metric_type::gauge,
                 "bluebellspoke_workspace_rate", "workspace",
                 "statements a second allowed over the whole fleet"},
    metric_entry{metric_id::open_requests, metric_type::gauge,
                 "bluebellspoke_open_requests", "",
                 "requests that wait for their answer"},
    metric_entry{metric_id::caller_connections, metric_type::gauge,
                 "bluebellspoke_caller_connections", "",
                 "open connections from callers"},
    metric_entry{metric_id::statements, metric_type::counter,
                 "bluebellspoke_statements_total", "kind,role",
                 "statements answered, by kind and by the endpoint's role"},
    metric_entry{metric_id::queue_time, metric_type::histogram,
                 "bluebellspoke_queue_seconds", "kind",
                 "time from a request's arrival to its hand-over"},
    metric_entry{metric_id::endpoint_time, metric_type::histogram,
                 "bluebellspoke_endpoint_seconds", "kind",
                 "time from a request's hand-over to the endpoint's answer"},
    metric_entry{metric_id::confirm_time, metric_type::histogram,
                 "bluebellspoke_confirm_seconds", "",
                 "time from a write's commit to its majority"},
    metric_entry{metric_id::retries, metric_type::counter,
                 "bluebellspoke_retries_total", "",
                 "hand-overs after a request's first"},
    metric_entry{metric_id::retries_refused, metric_type::counter,
                 "bluebellspoke_retries_refused_total", "",
                 "retries that a group's budget didn't allow"},
    metric_entry{metric_id::last_write, metric_type::gauge,
                 "bluebellspoke_write_age_seconds", "",
                 "time since the last acknowledged write; -1 before the first"},
    metric_entry{metric_id::queued_requests, metric_type::gauge,
                 "bluebellspoke_pool_requests", "state",
                 "requests in the pool, by state"},
    metric_entry{metric_id::endpoint_state, metric_type::gauge,
                 "bluebellspoke_endpoints", "state",
                 "endpoints by state: primary, replica, closed or unreachable"},
    metric_entry{metric_id::endpoint_running, metric_type::gauge,
                 "bluebellspoke_running_statements", "",
                 "statements that take a slot at an endpoint"},
    metric_entry{metric_id::endpoint_connections, metric_type::gauge,
                 "bluebellspoke_endpoint_connections", "",
                 "connections to endpoints for statements"},
    metric_entry{metric_id::connection_share, metric_type::gauge,
                 "bluebellspoke_connection_share", "part",
                 "connections to endpoints by right, lent and borrowed"},
    metric_entry{metric_id::settings_version, metric_type::gauge,
                 "bluebellspoke_settings_version", "",
                 "version of the settings in force"},
    metric_entry{metric_id::fleet_members, metric_type::gauge,
                 "bluebellspoke_fleet_members", "",
                 "daemons that share the rates"},
    metric_entry{metric_id::platform_answers, metric_type::gauge,
                 "bluebellspoke_platform_answers", "",
                 "1 while the platform's service answers, else 0"},
    metric_entry{metric_id::session_statements, metric_type::counter,
                 "bluebellspoke_session_statements_total", "route,outcome",
                 "statements of sessions by kind of route (primary, bounded or "
                 "own_writes) and outcome (served, refused, failed or gone)"},
    metric_entry{metric_id::session_faults, metric_type::counter,
                 "bluebellspoke_session_faults_total", "fault",
                 "errors that sessions were told, by fault"},
    metric_entry{metric_id::sessions_open, metric_type::gauge,
                 "bluebellspoke_sessions", "", "open sessions"},
    metric_entry{metric_id::endpoint_links_opened, metric_type::counter,
                 "bluebellspoke_endpoint_links_opened_total", "",
                 "connections that sessions had opened to endpoints"},
    metric_entry{metric_id::endpoint_links_refused, metric_type::counter,
                 "bluebellspoke_endpoint_links_refused_total", "",
                 "connections that an endpoint had no room for"},
    metric_entry{metric_id::group_requests, metric_type::counter,
                 "bluebellspoke_group_requests_total", "",
                 "requests to the cell leader for what it knows of groups"},
    metric_entry{
        metric_id::session_reads, metric_type::counter,
        "bluebellspoke_session_reads_total", "role",
        "reads of sessions, by the role of the endpoint that ran them"},
    metric_entry{metric_id::session_wait_time, metric_type::histogram,
                 "bluebellspoke_session_wait_seconds", "route",
                 "time from a statement's arrival to its hand-over"},
    metric_entry{metric_id::session_endpoint_time, metric_type::histogram,
                 "bluebellspoke_session_endpoint_seconds", "route",
                 "time from a statement's hand-over to the endpoint's answer"},
    metric_entry{metric_id::session_time, metric_type::histogram,
                 "bluebellspoke_session_seconds", "route",
                 "time from a statement's arrival to its ordinary answer"},
    metric_entry{metric_id::session_retries, metric_type::counter,
                 "bluebellspoke_session_retries_total", "",
                 "statements of sessions that were tried again"},
    metric_entry{metric_id::group_term, metric_type::gauge,
                 "bluebellspoke_group_term", "service",
                 "newest term known of a group"},
    metric_entry{metric_id::group_term_age, metric_type::gauge,
                 "bluebellspoke_group_term_age_seconds", "service",
                 "time since the term was last proved to be the newest"},
    metric_entry{metric_id::rate_part, metric_type::gauge,
                 "bluebellspoke_rate_part", "workspace",
                 "part of a workspace's rate that this process may use, 0 to "
                 "1"},
    metric_entry{metric_id::rate_tokens, metric_type::gauge,
                 "bluebellspoke_rate_tokens", "workspace",
                 "statements that a workspace may begin at once here"},
    metric_entry{metric_id::configuration_age, metric_type::gauge,
                 "bluebellspoke_configuration_age_seconds", "",
                 "time since the store last confirmed the configuration"},
    metric_entry{metric_id::endpoint_list_age, metric_type::gauge,
                 "bluebellspoke_endpoint_list_age_seconds", "",
                 "time since the store last confirmed the endpoint list"},
    metric_entry{metric_id::store_calls, metric_type::counter,
                 "bluebellspoke_store_calls_total", "result",
                 "reads and watches of the store by result: answered, failed "
                 "or history_gone"},
    metric_entry{metric_id::promotions, metric_type::counter,
                 "bluebellspoke_promotions_total", "",
                 "primaries that this process has replaced"},
    metric_entry{metric_id::duty_held, metric_type::gauge,
                 "bluebellspoke_duty_held", "",
                 "1 while this process may promote, else 0"},
    metric_entry{
        metric_id::log_lines_dropped, metric_type::counter,
        "bluebellspoke_log_lines_dropped_total", "",
        "log lines that passed the budget of their event or that nobody read"},
    metric_entry{metric_id::task_processor, metric_type::counter,
                 "bluebellspoke_task_processor_seconds_total", "task",
                 "processor time of a task's thread"},
    metric_entry{metric_id::peer_digests, metric_type::counter,
                 "bluebellspoke_peer_digests_total", "direction",
                 "digests exchanged with peers: sent or received"},
    metric_entry{metric_id::status_questions, metric_type::counter,
                 "bluebellspoke_status_questions_total", "",
                 "questions for the status of endpoints"},
    metric_entry{metric_id::cell_kept, metric_type::gauge,
                 "bluebellspoke_cell_kept", "",
                 "1 while this process keeps the rates of its zone, else 0"},
    metric_entry{metric_id::relayed_watches, metric_type::gauge,
                 "bluebellspoke_relayed_watches", "",
                 "kinds of objects whose changes the cell leader relays"},
    metric_entry{metric_id::settings_behind, metric_type::gauge,
                 "bluebellspoke_settings_behind_seconds", "",
                 "time since a peer first reported a newer version than the "
                 "one in force; 0 if none did"},
    metric_entry{metric_id::peer_messages, metric_type::counter,
                 "bluebellspoke_peer_messages_total", "kind",
                 "messages sent to peers, by kind"},
    metric_entry{metric_id::peer_bytes, metric_type::counter,
                 "bluebellspoke_peer_bytes_total", "kind",
                 "bytes of the messages sent to peers, by kind"},
    metric_entry{metric_id::endpoint_choices, metric_type::counter,
                 "bluebellspoke_endpoint_choices_total", "rank",
                 "statements sent to the endpoint with the lowest expected "
                 "cost (best) or to another one near it (other)"},
    metric_entry{metric_id::endpoint_busy, metric_type::counter,
                 "bluebellspoke_endpoint_busy_total", "",
                 "statements that an endpoint refused as its slots were in "
                 "use"},
    metric_entry{metric_id::relayed_sessions, metric_type::gauge,
                 "bluebellspoke_relayed_sessions", "direction",
                 "sessions that run at their home process: passed on by this "
                 "one (out), or accepted from others (in)"},
    metric_entry{metric_id::relayed_statements, metric_type::counter,
                 "bluebellspoke_relayed_statements_total", "",
                 "statements that were passed on to home processes"},
    metric_entry{metric_id::home_moves, metric_type::counter,
                 "bluebellspoke_home_moves_total", "",
                 "sessions at rest that moved to another home process or back"},
    metric_entry{metric_id::homes_lost, metric_type::counter,
                 "bluebellspoke_homes_lost_total", "",
                 "times that a home process failed or gave its sessions back"},
    metric_entry{metric_id::clients_closed, metric_type::counter,
                 "bluebellspoke_clients_closed_total", "cause",
                 "connections of callers closed because they passed a limit "
                 "or to make room, by cause"},
    metric_entry{metric_id::client_bytes, metric_type::gauge,
                 "bluebellspoke_client_bytes", "",
                 "shared memory that sessions take beyond their own part"},
    metric_entry{metric_id::accepting_pauses, metric_type::counter,
                 "bluebellspoke_accepting_pauses_total", "",
                 "times that no connections of callers were accepted for want "
                 "of descriptors"},
    metric_entry{metric_id::port_connections_closed, metric_type::counter,
                 "bluebellspoke_port_connections_closed_total", "port",
                 "connections that a port (ready or metrics) closed because of "
                 "a limit"},
    metric_entry{metric_id::session_turn_wait, metric_type::histogram,
                 "bluebellspoke_session_turn_wait_seconds", "priority",
                 "time from a statement's arrival to its hand-over, by its "
                 "route's priority"},
    metric_entry{metric_id::session_refusals, metric_type::counter,
                 "bluebellspoke_session_refusals_total", "cause,priority",
                 "statements refused before they were sent, by cause "
                 "(hopeless_on_arrival, hopeless_while_waiting, deadline or "
                 "rate) and priority"},
    metric_entry{metric_id::usage_reports, metric_type::counter,
                 "bluebellspoke_usage_reports_total", "outcome",
                 "usage reports accepted and refused; of the accepted ones "
                 "those late; calls repeated; windows skipped"},
    metric_entry{metric_id::usage_members_missing, metric_type::gauge,
                 "bluebellspoke_usage_members_missing", "",
                 "processes whose final counts the last usage report lacked"},
    metric_entry{metric_id::usage_duty_held, metric_type::gauge,
                 "bluebellspoke_usage_duty_held", "",
                 "1 while this process may send usage reports, else 0"},
    metric_entry{metric_id::duty_calls, metric_type::counter,
                 "bluebellspoke_duty_calls_total", "duty",
                 "calls to the store for the record of a duty"},
    metric_entry{metric_id::connections_failed, metric_type::counter,
                 "bluebellspoke_connections_failed_total", "kind",
                 "connections dropped after an unexpected exception: to "
                 "endpoints (endpoint), to homes (home) and of peers (peer)"},
    metric_entry{metric_id::peer_answers_failed, metric_type::counter,
                 "bluebellspoke_peer_answers_failed_total", "",
                 "answers of peers that count as none after an unexpected "
                 "exception"},
    metric_entry{metric_id::own_credit_used, metric_type::counter,
                 "bluebellspoke_own_credit_used_total", "",
                 "operations admitted after the start of the process, before a "
                 "cell leader was known"},
    metric_entry{metric_id::tokens_transferred, metric_type::counter,
                 "bluebellspoke_tokens_transferred_total", "direction",
                 "rate tokens that this process, as a cell leader, received "
                 "from other cells and gave to them"},
    metric_entry{metric_id::ignored_entries, metric_type::counter,
                 "bluebellspoke_ignored_entries_total", "kind",
                 "entries of the store, parts of the configuration and counts "
                 "of other processes (usage) that failed a check"},
    metric_entry{metric_id::unconfigured_endpoints, metric_type::gauge,
                 "bluebellspoke_unconfigured_endpoints", "",
                 "endpoints that are not used, as no configuration names their "
                 "service"},
    metric_entry{metric_id::relayed_groups, metric_type::counter,
                 "bluebellspoke_relayed_groups_total", "form",
                 "groups that other processes asked this one for as a cell "
                 "leader: sent in full (full), as changes since its last "
                 "answer (change), or left out as nothing changed (unchanged)"},
    metric_entry{metric_id::takeovers_begun, metric_type::counter,
                 "bluebellspoke_takeovers_begun_total", "reason",
                 "replacements of a primary that this process began, by reason "
                 "(silent, starved, leaving, missing or order_pending)"},
    metric_entry{metric_id::fences_lost, metric_type::counter,
                 "bluebellspoke_fences_lost_total", "",
                 "times that endpoints had to be fenced again before a "
                 "promotion"},
    metric_entry{metric_id::promotion_orders, metric_type::counter,
                 "bluebellspoke_promotion_orders_total", "result",
                 "promotion orders by result: accepted, not_running, refused "
                 "or unknown (no answer)"},
    metric_entry{metric_id::takeover_members_joined, metric_type::counter,
                 "bluebellspoke_takeover_members_joined_total", "",
                 "endpoints that were listed while their group's primary was "
                 "being replaced"},
    metric_entry{metric_id::acknowledgements_unproven, metric_type::counter,
                 "bluebellspoke_acknowledgements_unproven_total", "",
                 "commits that an endpoint acknowledged while no lease was in "
                 "force; their callers were told that the outcome is unknown"},
};

const metric_entry& entry_of(metric_id id)
{
    return catalogue[static_cast<std::size_t>(id)];
}

prometheus::MetricType to_prometheus(metric_type type)
{
    switch (type)
    {
    case metric_type::counter:
        return prometheus::MetricType::Counter;
    case metric_type::histogram:
        return prometheus::MetricType::Histogram;
    case metric_type::gauge:
        break;
    }
    return prometheus::MetricType::Gauge;
}

prometheus::MetricFamily& family_of(metric_families& families,
                                    const metric_entry& entry)
{
    const auto found = std::find_if(families.begin(), families.end(),
                                    [&](const prometheus::MetricFamily& family)
                                    {
                                        return family.name == entry.m_name;
                                    });
    if (found != families.end())
        return *found;
    return families.emplace_back(
        prometheus::MetricFamily{std::string(entry.m_name),
                                 std::string(entry.m_meaning),
                                 to_prometheus(entry.m_type),
                                 {}});
}

std::vector<prometheus::ClientMetric::Label> to_labels(std::string_view names,
                                                       label_values values)
{
    std::vector<prometheus::ClientMetric::Label> labels;
    for (const std::string_view value : values)
    {
        const std::size_t comma = names.find(',');
        labels.push_back(
            {std::string(names.substr(0, comma)), std::string(value)});
        names.remove_prefix(comma == std::string_view::npos ? names.size()
                                                            : comma + 1);
    }
    return labels;
}

}

std::span<const metric_entry> metric_catalogue() noexcept
{
    return catalogue;
}

std::string_view to_string(metric_type type) noexcept
{
    switch (type)
    {
    case metric_type::counter:
        return "counter";
    case metric_type::histogram:
        return "histogram";
    case metric_type::gauge:
        break;
    }
    return "gauge";
}

void add_value(metric_families& families, metric_id id, label_values labels,
               double value)
{
    const metric_entry& entry = entry_of(id);
    prometheus::ClientMetric metric;
    metric.label = to_labels(entry.m_labels, labels);
    if (entry.m_type == metric_type::counter)
        metric.counter.value = value;
    else
        metric.gauge.value = value;
    family_of(families, entry).metric.push_back(std::move(metric));
}

void add_histogram(metric_families& families, metric_id id, label_values labels,
                   const latency_histogram& histogram)
{
    const metric_entry& entry = entry_of(id);
    prometheus::ClientMetric metric;
    metric.label = to_labels(entry.m_labels, labels);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.m_buckets.size(); ++i)
    {
        total += histogram.m_buckets[i];
        const double bound = i < latency_bounds.size()
                                 ? latency_bounds[i]
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({total, bound});
    }
    metric.histogram.sample_count = total;
    metric.histogram.sample_sum = histogram.m_sum;
    family_of(families, entry).metric.push_back(std::move(metric));
}

std::string to_text(const metric_families& families)
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families);
    return std::move(out).str();
}

}
