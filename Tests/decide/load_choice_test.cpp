#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/load/load_choice.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t endpoint_count = 3;
constexpr double to_ms = 1000;

using candidates = std::span<const loaded_candidate>;
using policy = std::function<std::size_t(candidates, time_point, double)>;

std::size_t choose_today(candidates all, time_point now, double)
{
    std::vector<endpoint_candidate> plain;
    for (const loaded_candidate& c : all)
        plain.push_back(c.m_candidate);
    return choose_candidate(plain, now).value();
}

std::size_t choose_uniformly(candidates all, time_point, double draw)
{
    return static_cast<std::size_t>(draw * static_cast<double>(all.size()));
}

std::size_t choose_evenly(candidates all, time_point now, double draw)
{
    return choose_by_load(all, now, draw).value().m_index;
}

// What 100 processes know and send; the endpoints tell their busy slots once a
// second to each of six cell leaders, so knowledge is up to a second old.
struct plan
{
    std::array<double, endpoint_count> m_service_ms{30, 30, 60};
    std::array<std::uint32_t, endpoint_count> m_slots{4, 4, 4};
    bool m_reports = true;
    bool m_knows_slots = true;
    double m_per_s = 250; ///< Three quarters of what the endpoints can serve.
};

struct figures
{
    double m_busiest = 0;    ///< Offered load of the busiest to the mean.
    double m_found_full = 0; ///< Share of statements without a free slot.
    /// The busiest to the mean in each 200 ms, on average: endpoints that are
    /// overloaded in turn show here.
    double m_busiest_at_times = 0;
    double m_mean_ms = 0;
};

struct statement
{
    std::size_t m_process = 0;
    time_point m_sent_at{};
    duration m_service{};
};

struct endpoint
{
    std::uint32_t m_running = 0;
    std::deque<statement> m_waiting;
    std::vector<double> m_offered; ///< Seconds of service by window.
};

enum class event_kind
{
    arrival,
    finish,
    report,
};

struct event
{
    time_point m_at;
    event_kind m_kind = event_kind::arrival;
    std::size_t m_endpoint = 0;
    statement m_statement{};

    bool operator<(const event& other) const
    {
        return m_at > other.m_at;
    }
};

duration to_duration(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

struct stage
{
    plan m_plan;
    std::mt19937 m_random{1};
    std::array<endpoint, endpoint_count> m_endpoints;
    std::vector<std::array<loaded_candidate, endpoint_count>> m_processes;
    std::priority_queue<event> m_events;
    std::size_t m_sent = 0;
    std::size_t m_full = 0;
    double m_total_ms = 0;
};

constexpr std::size_t process_count = 100;
constexpr std::size_t cell_count = 6;
constexpr milliseconds window{200};
constexpr std::chrono::seconds length{60};
constexpr std::size_t window_count = length / window;
constexpr time_point start{std::chrono::hours(1)};

void begin_statement(stage& s, std::size_t at, const statement& q,
                     time_point now)
{
    ++s.m_endpoints[at].m_running;
    s.m_events.push({now + q.m_service, event_kind::finish, at, q});
}

void send(stage& s, const policy& choose, time_point now)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const auto process =
        static_cast<std::size_t>(unit(s.m_random) * process_count);
    const std::size_t at =
        choose(s.m_processes[process], now, unit(s.m_random));
    ++s.m_processes[process][at].m_candidate.m_running;
    endpoint& e = s.m_endpoints[at];
    std::exponential_distribution<double> service(1 /
                                                  s.m_plan.m_service_ms[at]);
    const statement q{process, now, to_duration(service(s.m_random))};
    e.m_offered[static_cast<std::size_t>((now - start) / window)] +=
        std::chrono::duration<double>(q.m_service).count();
    ++s.m_sent;
    if (e.m_running < s.m_plan.m_slots[at])
        return begin_statement(s, at, q, now);
    ++s.m_full;
    e.m_waiting.push_back(q);
}

