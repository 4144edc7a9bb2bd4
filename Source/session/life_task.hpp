#ifndef BLUEBELLSPOKE_SESSION_LIFE_TASK_HPP
#define BLUEBELLSPOKE_SESSION_LIFE_TASK_HPP

#include <filesystem>
#include <functional>
#include <string>

#include <session/explain_codec.hpp>
#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// Dependencies of the life task.
struct life_dependencies
{
    std::string m_ready_path; ///< HTTP path of the readiness probe.
    std::filesystem::path m_settings_file;
    /// Reads the settings again. Passes on the exceptions of the adapter.
    std::function<site_settings()> m_read_settings;
    explain_codec m_explain_codec;
};

/// Blocks SIGTERM and SIGHUP in this thread and in those that it starts, so
/// that one that arrives early waits for the life task. Called before any
/// thread is started.
void block_life_signals();

/// Serves readiness probes, metrics and explanations, handles SIGTERM and
/// SIGHUP, reloads changed settings, and returns when the process has to end.
/// Throws loop_error.
void run_life_task(const site_settings& settings,
                   const life_dependencies& dependencies,
                   site_mailboxes& boxes);

}

#endif
