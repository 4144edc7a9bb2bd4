#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>
#include <report/event.hpp>
#include <report/pipe_appender.hpp>

using namespace bluebellspoke;

namespace
{

/// A pipe whose reader reads only when told to.
class idle_reader
{
public:
    idle_reader()
    {
        if (pipe(m_ends.data()) != 0)
            throw std::runtime_error("no pipe");
    }
    ~idle_reader()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    idle_reader(const idle_reader&) = delete;
    idle_reader& operator=(const idle_reader&) = delete;

    int writing_end() const noexcept
    {
        return m_ends[1];
    }
    /// Everything that is in the pipe; there must be something.
    std::string take()
    {
        std::string taken(std::size_t{1} << 20U, '\0');
        const ssize_t count = read(m_ends[0], taken.data(), taken.size());
        taken.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return taken;
    }

private:
    std::array<int, 2> m_ends{};
};

log4cplus::spi::InternalLoggingEvent line_of(log4cplus::LogLevel level,
                                             const std::string& text)
{
    return {"bluebellspoke", level, text, __FILE__, __LINE__, __func__};
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++count;
    return count;
}

// Standard output goes to the pipe while this lives.
class redirected_output
{
public:
    explicit redirected_output(int to) : m_kept(dup(STDOUT_FILENO))
    {
        dup2(to, STDOUT_FILENO);
    }
    ~redirected_output()
    {
        dup2(m_kept, STDOUT_FILENO);
        close(m_kept);
    }
    redirected_output(const redirected_output&) = delete;
    redirected_output& operator=(const redirected_output&) = delete;

private:
    int m_kept;
};

}

SCENARIO("Nobody reads the log")
{
    idle_reader reader;
    pipe_appender log(reader.writing_end());
    constexpr int many = 20'000;
    const std::string text(100, 'x');

    WHEN("far more is logged than the pipe holds")
    {
        const auto begun = std::chrono::steady_clock::now();
        for (int i = 0; i < many; ++i)
            log.doAppend(line_of(log4cplus::INFO_LOG_LEVEL, text));
        const auto passed = std::chrono::steady_clock::now() - begun;

        THEN("nothing waits, and what was left out is counted")
        {
            // A write that blocked would never end.
            REQUIRE(passed < std::chrono::seconds(10));
            const std::uint64_t written = count_of(reader.take(), "\n");
            REQUIRE(written > 0);
            REQUIRE(log.dropped() == many - written);
        }
        AND_WHEN("somebody reads again")
        {
            reader.take();
            log.doAppend(line_of(log4cplus::INFO_LOG_LEVEL, "after"));

            THEN("lines are whole from the next on")
            {
                REQUIRE(count_of(reader.take(), "after\n") == 1);
            }
        }
    }
    WHEN("ordinary work fills what it may of the pipe")
    {
        for (int i = 0; i < many; ++i)
            log.doAppend(line_of(log4cplus::DEBUG_LOG_LEVEL, text));

        THEN("a refusal still has room")
        {
            log.doAppend(line_of(log4cplus::INFO_LOG_LEVEL, "refused"));
            REQUIRE(count_of(reader.take(), "refused\n") == 1);
        }
    }
}

SCENARIO("One event is logged without end")
{
    idle_reader reader;
    const redirected_output redirected(reader.writing_end());
    start_log("storm", log_target::standard_output);
    constexpr std::uint64_t storm = 300;
    const std::uint64_t dropped_before = dropped_log_lines();
    // The lines fall into two seconds at most.
    for (std::uint64_t i = 0; i < storm; ++i)
        log_event(event_id::statement_failed, {{"request", "r"}});
    log_event(event_id::primary_missed, {{"service", "other"}});
    const std::string first = reader.take();
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    log_event(event_id::statement_failed, {{"request", "later"}});
    const std::string second = reader.take();
    const std::uint64_t dropped = dropped_log_lines() - dropped_before;
    start_log("storm");

    const std::size_t written = count_of(first, "\"statement_failed\"");
    CHECK(written >= event_budget);
    CHECK(written <= 2 * event_budget);
    CHECK(dropped == storm - written);
    // Another event has a budget of its own.
    CHECK(count_of(first, "\"primary_missed\"") == 1);
    CHECK(count_of(second, "\"later\"") == 1);
    CHECK(count_of(second, "\"lines\":\"" + std::to_string(dropped) + "\"") +
              count_of(first, "\"log_lines_dropped\"") >=
          1);
}

// Hidden: prints what docs/MEASURES.md quotes.
TEST_CASE("What a statement's lines cost", "[.measure]")
{
    const bool is_read = GENERATE(true, false);
    idle_reader reader;
    constexpr int lines = 40; // Within the budget of one second.
    constexpr int rounds = 20;
    std::chrono::nanoseconds spent{};
    std::uint64_t dropped = 0;
    {
        const redirected_output redirected(reader.writing_end());
        start_log("measure", log_target::standard_output);
        // Fills the pipe, so that every further line is turned away.
        pipe_appender filler(reader.writing_end());
        if (!is_read)
            for (int i = 0; i < 20'000; ++i)
                filler.doAppend(
                    line_of(log4cplus::INFO_LOG_LEVEL, std::string(100, 'x')));
        dropped = dropped_log_lines();
        for (int r = 0; r < rounds; ++r)
        {
            const auto begun = std::chrono::steady_clock::now();
            for (int i = 0; i < lines; ++i)
                log_event(event_id::statement_sent,
                          {{"request", "86fb0ddec0249bbc"},
                           {"session", "122"},
                           {"workspace", "gono411"},
                           {"route", "own_writes"},
                           {"endpoint", "i-1cad37053d"},
                           {"part", "primary"},
                           {"term", "1"},
                           {"lease_ms", "1163"},
                           {"floor", "1:2048"},
                           {"transaction", "none"},
                           {"running", "2"},
                           {"attempt", "1"},
                           {"age_ms", "12"},
                           {"config_version", "14"}});
            spent += std::chrono::steady_clock::now() - begun;
            if (is_read)
                reader.take();
            std::this_thread::sleep_for(std::chrono::milliseconds(1050));
        }
        dropped = dropped_log_lines() - dropped;
    }
    start_log("measure");
    WARN((is_read ? "read: " : "never read: ")
         << static_cast<double>(spent.count()) / (1000.0 * lines * rounds)
         << " us a line, " << dropped << " of " << lines * rounds
         << " left out");
}
