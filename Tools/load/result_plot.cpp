#include <load/load_result.hpp>

#include <algorithm>

namespace bluebellspoke::load
{

namespace
{

constexpr double width = 800;  // Pixels.
constexpr double height = 240; // Pixels.
constexpr double bin_ms = 100;

struct bin
{
    double m_served = 0;
    double m_refused = 0;
};

std::vector<bin> count_bins(const load_result& r)
{
    constexpr double ms_per_second = 1000;
    const auto count =
        static_cast<std::size_t>(r.m_seconds * ms_per_second / bin_ms) + 1;
    std::vector<bin> bins(count);
    for (const workspace_result& w : r.m_workspaces)
        for (const sample& s : w.m_samples)
        {
            const auto at = static_cast<std::size_t>(s.m_ended / bin_ms);
            if (at < count)
                (s.m_served ? bins[at].m_served : bins[at].m_refused) += 1;
        }
    return bins;
}

std::string polyline(const std::vector<bin>& bins, double bin::*value,
                     double most, const char* colour)
{
    std::string points;
    for (std::size_t i = 0; i < bins.size(); ++i)
    {
        const double x =
            width * static_cast<double>(i) / static_cast<double>(bins.size());
        const double y = height - height * bins[i].*value / most;
        points.append(std::to_string(x)).append(",");
        points.append(std::to_string(y)).append(" ");
    }
    return "<polyline fill=\"none\" stroke=\"" + std::string(colour) +
           "\" points=\"" + points + "\"/>\n";
}

}

std::string to_svg(const load_result& r)
{
    const std::vector<bin> bins = count_bins(r);
    double most = 1;
    for (const bin& b : bins)
        most = std::max({most, b.m_served, b.m_refused});
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" "
                      "height=\"270\" font-family=\"sans-serif\" "
                      "font-size=\"12\">\n";
    svg.append(polyline(bins, &bin::m_served, most, "green"));
    svg.append(polyline(bins, &bin::m_refused, most, "red"));
    svg.append("<text x=\"4\" y=\"262\">").append(r.m_experiment);
    svg.append(": answers in 100 ms, at most ");
    svg.append(std::to_string(static_cast<long>(most)));
    return svg.append("; served green, refused red</text>\n</svg>\n");
}

}
