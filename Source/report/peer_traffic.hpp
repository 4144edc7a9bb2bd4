#ifndef BLUEBELLSPOKE_REPORT_PEER_TRAFFIC_HPP
#define BLUEBELLSPOKE_REPORT_PEER_TRAFFIC_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <model/clock.hpp>
#include <report/metric.hpp>

namespace bluebellspoke
{

struct traffic_count
{
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

/// Messages that one task has sent to peers; only the task's thread uses it.
struct peer_traffic
{
    std::map<std::string, traffic_count, std::less<>> m_sent; ///< By kind.
    traffic_count m_logged; ///< Sum at the last log line.
    time_point m_logged_at{};
};

void record_sent(peer_traffic& p, std::string_view kind, std::size_t bytes);
/// Logs what was sent since the last line, once each usage_period.
void log_traffic(peer_traffic& p, time_point now);
void collect_traffic(metric_families& families, const peer_traffic& p);

}

#endif
