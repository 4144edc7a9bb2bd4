#include <chrono>
#include <memory>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <session/line_stream.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t limit = 100;

struct stream_pair
{
    stream_pair()
    {
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_sockets);
        m_stream = std::make_unique<line_stream>(
            m_loop, m_sockets[0],
            line_stream_handlers{[this]
                                 {
                                     ++m_calls;
                                 },
                                 [](stream_end_reason) {}});
        m_stream->set_read_limit(limit);
    }
    ~stream_pair()
    {
        close(m_sockets[1]);
    }
    stream_pair(const stream_pair&) = delete;
    stream_pair& operator=(const stream_pair&) = delete;

    void send(const std::string& text)
    {
        CHECK(write(m_sockets[1], text.data(), text.size()) ==
              static_cast<ssize_t>(text.size()));
        timer end(m_loop,
                  [this]
                  {
                      stop(m_loop);
                  });
        end.start_once(milliseconds(50));
        run(m_loop);
    }

    loop m_loop = make_loop();
    int m_sockets[2] = {-1, -1};
    int m_calls = 0;
    std::unique_ptr<line_stream> m_stream;
};

}

SCENARIO("A stream has unread bytes up to its limit")
{
    stream_pair p;

    GIVEN("more than the limit")
    {
        p.send(std::string(limit / 2, 'x') + "\r\n" + std::string(limit, 'y'));

        // The event library called again in each turn of the loop.
        THEN("it is told once, and the rest isn't read")
        {
            CHECK(p.m_calls < 3);
            CHECK(p.m_stream->unread() == limit);
        }
        WHEN("a line is taken")
        {
            REQUIRE(p.m_stream->next_line());
            p.send("\r\n");

            THEN("it reads on")
            {
                CHECK(p.m_stream->unread() == limit);
            }
        }
        WHEN("the limit is raised")
        {
            p.m_stream->set_read_limit(10 * limit);
            p.send("\r\n");

            THEN("all is read")
            {
                CHECK(p.m_stream->unread() == limit + limit / 2 + 4);
            }
        }
    }
}

// A descriptor that outlives its stream isn't counted by whoever accepts
// connections up to a limit.
SCENARIO("A destroyed stream has closed its socket")
{
    stream_pair p;

    WHEN("the stream is destroyed")
    {
        p.m_stream.reset();

        THEN("the other end sees it before the next turn of the loop")
        {
            char byte = 0;
            CHECK(read(p.m_sockets[1], &byte, 1) == 0);
        }
    }
}
