#include <support/daemon_build.hpp>

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace bluebellspoke::support
{

daemon_build current_build()
{
    return {TEST_DAEMON, TEST_CHARTS};
}

std::optional<daemon_build> old_build()
{
    const char* named = std::getenv("BLUEBELLSPOKE_OLD_BUILD");
    if (named == nullptr)
        return std::nullopt;
    const std::filesystem::path folder = named;
    const daemon_build build{folder /
                                 "target/Source/daemon/main/bluebellspoked",
                             folder / "Source/charts"};
    if (!std::filesystem::exists(build.m_program) ||
        !std::filesystem::exists(build.m_charts))
        throw std::runtime_error("no build of the daemon in " +
                                 folder.string());
    return build;
}

}
