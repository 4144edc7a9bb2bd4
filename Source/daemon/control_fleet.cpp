#include <daemon/control_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds call_limit{2};
constexpr std::chrono::seconds poll_period{1};

void tell_members(control_state& c, std::span<const platform_vm> vms)
{
    members_changed m;
    for (const platform_vm& vm : vms)
        m.m_names.push_back(vm.m_name);
    c.m_boxes.m_pool.post(std::move(m));
}

void on_vms(control_state& c, platform_result<std::vector<platform_vm>>& result)
{
    c.m_vm_poll.start_once(poll_period);
    const auto* vms = std::get_if<std::vector<platform_vm>>(&result);
    if (vms == nullptr)
        return;
    note_vms(c, *vms);
    tell_members(c, *vms);
    const std::size_t members = std::max<std::size_t>(vms->size(), 1);
    if (members == c.m_members)
        return;
    c.m_members = members;
    c.m_boxes.m_front.post(fleet_changed{members});
}

}

void poll_vms(control_state& c)
{
    c.m_platform.vms(call_limit,
                     [&c](platform_result<std::vector<platform_vm>>& result)
                     {
                         on_vms(c, result);
                     });
}

}
