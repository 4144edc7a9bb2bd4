#ifndef BLUEBELLSPOKE_SUPPORT_DAEMON_BUILD_HPP
#define BLUEBELLSPOKE_SUPPORT_DAEMON_BUILD_HPP

#include <optional>
#include <string>

namespace bluebellspoke::support
{

/// A daemon program and the charts that belong to it.
struct daemon_build
{
    std::string m_program;
    std::string m_charts;
};

/// The build under test.
daemon_build current_build();

/// The build of an earlier commit: a checkout built in its folder `target`,
/// named by the environment variable BLUEBELLSPOKE_OLD_BUILD. Empty when the
/// variable isn't set. Throws std::runtime_error when it names no such build.
std::optional<daemon_build> old_build();

}

#endif
