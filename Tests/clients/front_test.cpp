#include <string>

#include <catch2/catch.hpp>
#include <clients/crowd.hpp>
#include <clients/frames.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::clients;
using namespace bluebellspoke::support;

namespace
{

constexpr std::size_t crowd_size = 300;
/// The front's own limit, 4,096 connections, is not reached.
constexpr std::size_t max_front_open = crowd_size + 100;

struct front
{
    front()
    {
        put_node(m_fleet, "ward",
                 {{"kind", "workspace"},
                  {"service", "group"},
                  {"rate", 100'000},
                  {"burst", 100'000}});
        m_clerk.m_key = grant_key(m_fleet, "ward", "clerk");
        REQUIRE(is_served());
    }

    bool is_served()
    {
        return eventually(
            [&]
            {
                caller c(daemon().m_callers);
                return run_statement(
                           c, m_clerk,
                           {{"statement", "select 1"}, {"max_age_ms", 60'000}})
                           .m_status == 200;
            });
    }

    const daemon_node& daemon() const
    {
        return m_fleet.m_daemons.front();
    }

    // While the crowd stays.
    void check_unharmed()
    {
        const child_process& process = *daemon().m_process;
        REQUIRE(daemon().m_process->running());
        await_peak(process.id());
        REQUIRE(is_served());
        CHECK(open_descriptors(process.id()) < max_front_open);
        CHECK(peak_memory_mb(process.id()) < memory_mb);
    }

    fleet m_fleet{{.m_daemons = 1}};
    session m_clerk;
};

}

SCENARIO("Clients hold the project's own front end")
{
    front f;
    std::string bytes = begin_http2();

    WHEN("a crowd sends nothing")
    {
        crowd c(f.daemon().m_callers, crowd_size);
        c.send("");
        f.check_unharmed();
    }
    WHEN("a crowd stops in a header")
    {
        append_frame(bytes, frame_type::headers, 0, 1, post_header);
        crowd c(f.daemon().m_callers, crowd_size);
        c.send(bytes);
        f.check_unharmed();
    }
    WHEN("a crowd sends bodies that don't end")
    {
        constexpr std::size_t clients = 20;
        constexpr unsigned streams = 20;
        constexpr int frames = 64;
        const std::string part(15'000, 'x');
        for (unsigned i = 0; i < streams; ++i)
        {
            const unsigned id = 2 * i + 1;
            append_frame(bytes, frame_type::headers, end_of_headers, id,
                         post_header);
            for (int frame = 0; frame < frames; ++frame)
                append_frame(bytes, frame_type::data, 0, id, part);
        }
        crowd c(f.daemon().m_callers, clients);
        c.send(bytes);
        f.check_unharmed();
    }
    WHEN("a crowd sends requests and reads the answers a byte now and then")
    {
        constexpr std::size_t clients = 20;
        constexpr unsigned streams = 10'000;
        for (unsigned i = 0; i < streams; ++i)
            append_frame(bytes, frame_type::headers,
                         end_of_headers | end_of_stream, 2 * i + 1,
                         post_header);
        crowd c(f.daemon().m_callers, clients);
        c.send(bytes);
        for (int i = 0; i < 5; ++i)
        {
            c.read_a_byte();
            wait_a_moment();
        }
        f.check_unharmed();
    }
}
