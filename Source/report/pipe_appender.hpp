#ifndef BLUEBELLSPOKE_REPORT_PIPE_APPENDER_HPP
#define BLUEBELLSPOKE_REPORT_PIPE_APPENDER_HPP

#include <atomic>
#include <cstdint>

#include <log4cplus/appender.h>

namespace bluebellspoke
{

/// Writes whole lines to a descriptor that may be a pipe, and drops those that
/// would block.
class pipe_appender : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor) noexcept;
    ~pipe_appender() override;
    void close() override;

    std::uint64_t dropped() const noexcept;

private:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

    int m_descriptor;
    int m_half; ///< Bytes of half of the pipe; 0 if it is none.
    std::atomic<std::uint64_t> m_dropped{0};
};

}

#endif
