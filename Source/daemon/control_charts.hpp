#ifndef BLUEBELLSPOKE_DAEMON_CONTROL_CHARTS_HPP
#define BLUEBELLSPOKE_DAEMON_CONTROL_CHARTS_HPP

#include <cstdint>
#include <filesystem>

#include <chart/chart.hpp>

namespace bluebellspoke
{

enum class lease_state : std::uint8_t
{
    absent,
    reading,
    writing,
    withdrawing,
    checking,
    held,
};

enum class lease_event : std::uint8_t
{
    requested,
    free,
    owned,
    held_by_other,
    written,
    unanswered,
    released,
};

enum class lease_action : std::uint8_t
{
    read_object,
    write_claim,
    write_release,
    report_granted,
    report_denied,
    report_unanswered,
};

using lease_chart = typed_chart<lease_state, lease_event, lease_action>;

/// Reads lease.scxml. Throws chart_error.
lease_chart load_lease_chart(const std::filesystem::path& folder);

}

#endif
