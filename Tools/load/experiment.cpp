#include <load/experiment.hpp>

#include <array>
#include <fstream>
#include <utility>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, step_kind>, 8> step_names{{
    {"kill_endpoint", step_kind::kill_endpoint},
    {"start_endpoint", step_kind::start_endpoint},
    {"kill_group", step_kind::kill_group},
    {"start_group", step_kind::start_group},
    {"zone_out", step_kind::zone_out},
    {"zone_in", step_kind::zone_in},
    {"kill_daemon", step_kind::kill_daemon},
    {"start_daemon", step_kind::start_daemon},
}};

workspace_load read_workspace(const json& w)
{
    workspace_load out;
    out.m_name = w.at("name").get<std::string>();
    out.m_rate = w.value("rate", out.m_rate);
    out.m_burst = w.value("burst", out.m_rate);
    out.m_weight = w.value("weight", out.m_weight);
    out.m_load = w.value("load", out.m_load);
    out.m_writes = w.value("writes", out.m_writes);
    out.m_sessions = w.value("sessions", out.m_sessions);
    out.m_from = w.value("from", out.m_from);
    out.m_to = w.value("to", out.m_to);
    if (w.contains("max_age_ms"))
        out.m_max_age_ms = w.at("max_age_ms").get<unsigned>();
    if (w.contains("transaction_ms"))
        out.m_transaction_ms = w.at("transaction_ms").get<unsigned>();
    if (w.contains("daemon"))
        out.m_daemon = w.at("daemon").get<std::size_t>();
    if (out.m_sessions == 0)
        throw experiment_error("sessions");
    return out;
}

experiment_step read_step(const json& s)
{
    experiment_step out;
    out.m_at = s.at("at").get<double>();
    out.m_index = s.value("index", out.m_index);
    out.m_zone = s.value("zone", out.m_zone);
    const std::string name = s.at("do").get<std::string>();
    for (const auto& [known, kind] : step_names)
        if (name == known)
        {
            out.m_kind = kind;
            return out;
        }
    throw experiment_error("do: " + name);
}

}

experiment_error::experiment_error(std::string field)
    : m_text("experiment: " + std::move(field))
{
}

const char* experiment_error::what() const noexcept
{
    return m_text.c_str();
}

experiment read_experiment(const json& text)
{
    try
    {
        experiment e;
        e.m_name = text.at("name").get<std::string>();
        e.m_seed = text.value("seed", e.m_seed);
        e.m_seconds = text.value("seconds", e.m_seconds);
        e.m_time_limit_ms = text.value("time_limit_ms", e.m_time_limit_ms);
        e.m_fleet =
            support::read_fleet_options(text.value("fleet", json::object()));
        for (const json& w : text.at("workspaces"))
            e.m_workspaces.push_back(read_workspace(w));
        for (const json& s : text.value("steps", json::array()))
            e.m_steps.push_back(read_step(s));
        return e;
    }
    catch (const json::exception& failure)
    {
        throw experiment_error(failure.what());
    }
}

experiment read_experiment_file(const std::filesystem::path& file)
{
    std::ifstream in(file);
    if (!in)
        throw experiment_error("no such file: " + file.string());
    return read_experiment(json::parse(in, nullptr, false));
}

}
