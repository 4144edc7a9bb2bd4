#include <report/pipe_appender.hpp>

#include <algorithm>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <log4cplus/spi/loggingevent.h>

namespace bluebellspoke
{

namespace
{

int half_of_pipe(int descriptor) noexcept
{
    return std::max(fcntl(descriptor, F_GETPIPE_SZ), 0) / 2;
}

// What isn't a pipe has room.
bool has_room(int descriptor, int half) noexcept
{
    int taken = 0;
    return half == 0 || ioctl(descriptor, FIONREAD, &taken) != 0 ||
           taken < half;
}

}

pipe_appender::pipe_appender(int descriptor) noexcept
    : m_descriptor(descriptor), m_half(half_of_pipe(descriptor))
{
}

pipe_appender::~pipe_appender()
{
    destructorImpl();
}

void pipe_appender::close() {}

std::uint64_t pipe_appender::dropped() const noexcept
{
    return m_dropped;
}

// Lines on ordinary work leave half of the pipe to refusals and failures.
// A pipe that polls as writable takes PIPE_BUF bytes without blocking. The
// descriptor's own flags are left alone: whoever started the process shares
// them.
void pipe_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    log4cplus::tstring line = formatEvent(event);
    if (line.size() > PIPE_BUF)
    {
        line.resize(PIPE_BUF - 1);
        line.push_back('\n');
    }
    pollfd ready{m_descriptor, POLLOUT, 0};
    const bool free = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    const bool ordinary = event.getLogLevel() < log4cplus::INFO_LOG_LEVEL;
    if (!free || (ordinary && !has_room(m_descriptor, m_half)) ||
        write(m_descriptor, line.data(), line.size()) < 0)
        ++m_dropped;
}

}
