#include <chrono>

#include <catch2/catch.hpp>
#include <decide/load/client_budget.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t smallest_memory = 112'000'000;
constexpr std::size_t fewest_descriptors = 3010;
const time_point start{std::chrono::hours(1)};

}

SCENARIO("A process divides its memory and descriptors among clients")
{
    GIVEN("the smallest VM of the deployments described")
    {
        const client_limits l =
            make_client_limits(smallest_memory, fewest_descriptors);

        THEN("all parts together stay within it")
        {
            CHECK(l.m_all_connections + l.m_peer_connections +
                      2 * l.m_port_connections + 200 <=
                  fewest_descriptors);
            CHECK(l.m_connections * l.m_session_bytes + l.m_shared_bytes +
                      l.m_peer_bytes <
                  smallest_memory * 3 / 4);
        }
        THEN("several of the largest statements are read at once")
        {
            CHECK(may_reserve(l, 5 * large_statement_bytes));
            CHECK_FALSE(may_reserve(l, l.m_shared_bytes));
        }
    }
    GIVEN("settings that name neither")
    {
        THEN("they count as those of the largest VM")
        CHECK(make_client_limits(0, 0) ==
              make_client_limits(default_memory_bytes, default_descriptors));
    }
}

SCENARIO("Sessions hold bytes")
{
    const client_limits l =
        make_client_limits(smallest_memory, fewest_descriptors);

    GIVEN("a session that holds as much as each may")
    {
        client_use use;
        use.m_unread = l.m_session_bytes;

        THEN("it takes nothing of what is shared, and more is counted")
        {
            CHECK(shared_use(l, use) == 0);
            use.m_unsent = 1;
            CHECK(shared_use(l, use) == 1);
            use.m_reserved = large_statement_bytes;
            CHECK(shared_use(l, use) ==
                  large_statement_bytes + 1 - l.m_session_bytes);
        }
        THEN("the kernel's buffer is counted while it isn't read")
        {
            use.m_is_paused = true;
            CHECK(shared_use(l, use) == kernel_buffer_bytes);
        }
    }
    GIVEN("a statement larger than the session's part")
    {
        constexpr std::size_t text = 100'000;

        // Its reservation stayed until it was answered, so that seven of them
        // took all that is shared.
        THEN("once it has been read, it takes what it holds")
        {
            CHECK(statement_use(text, false, 0) == 2 * text);
            CHECK(statement_use(text, true, text / 2) == text + text / 2);
            CHECK(statement_use(text, true, 0) == text);
            client_use use;
            use.m_statement = statement_use(text, true, 0);
            CHECK(shared_use(l, use) == text - l.m_session_bytes);
        }
        THEN("little is read beyond its end, and no more than the largest")
        {
            CHECK(large_read_limit(l, text) == text + l.m_session_bytes);
            CHECK(large_read_limit(l, largest_message) == largest_message + 2);
        }
    }
    GIVEN("others that took all that is shared")
    {
        THEN("a session still keeps a few small values, but no large one")
        {
            CHECK(may_keep(l, l.m_shared_bytes, 3, 300, 100));
            CHECK_FALSE(may_keep(l, l.m_shared_bytes, 3, 300, 100'000));
        }
    }
    GIVEN("memory")
    {
        THEN("one session can't keep names without end")
        {
            CHECK(may_keep(l, 0, 0, 0, largest_message));
            CHECK_FALSE(may_keep(l, 0, max_session_names, 0, 1));
            CHECK_FALSE(may_keep(l, 0, 1, max_kept_bytes, 1));
        }
    }
}

SCENARIO("Clients are slow")
{
    client_times t;

    GIVEN("a time limit that hasn't passed")
    {
        t.m_in_message_since = start;

        THEN("it is overdue from then on")
        {
            CHECK_FALSE(
                overdue(t, start + client_time_limit - milliseconds(1)));
            CHECK(overdue(t, start + client_time_limit) ==
                  client_fault::slow_message);
        }
    }
    GIVEN("descriptors that run out")
    {
        client_times half_open;
        half_open.m_without_startup_since = start;
        half_open.m_at_rest_since = start;
        t.m_at_rest_since = start;
        client_times recent;
        recent.m_at_rest_since = start + rest_age;

        THEN("connections without a session go first, then the oldest at rest")
        {
            const time_point now = start + rest_age + milliseconds(1);
            CHECK(closing_order(half_open, now) > closing_order(t, now));
            CHECK(closing_order(t, now) > duration{});
            CHECK(closing_order(recent, now) == duration{});
            CHECK(closing_order({}, now) == duration{});
        }
    }
}
