#include <decide/load/endpoint_load.hpp>

#include <algorithm>
#include <cmath>

namespace bluebellspoke
{

namespace
{

double ratio(duration part, duration whole)
{
    return std::chrono::duration<double>(part) /
           std::chrono::duration<double>(whole);
}

void record_used(endpoint_load& load, double used, double weight,
                 time_point measured_at)
{
    ++load.m_reports;
    load.m_used +=
        std::max(weight, 1.0 / load.m_reports) * (used - load.m_used);
    load.m_measured_at = measured_at;
}

}

void record_busy_slots(endpoint_load& load, std::uint32_t busy,
                       time_point measured_at)
{
    if (load.m_slots == 0 || measured_at <= load.m_measured_at)
        return;
    const double used = static_cast<double>(busy) / load.m_slots;
    const double weight = 1 - std::exp(-ratio(measured_at - load.m_measured_at,
                                              load_smoothing_time));
    record_used(load, std::min(used, 1.0), weight, measured_at);
}

void record_full_slots(endpoint_load& load, time_point refused_at)
{
    if (load.m_slots > 0)
        record_used(load, 1, refusal_weight, refused_at);
}

double load_trust(const endpoint_load& load, time_point now)
{
    const duration age = std::max(now - load.m_measured_at, duration{});
    return load.m_reports / (load.m_reports + half_trusted_reports) *
           std::exp(-ratio(age, load_trust_time));
}

}
