#include <load/measures.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <vector>

#include <load/load_player.hpp>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;

using figure = double (*)(const load_result&);

/// One experiment under one policy.
struct variant
{
    const char* m_name;
    const char* m_patch; ///< JSON merge patch on the experiment.
};

struct measure
{
    const char* m_name;
    const char* m_file;
    const char* m_figure_name;
    figure m_figure;
    std::vector<variant> m_variants;
};

double replica_percent(const load_result& r)
{
    constexpr double percent = 100;
    return percent * replica_share(r);
}

double worst_served_percent(const load_result& r)
{
    constexpr double percent = 100;
    // Who exceeds the own rate is refused by right.
    load_result inside = r;
    std::erase_if(inside.m_workspaces,
                  [](const workspace_result& w)
                  {
                      return w.m_refused.contains("rate_exceeded");
                  });
    return inside.m_workspaces.empty()
               ? 0
               : percent * served_share(worst_served(inside));
}

double worst_p99(const load_result& r)
{
    double worst = 0;
    for (const workspace_result& w : r.m_workspaces)
        if (!w.m_refused.contains("rate_exceeded"))
            worst = std::max(worst, latency_quantile(w, 0.99));
    return worst;
}

double rate_refusals_percent(const load_result& r)
{
    constexpr double percent = 100;
    const workspace_result& w = r.m_workspaces.front();
    const auto found = w.m_refused.find("rate_exceeded");
    const std::uint64_t count = found == w.m_refused.end() ? 0 : found->second;
    return percent * static_cast<double>(count) / static_cast<double>(w.m_sent);
}

double overdrawer_served_percent(const load_result& r)
{
    constexpr double percent = 100;
    return percent * served_share(r.m_workspaces.front());
}

double median_time_to_refusal(const load_result& r)
{
    std::vector<double> times;
    for (const sample& s : r.m_workspaces.front().m_samples)
        if (!s.m_served)
            times.push_back(s.m_ended - s.m_intended);
    if (times.empty())
        return 0;
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

double worst_of_the_others_percent(const load_result& r)
{
    constexpr double percent = 100;
    load_result others = r;
    others.m_workspaces.erase(others.m_workspaces.begin());
    return percent * served_share(worst_served(others));
}

double first_to_second_served(const load_result& r)
{
    const auto& w = r.m_workspaces;
    return static_cast<double>(w[0].m_served) /
           static_cast<double>(w[1].m_served);
}

double served_percent(const load_result& r)
{
    constexpr double percent = 100;
    return percent * served_share_between(r, 0, r.m_seconds);
}

constexpr const char* zone_steps = R"({"steps":[
    {"at":4,"do":"zone_out","zone":"zone-2"},
    {"at":8,"do":"zone_in","zone":"zone-2"}]})";
constexpr const char* zone_failure_steps = R"({"steps":[
    {"at":4,"do":"kill_endpoint","index":1},
    {"at":8,"do":"start_endpoint","index":1}]})";

const std::vector<variant> overload_variants{
    {"refused on arrival", "{}"},
    {"every request waits",
     R"({"fleet":{"daemon_flags":["--queue-unbounded"]}})"}};

const std::vector<measure>& all_measures()
{
    static const std::vector<measure> measures{
        {"reads",
         "measure_reads.json",
         "reads at replicas, %",
         replica_percent,
         {{"10 ms lag", R"({"fleet":{"lag_ms":10}})"},
          {"100 ms lag", R"({"fleet":{"lag_ms":100}})"},
          {"1000 ms lag", R"({"fleet":{"lag_ms":1000}})"},
          {"primary only, 100 ms lag",
           R"({"fleet":{"lag_ms":100,"daemon_flags":["--reads-at-primary"]}})"}}},
        {"failover",
         "measure_failover.json",
         "longest gap in writes, ms",
         longest_write_gap,
         {{"fleet promotes", "{}"},
          {"group restarted after 10 s",
           R"({"steps":[{"at":3,"do":"kill_group"},
                        {"at":13,"do":"start_group"}]})"}}},
        {"worst_served",
         "measure_worst_served.json",
         "served of the worst-served workspace, %",
         worst_served_percent,
         {{"fair queue", "{}"},
          {"first come, first served",
           R"({"fleet":{"daemon_flags":["--queue-by-arrival"]}})"}}},
        {"worst_latency",
         "measure_worst_served.json",
         "highest 99th percentile inside the rate, ms",
         worst_p99,
         {{"fair queue", "{}"},
          {"first come, first served",
           R"({"fleet":{"daemon_flags":["--queue-by-arrival"]}})"}}},
        {"overload_refusal", "measure_overload.json",
         "median time to a refusal, ms", median_time_to_refusal,
         overload_variants},
        {"overload_served", "measure_overload.json",
         "served of the workspace that overdraws, %", overdrawer_served_percent,
         overload_variants},
        {"overload_others", "measure_overload.json",
         "served of the worst-served other, %", worst_of_the_others_percent,
         overload_variants},
        {"fleet_fairness",
         "measure_fleet_fairness.json",
         "served through one daemon to served through four, ratio",
         first_to_second_served,
         {{"fair queue at each daemon", "{}"},
          {"first come, first served",
           R"({"fleet":{"daemon_flags":["--queue-by-arrival"]}})"}}},
        {"one_proxy",
         "measure_one_proxy.json",
         "refusals inside the rate, %",
         rate_refusals_percent,
         {{"shares that move", "{}"},
          {"even static split",
           R"({"fleet":{"daemon_flags":["--even-shares"]}})"}}},
        {"one_proxy_transactions",
         "measure_one_proxy_transactions.json",
         "transactions served, %",
         served_percent,
         {{"connections that move", "{}"},
          {"even static split",
           R"({"fleet":{"daemon_flags":["--even-shares"]}})"}}},
        {"zone",
         "measure_zone.json",
         "requests served, %",
         served_percent,
         {{"zone taken out and back", zone_steps},
          {"zone's endpoint fails and returns", zone_failure_steps},
          {"nothing happens", "{}"}}},
    };
    return measures;
}

json read_base(const std::string& file)
{
    std::ifstream in(LOAD_EXPERIMENTS "/" + file);
    if (!in)
        throw experiment_error("no such file: " + file);
    return json::parse(in);
}

json run_variant(const measure& m, const variant& v)
{
    json text = read_base(m.m_file);
    text.merge_patch(json::parse(v.m_patch));
    json out{{"measure", m.m_name},
             {"variant", v.m_name},
             {"figure", m.m_figure_name}};
    try
    {
        const load_result result = play(read_experiment(text));
        out["value"] = m.m_figure(result);
        out["result"] = to_json(result);
    }
    catch (const support::spawn_error&)
    {
        // A policy that this build doesn't have yet: nothing was measured.
        out["value"] = nullptr;
    }
    return out;
}

}

json run_measures(const std::string& only)
{
    json out = json::array();
    for (const measure& m : all_measures())
        for (const variant& v : m.m_variants)
            if (only.empty() || only == m.m_name)
                out.push_back(run_variant(m, v));
    return out;
}

std::string measures_table(const json& measures)
{
    std::string text =
        "| measure | policy | figure | value |\n|---|---|---|---|\n";
    for (const json& m : measures)
    {
        std::array<char, 32> value{"not measured"};
        if (!m.at("value").is_null())
            std::snprintf(value.data(), value.size(), "%.1f",
                          m.at("value").get<double>());
        for (const char* field : {"measure", "variant", "figure"})
            text.append("| ")
                .append(m.at(field).get<std::string>())
                .append(" ");
        text.append("| ").append(value.data()).append(" |\n");
    }
    return text;
}

}