void finish(stage& s, std::size_t at, const statement& q, time_point now)
{
    endpoint& e = s.m_endpoints[at];
    --e.m_running;
    endpoint_candidate& c = s.m_processes[q.m_process][at].m_candidate;
    --c.m_running;
    const double ms =
        std::chrono::duration<double>(now - q.m_sent_at).count() * to_ms;
    c.m_latency_ms = smooth_latency(c.m_latency_ms, ms);
    c.m_responded_at = now;
    s.m_total_ms += ms;
    if (e.m_waiting.empty())
        return;
    const statement next = e.m_waiting.front();
    e.m_waiting.pop_front();
    begin_statement(s, at, next, now);
}

// One leader asks the endpoint, and the processes of its cell hear of it.
void report(stage& s, std::size_t cell, time_point now)
{
    for (std::size_t i = cell; i < process_count; i += cell_count)
        for (std::size_t at = 0; at < endpoint_count; ++at)
            record_busy_slots(s.m_processes[i][at].m_load,
                              s.m_endpoints[at].m_running, now);
    s.m_events.push(
        {now + std::chrono::seconds(1), event_kind::report, cell, {}});
}

// The load of the busiest endpoint to the mean.
double busiest_to_mean(const std::array<double, endpoint_count>& loads)
{
    const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    return *std::ranges::max_element(loads) / (sum / endpoint_count);
}

figures summarize(const stage& s)
{
    figures f;
    std::array<double, endpoint_count> whole{};
    for (std::size_t w = 0; w < window_count; ++w)
    {
        std::array<double, endpoint_count> loads{};
        for (std::size_t at = 0; at < endpoint_count; ++at)
        {
            loads[at] = s.m_endpoints[at].m_offered[w] / s.m_plan.m_slots[at];
            whole[at] += loads[at];
        }
        f.m_busiest_at_times += busiest_to_mean(loads) / window_count;
    }
    f.m_busiest = busiest_to_mean(whole);
    f.m_found_full =
        static_cast<double>(s.m_full) / static_cast<double>(s.m_sent);
    f.m_mean_ms = s.m_total_ms / static_cast<double>(s.m_sent);
    return f;
}

figures play(const plan& p, const policy& choose)
{
    stage s;
    s.m_plan = p;
    s.m_processes.resize(process_count);
    for (auto& known : s.m_processes)
        for (std::size_t at = 0; at < endpoint_count; ++at)
        {
            known[at].m_candidate.m_has_idle_connection = true;
            known[at].m_load.m_slots = p.m_knows_slots ? p.m_slots[at] : 0;
        }
    for (endpoint& e : s.m_endpoints)
        e.m_offered.resize(window_count);
    for (std::size_t cell = 0; p.m_reports && cell < cell_count; ++cell)
        s.m_events.push({start + cell * std::chrono::seconds(1) / cell_count,
                         event_kind::report,
                         cell,
                         {}});
    std::exponential_distribution<double> gap(p.m_per_s / to_ms);
    s.m_events.push({start, event_kind::arrival, 0, {}});
    while (s.m_events.top().m_at < start + length)
    {
        const event e = s.m_events.top();
        s.m_events.pop();
        if (e.m_kind == event_kind::finish)
            finish(s, e.m_endpoint, e.m_statement, e.m_at);
        else if (e.m_kind == event_kind::report)
            report(s, e.m_endpoint, e.m_at);
        else
        {
            send(s, choose, e.m_at);
            s.m_events.push({e.m_at + to_duration(gap(s.m_random)),
                             event_kind::arrival,
                             0,
                             {}});
        }
    }
    return summarize(s);
}

}

