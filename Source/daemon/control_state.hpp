#ifndef BLUEBELLSPOKE_DAEMON_CONTROL_STATE_HPP
#define BLUEBELLSPOKE_DAEMON_CONTROL_STATE_HPP

#include <string>

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>
#include <decide/settings_tree.hpp>
#include <platform/platform_client.hpp>

namespace bluebellspoke
{

/// What the control task owns; nobody else touches it.
struct control_state
{
    control_state(const daemon_settings& daemon, mailboxes& boxes);

    const daemon_settings& m_daemon;
    mailboxes& m_boxes;
    loop m_loop;
    platform_client m_platform;
    settings_tree m_tree;
    std::uint64_t m_revision = 0; ///< Of the platform's store, as last heard.
    std::uint64_t m_version = 0;  ///< Of the settings in force.
    bool m_platform_answers = true;
    std::size_t m_members = 1;
    timer m_retry_settings;
    timer m_retry_secrets;
    timer m_vm_poll;
};

// control_settings.cpp
/// Lists the whole tree, then watches it for good.
void load_settings(control_state& c);
void watch_settings(control_state& c);
/// Notes that the platform answered or did not.
void note_platform(control_state& c, bool answers);

// control_secrets.cpp
/// Reads the fleet's session secrets, or makes them when there are none.
void load_secrets(control_state& c);

// control_fleet.cpp
void poll_vms(control_state& c);

}

#endif
