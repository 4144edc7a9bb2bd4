#include <support/usage_calls.hpp>

namespace bluebellspoke::support
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;

std::string repeated_differently(const json& calls)
{
    std::map<std::uint64_t, std::string> bodies;
    for (const json& call : calls)
    {
        if (call.at("status") != ok)
            continue;
        const std::string body = call.at("body");
        const auto [entry, is_new] =
            bodies.emplace(json::parse(body).at("window-id"), body);
        if (!is_new && entry->second != body)
            return "other counts: " + body + "; ";
    }
    return {};
}

std::string wrong_tokens(const json& calls)
{
    std::map<std::uint64_t, std::string> holders;
    for (const json& call : calls)
    {
        const std::uint64_t token = call.at("token");
        const std::string holder = call.at("holder");
        if (!holders.empty() && token < holders.rbegin()->first)
            return "a lower token: " + call.dump() + "; ";
        if (holders.emplace(token, holder).first->second != holder)
            return "two holders of a token: " + call.dump() + "; ";
    }
    return {};
}

// Holders that act in the order A, B, A.
std::string alternating_holders(const json& calls)
{
    for (std::size_t b = 1; b < calls.size(); ++b)
        for (std::size_t a = b + 1; a < calls.size(); ++a)
            if (calls[b - 1].at("holder") == calls[a].at("holder") &&
                calls[b].at("holder") != calls[a].at("holder") &&
                calls[a].at("at-ms").get<double>() -
                        calls[b - 1].at("at-ms").get<double>() <
                    quick_lease_ms)
                return "alternating holders: " + calls[a].dump();
    return {};
}

}

std::string violations_of(const json& calls)
{
    return repeated_differently(calls) + wrong_tokens(calls) +
           alternating_holders(calls);
}

std::map<std::uint64_t, json> accepted_reports(const json& calls)
{
    std::map<std::uint64_t, json> reports;
    for (const json& call : calls)
        if (call.at("status") == ok)
        {
            const json body = json::parse(call.at("body").get<std::string>());
            reports[body.at("window-id")] = body.at("counts");
        }
    return reports;
}

std::uint64_t reported_requests(const site& s, const std::string& workspace)
{
    std::uint64_t sum = 0;
    for (const auto& [window, counts] : accepted_reports(s.usage_calls()))
        sum += counts.value(workspace, std::uint64_t{0});
    return sum;
}

bool has_gap(const json& calls)
{
    const auto reports = accepted_reports(calls);
    return !reports.empty() &&
           reports.rbegin()->first - reports.begin()->first + 1 !=
               reports.size();
}

std::size_t usage_holder(const site& s, std::size_t daemons)
{
    std::size_t i = 0;
    while (i < daemons &&
           call_http(s.metrics_of(i), "GET", "/metrics")
                   .m_body.find("\nbluebellspoke_usage_duty_held 1\n") ==
               std::string::npos)
        ++i;
    return i;
}

}