// Guards against processes that follow the same old reports, or their own rare
// responses, to one endpoint after the other.
SCENARIO("A hundred processes choose by knowledge up to a second old")
{
    GIVEN("three endpoints, one of them at half the speed")
    {
        // 30 % and 75 % of what they can serve, and as few short statements as
        // a group of the first new customer gets.
        const auto [ms, per_s] =
            GENERATE(table<double, double>({{30, 100}, {30, 250}, {12, 130}}));
        CAPTURE(ms, per_s);
        plan p;
        p.m_service_ms = {ms, ms, 2 * ms};
        p.m_per_s = per_s;
        const figures today = play(p, choose_today);
        const figures uniform = play(p, choose_uniformly);

        WHEN("the busy slots are reported")
        {
            const figures even = play(p, choose_evenly);

            THEN("the load is more even than by today's choice and a uniform "
                 "one, and fewer statements find a full endpoint")
            {
                CHECK(even.m_busiest < 1.2);
                CHECK(even.m_busiest < today.m_busiest);
                CHECK(even.m_busiest < uniform.m_busiest);
                CHECK(even.m_found_full < today.m_found_full);
                CHECK(even.m_found_full < uniform.m_found_full);
            }
            THEN("endpoints are overloaded in turn less than by today's choice")
            {
                CHECK(even.m_busiest_at_times < today.m_busiest_at_times);
            }
        }
        WHEN("nobody reports them, but the slots are known")
        {
            p.m_reports = false;
            const figures even = play(p, choose_evenly);
            CHECK(even.m_busiest < today.m_busiest);
            CHECK(even.m_found_full < today.m_found_full);
        }
        WHEN("the slots aren't known either")
        {
            p.m_knows_slots = false;
            const figures even = play(p, choose_evenly);

            THEN("it is today's choice")
            {
                CHECK(even.m_busiest == today.m_busiest);
                CHECK(even.m_mean_ms == today.m_mean_ms);
            }
        }
    }
}

SCENARIO("A statement is sent to one of the endpoints near the best")
{
    constexpr time_point now{std::chrono::hours(1)};
    constexpr std::array draws{0.0, 0.2, 0.4, 0.6, 0.8, 0.99};
    constexpr std::uint32_t many_reports = 1'000'000;
    constexpr double no_report = -1;
    const auto candidate = [&](double ms, std::uint32_t slots, double used)
    {
        loaded_candidate c;
        c.m_candidate.m_latency_ms = ms;
        c.m_candidate.m_responded_at = now;
        c.m_candidate.m_has_idle_connection = true;
        c.m_load = {slots, used, used < 0 ? 0U : many_reports, now};
        return c;
    };
    const auto share_of_first = [&](candidates all)
    {
        constexpr int count = 1000;
        int first = 0;
        for (int i = 0; i < count; ++i)
            first +=
                choose_evenly(all, now, static_cast<double>(i) / count) == 0
                    ? 1
                    : 0;
        return static_cast<double>(first) / count;
    };

    GIVEN("endpoints whose slots and load aren't known")
    {
        const std::array all{candidate(40, 0, no_report),
                             candidate(39, 0, no_report)};

        THEN("the choice is today's, whatever the draw")
        {
            for (const double draw : draws)
                CHECK(choose_evenly(all, now, draw) ==
                      choose_today(all, now, draw));
        }
    }
    GIVEN("endpoints that differ in slots, speed or free slots")
    {
        THEN("each gets statements by the rate at which it can take them")
        {
            CHECK(share_of_first(std::array{candidate(40, 8, no_report),
                                            candidate(40, 4, no_report)}) ==
                  Approx(2.0 / 3).margin(0.01));
            CHECK(share_of_first(std::array{candidate(20, 4, no_report),
                                            candidate(40, 4, no_report)}) ==
                  Approx(2.0 / 3).margin(0.01));
            CHECK(share_of_first(std::array{candidate(40, 4, 0.25),
                                            candidate(40, 4, 0.75)}) ==
                  Approx(0.75).margin(0.01));
        }
    }
    GIVEN("one that is several times slower than the best")
    {
        THEN("it gets nothing")
        {
            CHECK(share_of_first(std::array{candidate(210, 4, 0.5),
                                            candidate(40, 4, 0.5)}) == 0);
        }
    }
    GIVEN("one in another region, without a connection, or a primary that "
          "others can spare")
    {
        std::array all{candidate(40, 4, 0), candidate(40, 4, 0.25)};

        THEN("it isn't drawn, though its slots are free")
        {
            all[0].m_candidate.m_in_other_region = true;
            CHECK(share_of_first(all) == 0);
            all[0].m_candidate.m_in_other_region = false;
            all[0].m_candidate.m_has_idle_connection = false;
            all[0].m_candidate.m_can_connect = true;
            CHECK(share_of_first(all) == 0);
        }
        THEN("it is used once the other one is full")
        {
            all[0].m_candidate.m_is_avoidable_primary = true;
            all[1].m_load.m_used = 1;
            CHECK(share_of_first(all) > 0.5);
        }
    }
    GIVEN("that no endpoint has a connection or may open one")
    {
        std::array all{candidate(40, 4, 0)};
        all[0].m_candidate.m_has_idle_connection = false;

        THEN("none is chosen")
        {
            CHECK_FALSE(choose_by_load(all, now, 0));
        }
    }
    GIVEN("further attempts of a statement")
    {
        THEN("their draws differ and stay below 1")
        {
            for (std::uint32_t i = 1; i < 5; ++i)
            {
                CHECK(draw_of_attempt(0.9, i) < 1);
                CHECK(draw_of_attempt(0.9, i) != draw_of_attempt(0.9, i - 1));
            }
        }
    }
}

