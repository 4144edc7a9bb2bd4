#ifndef BLUEBELLSPOKE_DAEMON_PLACE_CHARTS_HPP
#define BLUEBELLSPOKE_DAEMON_PLACE_CHARTS_HPP

#include <filesystem>
#include <string_view>

#include <chart/chart.hpp>

namespace bluebellspoke
{

enum class endpoint_life : std::uint8_t
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
    settled,
    removed,
};

enum class endpoint_action : std::uint8_t
{
    begin_return,
};

enum class zone_life : std::uint8_t
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
    settled,
};

/// The zone chart has no actions.
enum class zone_action : std::uint8_t
{
};

using endpoint_chart =
    typed_chart<endpoint_life, endpoint_event, endpoint_action>;
using zone_chart = typed_chart<zone_life, zone_event, zone_action>;

/// The lifecycle charts of endpoints and availability zones.
struct place_charts
{
    endpoint_chart m_endpoint;
    zone_chart m_zone;
};

/// Reads endpoint.scxml and zone.scxml. Throws chart_error.
place_charts load_place_charts(const std::filesystem::path& folder);
std::string_view to_string(endpoint_life state) noexcept;
std::string_view to_string(zone_life state) noexcept;

}

#endif
