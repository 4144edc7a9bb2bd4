#include <ctl/ctl_error.hpp>

#include <array>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::array catalogue{
    fault_entry{ctl_fault::platform_unavailable, exit_code::failed,
                "platform_unavailable",
                "nothing was changed; try again when the platform answers"},
    fault_entry{ctl_fault::outcome_unknown, exit_code::failed,
                "outcome_unknown",
                "the change may have taken effect; look with 'show' before "
                "another try"},
    fault_entry{ctl_fault::edit_conflict, exit_code::conflict, "edit_conflict",
                "nothing was changed; look at the other change and edit again"},
    fault_entry{ctl_fault::settings_refused, exit_code::refused,
                "settings_refused",
                "nothing was changed; correct the value, docs/SETTINGS.md "
                "lists the fields"},
    fault_entry{ctl_fault::platform_older_copy, exit_code::older_copy,
                "platform_older_copy",
                "nothing was changed; the platform answers from an older copy "
                "of its store than the daemons know, have that mended first"},
    fault_entry{ctl_fault::endpoints_change_too_large, exit_code::refused,
                "endpoints_change_too_large",
                "nothing was changed; add or remove one endpoint, wait until "
                "that is in force, then the next"},
    fault_entry{ctl_fault::earlier_change_pending, exit_code::refused,
                "earlier_change_pending",
                "nothing was changed; 'status' shows who lacks the node's "
                "last version; edit again when all have it"},
    fault_entry{ctl_fault::unknown_node, exit_code::usage, "unknown_node",
                "'show' lists the nodes there are"},
    fault_entry{ctl_fault::unknown_key, exit_code::usage, "unknown_key",
                "'show WORKSPACE' lists its keys"},
    fault_entry{ctl_fault::unknown_endpoint, exit_code::usage,
                "unknown_endpoint", "'show SERVICE' lists its endpoints"},
    fault_entry{ctl_fault::unknown_vm, exit_code::usage, "unknown_vm",
                "'status' lists the VMs"},
    fault_entry{ctl_fault::daemon_unreachable, exit_code::failed,
                "daemon_unreachable",
                "see the VM's log and whether its addresses can be reached "
                "from here"},
    fault_entry{ctl_fault::unknown_database, exit_code::usage,
                "unknown_database",
                "the process's configuration has no route for it"},
    fault_entry{ctl_fault::unknown_workspace, exit_code::usage,
                "unknown_workspace",
                "the process's configuration doesn't have it"},
    fault_entry{ctl_fault::not_explained, exit_code::failed, "not_explained",
                "ask again in a few seconds, or another process; see whether "
                "the address is that of /metrics"},
};

consteval bool in_order()
{
    for (std::size_t i = 0; i < catalogue.size(); ++i)
        if (static_cast<std::size_t>(catalogue[i].m_fault) != i)
            return false;
    return true;
}
static_assert(in_order());

}

const fault_entry& describe(ctl_fault fault) noexcept
{
    return catalogue[static_cast<std::size_t>(fault)];
}

ctl_error::ctl_error(ctl_fault fault, std::string detail)
    : m_fault(fault), m_detail(std::move(detail))
{
    const fault_entry& entry = describe(fault);
    m_text.append(entry.m_name).append(": ").append(m_detail).append("\n");
    m_text.append("next: ").append(entry.m_advice);
}

const char* ctl_error::what() const noexcept
{
    return m_text.c_str();
}

}
