#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/connection_budget.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds step{5};
constexpr milliseconds length{60'000};
constexpr std::size_t process_count = 78;
constexpr std::size_t workspace_count = 81;
constexpr std::size_t cell_count = 6;
constexpr std::uint32_t room = 56;
constexpr std::size_t windows_per_s = 1000 / step.count();

// A connection belongs to one workspace; it is busy until m_busy_until and
// closed once it has been idle for long enough.
struct connection
{
    std::size_t m_workspace = 0;
    duration m_busy_until{};
};

struct process
{
    std::vector<connection> m_connections;
    duration m_pause{};
    duration m_full_until{};
    std::uint32_t m_told = 0; ///< Connections of the endpoint, by its cell.
};

struct crowd
{
    std::mt19937 m_random{7};
    std::vector<process> m_processes{process_count};
    std::uint32_t m_open = 0;
    std::size_t m_statements = 0;
    std::size_t m_attempts = 0; ///< To open a connection.
    std::size_t m_refused = 0;  ///< Of these, refused by the endpoint.
    std::size_t m_kept_out = 0; ///< Statements without a connection.
};

// A tenth of the statements begin a transaction, which holds its connection.
duration draw_use(std::mt19937& random)
{
    constexpr double statement_ms = 40;
    constexpr double transaction_ms = 300;
    std::bernoulli_distribution is_transaction(0.1);
    std::exponential_distribution<double> ms(
        1 / (is_transaction(random) ? transaction_ms : statement_ms));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms(random)));
}

void close_idle(crowd& c, process& p, duration now)
{
    const auto budget = choose_connection_budget(room, process_count, p.m_told);
    c.m_open -= static_cast<std::uint32_t>(
        std::erase_if(p.m_connections,
                      [&](const connection& k)
                      {
                          return now - k.m_busy_until >= budget.m_idle_timeout;
                      }));
}

// True if the endpoint accepted the connection.
bool open_one(crowd& c, process& p, duration now)
{
    ++c.m_attempts;
    if (c.m_open < room)
    {
        ++c.m_open;
        p.m_pause = pause_after_success(p.m_pause);
        return true;
    }
    ++c.m_refused;
    std::uniform_real_distribution<double> unit(0, 1);
    p.m_pause = next_full_pause(p.m_pause, unit(c.m_random));
    p.m_full_until = now + p.m_pause;
    return false;
}

// Takes an idle connection of the workspace, or opens one, in place of an idle
// one of another workspace if the process may have no more.
void run_statement(crowd& c, process& p, std::size_t workspace, duration now)
{
    ++c.m_statements;
    const duration until = now + draw_use(c.m_random);
    const auto is_idle = [&](const connection& k)
    {
        return k.m_busy_until <= now;
    };
    for (connection& k : p.m_connections)
        if (is_idle(k) && k.m_workspace == workspace)
        {
            k.m_busy_until = until;
            return;
        }
    const auto budget = choose_connection_budget(room, process_count, p.m_told);
    if (p.m_connections.size() >= budget.m_limit || now < p.m_full_until)
    {
        const auto unused = std::ranges::find_if(p.m_connections, is_idle);
        if (unused == p.m_connections.end())
        {
            ++c.m_kept_out;
            return;
        }
        p.m_connections.erase(unused);
        --c.m_open;
    }
    if (open_one(c, p, now))
        p.m_connections.push_back({workspace, until});
    else
        ++c.m_kept_out;
}

crowd play(double statements_per_s)
{
    crowd c;
    std::poisson_distribution<int> arrivals(statements_per_s / windows_per_s);
    std::uniform_int_distribution<std::size_t> any_process(0,
                                                           process_count - 1);
    std::uniform_int_distribution<std::size_t> any_workspace(
        0, workspace_count - 1);
    constexpr auto steps = static_cast<std::size_t>(length / step);
    for (std::size_t i = 0; i < steps; ++i)
    {
        const duration now = i * step;
        // Each cell learns of the count once a second, at its own time.
        for (std::size_t cell = 0; cell < cell_count; ++cell)
            if (i % windows_per_s == cell * windows_per_s / cell_count)
                for (std::size_t n = cell; n < process_count; n += cell_count)
                    c.m_processes[n].m_told = c.m_open;
        for (process& p : c.m_processes)
            close_idle(c, p, now);
        for (int n = arrivals(c.m_random); n > 0; --n)
            run_statement(c, c.m_processes[any_process(c.m_random)],
                          any_workspace(c.m_random), now);
    }
    return c;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

}

// Guards against budgets by which processes, going by old counts, fill the
// endpoint and are refused in a storm.
SCENARIO("78 processes share the 56 connections of one endpoint")
{
    GIVEN("counts that are up to a second old")
    {
        THEN("few openings are refused at the usual load")
        {
            for (const double per_s : {60, 100, 130})
            {
                const crowd c = play(per_s);
                CAPTURE(per_s, share(c.m_kept_out, c.m_statements));
                CHECK(share(c.m_refused, c.m_attempts) < 0.05);
            }
        }
        THEN("no storm of attempts follows at several times the load")
        {
            for (const double per_s : {200, 400})
            {
                const crowd c = play(per_s);
                CAPTURE(per_s, share(c.m_kept_out, c.m_statements));
                CHECK(share(c.m_refused, c.m_attempts) < 0.15);
            }
        }
    }
}
