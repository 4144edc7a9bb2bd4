#include <report/peer_traffic.hpp>

#include <array>

#include <report/event.hpp>
#include <report/task_usage.hpp>

namespace bluebellspoke
{

namespace
{

traffic_count sum_of(const peer_traffic& p)
{
    traffic_count sum;
    for (const auto& [kind, count] : p.m_sent)
    {
        sum.m_messages += count.m_messages;
        sum.m_bytes += count.m_bytes;
    }
    return sum;
}

// Kind, messages and bytes of all kinds since the start of the process.
std::string describe_kinds(const peer_traffic& p)
{
    std::string text;
    for (const auto& [kind, count] : p.m_sent)
        text += (text.empty() ? "" : ", ") + kind + " " +
                std::to_string(count.m_messages) + "/" +
                std::to_string(count.m_bytes);
    return text;
}

}

void record_sent(peer_traffic& p, std::string_view kind, std::size_t bytes)
{
    auto found = p.m_sent.find(kind);
    if (found == p.m_sent.end())
        found = p.m_sent.try_emplace(std::string(kind)).first;
    ++found->second.m_messages;
    found->second.m_bytes += bytes;
}

void log_traffic(peer_traffic& p, time_point now)
{
    if (p.m_logged_at == time_point{})
        p.m_logged_at = now;
    if (now - p.m_logged_at < usage_period)
        return;
    const traffic_count sum = sum_of(p);
    log_event(
        event_id::peer_traffic,
        {{"messages", std::to_string(sum.m_messages - p.m_logged.m_messages)},
         {"bytes", std::to_string(sum.m_bytes - p.m_logged.m_bytes)},
         {"since_start", describe_kinds(p)}});
    p.m_logged = sum;
    p.m_logged_at = now;
}

void collect_traffic(metric_families& families, const peer_traffic& p)
{
    for (const auto& [kind, count] : p.m_sent)
    {
        const std::array<std::string_view, 1> labels{kind};
        add_value(families, metric_id::peer_messages, labels,
                  static_cast<double>(count.m_messages));
        add_value(families, metric_id::peer_bytes, labels,
                  static_cast<double>(count.m_bytes));
    }
}

}
