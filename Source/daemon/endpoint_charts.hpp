#ifndef BLUEBELLSPOKE_DAEMON_ENDPOINT_CHARTS_HPP
#define BLUEBELLSPOKE_DAEMON_ENDPOINT_CHARTS_HPP

#include <filesystem>
#include <string_view>

#include <chart/chart.hpp>

namespace bluebellspoke
{

enum class endpoint_lifecycle : std::uint8_t
{
    joining,
    serving,
    leaving,
    returning,
    gone,
};

enum class endpoint_event : std::uint8_t
{
    reached,
    taken_out,
    put_back,
    ramped_up,
    removed,
};

enum class endpoint_action : std::uint8_t
{
    begin_ramp_up,
};

enum class zone_lifecycle : std::uint8_t
{
    in,
    going_out,
    out,
    returning,
};

enum class zone_event : std::uint8_t
{
    taken_out,
    emptied,
    put_back,
    ramped_up,
};

/// The zone chart has no actions.
enum class zone_action : std::uint8_t
{
};

using endpoint_chart =
    typed_chart<endpoint_lifecycle, endpoint_event, endpoint_action>;
using zone_chart = typed_chart<zone_lifecycle, zone_event, zone_action>;

/// The lifecycle charts of endpoints and availability zones.
struct endpoint_charts
{
    endpoint_chart m_endpoint;
    zone_chart m_zone;
};

/// Reads endpoint.scxml and zone.scxml. Throws chart_error.
endpoint_charts load_endpoint_charts(const std::filesystem::path& folder);
std::string_view to_string(endpoint_lifecycle state) noexcept;
std::string_view to_string(zone_lifecycle state) noexcept;

}

#endif
