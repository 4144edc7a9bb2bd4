#include <load/arrivals.hpp>

#include <algorithm>
#include <random>

namespace bluebellspoke::load
{

namespace
{

void draw_workspace(std::vector<arrival>& arrivals, const experiment& e,
                    std::size_t index)
{
    const workspace_load& w = e.m_workspaces[index];
    if (w.m_load <= 0)
        return;
    // A stream of its own: changing one workspace leaves the others alone.
    std::seed_seq seed{e.m_seed, static_cast<std::uint64_t>(index)};
    std::mt19937_64 source(seed);
    std::exponential_distribution<double> gap(w.m_load);
    std::bernoulli_distribution write(w.m_writes);
    std::uniform_int_distribution<std::size_t> session(0, w.m_sessions - 1);
    double at = w.m_from + gap(source);
    const double end = std::min(w.m_to, e.m_seconds);
    for (; at < end; at += gap(source))
        arrivals.push_back(
            {std::chrono::duration_cast<std::chrono::nanoseconds>(
                 std::chrono::duration<double>(at)),
             index, session(source), write(source)});
}

}

std::vector<arrival> draw_arrivals(const experiment& e)
{
    std::vector<arrival> arrivals;
    for (std::size_t i = 0; i < e.m_workspaces.size(); ++i)
        draw_workspace(arrivals, e, i);
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& a, const arrival& b)
              {
                  return a.m_at < b.m_at;
              });
    return arrivals;
}

}
