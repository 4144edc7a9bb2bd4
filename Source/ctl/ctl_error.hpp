#ifndef BLUEBELLSPOKE_CTL_CTL_ERROR_HPP
#define BLUEBELLSPOKE_CTL_CTL_ERROR_HPP

#include <cstdint>
#include <exception>
#include <string>

namespace bluebellspoke
{

/// How bluebellspokectl ends; docs/bluebellspokectl.md lists them.
enum class exit_code : std::uint8_t
{
    ok = 0,
    failed = 1,
    usage = 2,
    conflict = 3,
    not_in_force = 4,
    refused = 5,
    older_copy = 6,
};

/// Why a command didn't do what it was asked for.
enum class ctl_fault : std::uint8_t
{
    platform_unavailable,
    outcome_unknown,
    edit_conflict,
    settings_refused,
    platform_older_copy,
    endpoints_change_too_large,
    earlier_change_pending,
    unknown_node,
    unknown_key,
    unknown_endpoint,
    unknown_vm,
    daemon_unreachable,
    unknown_database,
    unknown_workspace,
    not_explained,
};

struct fault_entry
{
    ctl_fault m_fault;
    exit_code m_code;
    const char* m_name;
    const char* m_advice; ///< What to do next.
};

const fault_entry& describe(ctl_fault fault) noexcept;

/// A command failed; says what to do next.
class ctl_error : public std::exception
{
public:
    ctl_error(ctl_fault fault, std::string detail);
    const char* what() const noexcept override;

    ctl_fault m_fault;
    std::string m_detail;

private:
    std::string m_text;
};

}

#endif
