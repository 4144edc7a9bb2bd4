#include <ctl/commands.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

#include <ctl/admin_call.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::ordered_json;

constexpr int name_width = 16;
constexpr int zone_width = 14;
constexpr int state_width = 12;

std::string list_state(const daemon_status& m)
{
    if (!m.m_listed)
        return "no";
    return m.m_vm.m_state == vm_state::leaving ? "leaving" : "live";
}

ordered_json to_json(const daemon_status& m)
{
    ordered_json out{{"name", m.m_vm.m_name},
                     {"zone", m.m_vm.m_zone},
                     {"listed", list_state(m)},
                     {"answers", m.m_status.has_value()}};
    if (!m.m_status)
        return out;
    out["state"] = m.m_status->m_state;
    out["standing"] = m.m_status->m_standing;
    out["in_force"] = m.m_status->m_applied_version;
    out["known"] = m.m_status->m_known_version;
    out["refused"] = m.m_status->m_rejected_nodes;
    return out;
}

void print_row(std::ostream& out, const std::array<std::string, 6>& cells)
{
    constexpr std::array widths{name_width, zone_width, state_width,
                                state_width, state_width};
    for (std::size_t i = 0; i + 1 < cells.size(); ++i)
        out << std::left << std::setw(widths[i]) << cells[i];
    out << cells.back() << "\n";
}

void print_member(std::ostream& out, const daemon_status& m)
{
    const platform_vm& vm = m.m_vm;
    if (!m.m_status)
    {
        print_row(out,
                  {vm.m_name, vm.m_zone, list_state(m), "no answer", "-", "-"});
        return;
    }
    const peer_status& s = *m.m_status;
    print_row(out, {vm.m_name, vm.m_zone, list_state(m), s.m_state,
                    s.m_standing, std::to_string(s.m_applied_version)});
    for (const std::string& node : s.m_rejected_nodes)
        out << "  cannot take /" << node << "\n";
}

command_result status(operator_session& s, words)
{
    command_result result;
    result.m_json = ordered_json::array();
    std::ostringstream text;
    print_row(text, {"VM", "zone", "listed", "state", "standing", "in force"});
    for (const daemon_status& m : ask_fleet(s))
    {
        result.m_json.push_back(to_json(m));
        print_member(text, m);
    }
    result.m_text = text.str();
    return result;
}

command_result in_force(operator_session& s, words arguments)
{
    const std::uint64_t version = read_version(arguments[0]);
    command_result result = report_edit(await_version(s, version));
    return result;
}

platform_vm find_vm(operator_session& s, const std::string& name)
{
    for (const platform_vm& vm : list_vms(s))
        if (vm.m_name == name)
            return vm;
    throw ctl_error(ctl_fault::unknown_vm, name);
}

peer_status ask_status(operator_session& s, const platform_vm& vm,
                       const peer_message& message)
{
    const auto answer = ask_daemon(s, vm, message);
    const auto* found = answer ? std::get_if<peer_status>(&*answer) : nullptr;
    if (found == nullptr)
        throw ctl_error(ctl_fault::daemon_unreachable,
                        vm.m_name + " at " + vm.m_peer_address);
    return *found;
}

command_result drain(operator_session& s, words arguments)
{
    const platform_vm vm = find_vm(s, arguments[0]);
    ask_status(s, vm, peer_drain_request());
    command_result result;
    result.m_json["draining"] = vm.m_name;
    result.m_text = vm.m_name + " drains; its process ends when it has\n";
    return result;
}

command_result dump(operator_session& s, words arguments)
{
    const platform_vm vm = find_vm(s, arguments[0]);
    const peer_status found = ask_status(s, vm, peer_status_request());
    const auto body =
        call_admin(s.m_loop, parse_address(found.m_admin_address), "/dump");
    if (!body)
        throw ctl_error(ctl_fault::daemon_unreachable,
                        vm.m_name + " at " + found.m_admin_address);
    return {*body, ordered_json::parse(*body)};
}

constexpr std::array commands{
    command{"status", 0, 0, "status", "the fleet in one table", status},
    command{"in-force", 1, 1, "in-force VERSION",
            "waits until a version is in force, names who lacks it", in_force},
    command{"drain", 1, 1, "drain VM", "ends a daemon after its work", drain},
    command{"dump", 1, 1, "dump VM", "a daemon's state as JSON", dump},
};

}

std::span<const command> fleet_commands() noexcept
{
    return commands;
}

}