SCENARIO("A report of busy slots counts less the older it is")
{
    constexpr time_point now{std::chrono::hours(1)};
    endpoint_load load{4, 0, 0, {}};
    constexpr double mean = 0.5;

    GIVEN("no report, or a number of slots that isn't known")
    {
        THEN("the load is taken for the mean")
        {
            CHECK(believed_used(load, mean, now) == mean);
            endpoint_load unknown;
            record_busy_slots(unknown, 3, now);
            CHECK(believed_used(unknown, mean, now) == mean);
        }
    }
    GIVEN("reports that all slots are in use")
    {
        record_busy_slots(load, 4, now);
        const double first = believed_used(load, mean, now);
        for (int i = 1; i <= 100; ++i)
            record_busy_slots(load, 4, now + milliseconds(i));
        const time_point last = now + milliseconds(100);

        THEN("many are trusted more than the first one")
        {
            CHECK(first == Approx(0.625));
            CHECK(believed_used(load, mean, last) > 0.95);
        }
        THEN("they count less the older they are")
        {
            CHECK(believed_used(load, mean, last + load_trust_time) ==
                  Approx(0.679).margin(0.001));
            CHECK(believed_used(load, mean, last + std::chrono::minutes(1)) ==
                  Approx(mean));
        }
        WHEN("an older one arrives later")
        {
            record_busy_slots(load, 0, now);
            CHECK(load.m_used == 1);
        }
        WHEN("later ones say that the slots are free")
        {
            record_busy_slots(load, 0, last + std::chrono::seconds(1));
            CHECK(load.m_used == Approx(0.905).margin(0.001));
            record_busy_slots(load, 0, last + std::chrono::minutes(1));
            CHECK(load.m_used < 0.01);
        }
        WHEN("a statement is refused though the slots seemed free")
        {
            load.m_used = 0;
            record_full_slots(load, last);
            CHECK(load.m_used == Approx(refusal_weight));
        }
    }
    GIVEN("a refusal by an endpoint whose slots aren't known")
    {
        endpoint_load unknown;
        record_full_slots(unknown, now);

        THEN("it changes nothing, as today's choice doesn't go by it")
        {
            CHECK(load_trust(unknown, now) == 0);
        }
    }
}
