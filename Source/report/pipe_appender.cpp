#include <report/pipe_appender.hpp>

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <log4cplus/spi/loggingevent.h>

namespace bluebellspoke
{

pipe_appender::pipe_appender(int descriptor) noexcept : m_descriptor(descriptor)
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
    if (!free || write(m_descriptor, line.data(), line.size()) < 0)
        ++m_dropped;
}

}
