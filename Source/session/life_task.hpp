#ifndef BLUEBELLSPOKE_SESSION_LIFE_TASK_HPP
#define BLUEBELLSPOKE_SESSION_LIFE_TASK_HPP

#include <filesystem>
#include <functional>
#include <string>

#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// What the life task needs of its surroundings.
struct life_surroundings
{
    std::string m_ready_path;
    std::filesystem::path m_settings_file;
    /// Reads the settings anew. Throws what the adapter throws.
    std::function<site_settings()> m_reload;
};

/// Answers probes, takes signals, and returns when the process is to end.
/// Throws loop_error.
void run_life_task(const site_settings& settings,
                   const life_surroundings& around, site_mailboxes& boxes);

}

#endif
