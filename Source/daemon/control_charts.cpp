#include <daemon/control_charts.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 6> lease_states{
    "absent", "reading", "writing", "withdrawing", "checking", "held"};
constexpr std::array<std::string_view, 7> lease_events{
    "requested", "free",       "owned",   "held_by_other",
    "written",   "unanswered", "released"};
constexpr std::array<std::string_view, 6> lease_actions{
    "read_object",    "write_claim",   "write_release",
    "report_granted", "report_denied", "report_unanswered"};

}

lease_chart load_lease_chart(const std::filesystem::path& folder)
{
    return {load_chart(folder,
                       {"lease", lease_states, lease_events, lease_actions})};
}

}
