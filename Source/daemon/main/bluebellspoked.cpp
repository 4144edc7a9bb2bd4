#include <cstdio>
#include <exception>
#include <span>

#include <daemon/daemon.hpp>
#include <daemon/daemon_settings.hpp>
#include <platform/site_program.hpp>
#include <report/event.hpp>

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

}

int main(int argc, char** argv)
{
    using namespace bluebellspoke;
    try
    {
        const std::span<const char* const> arguments(
            argv, static_cast<std::size_t>(argc));
        if (is_site_program(arguments, process_environment()))
        {
            run_site_program(arguments, process_environment());
            return exit_ok;
        }
        const daemon_settings settings =
            read_daemon_settings(arguments, process_environment());
        start_log(settings.m_name);
        run_daemon(settings);
        return exit_ok;
    }
    catch (const options_exit&)
    {
        return exit_ok;
    }
    catch (const options_error& e)
    {
        std::fputs(e.what(), stderr);
        return exit_usage;
    }
    catch (const std::exception& e)
    {
        log_event(event_id::daemon_failed, {{"failure", e.what()}});
        return exit_failed;
    }
}
