#ifndef BLUEBELLSPOKE_CTL_ADMIN_CALL_HPP
#define BLUEBELLSPOKE_CTL_ADMIN_CALL_HPP

#include <optional>
#include <string>

#include <model/address.hpp>
#include <task/loop.hpp>

namespace bluebellspoke
{

struct admin_answer
{
    int m_status = 0;
    std::string m_body;
};

/// GET on a process's admin or metrics address. Absent: no answer in time.
std::optional<admin_answer> ask_admin(loop& l, const address& admin,
                                      const std::string& path);
/// GET on a daemon's admin address. Absent: no answer, or not a good one.
std::optional<std::string> call_admin(loop& l, const address& admin,
                                      const std::string& path);

}

#endif
