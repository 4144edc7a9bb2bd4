#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/first_settings.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
constexpr std::size_t seeds = 3;

struct fleet_start
{
    std::size_t m_processes = 300;
    duration m_store_answer{};  ///< From the start.
    duration m_fetch{100ms};    ///< A peer's answer.
    bool m_store_fails = false; ///< The answer is a failure.
    bool m_first_seed_mute = false;
};

// The fetches of one part until each process has it, with a digest from each
// seed every 100 ms. Returns none if some process never gets it.
std::size_t count_fetches(const fleet_start& f)
{
    std::size_t fetches = 0;
    for (std::size_t process = 0; process < f.m_processes; ++process)
    {
        std::vector<time_point> answers_at(seeds);
        time_point last_fetch_at{};
        bool has_settings = false;
        for (time_point now = start; !has_settings && now < start + 10s;
             now += 100ms)
            for (std::size_t seed = 0; seed < seeds && !has_settings; ++seed)
            {
                first_settings_state s;
                s.m_started_at = start;
                s.m_last_fetch_at = last_fetch_at;
                const bool store_answered = now - start >= f.m_store_answer;
                s.m_store_failed = store_answered && f.m_store_fails;
                has_settings = store_answered && !f.m_store_fails;
                for (std::size_t i = 0; i < seeds; ++i)
                {
                    const bool mute = f.m_first_seed_mute && i == 0;
                    const bool asked = answers_at[i] != time_point{};
                    s.m_pending_fetches +=
                        asked && now < answers_at[i] ? 1U : 0U;
                    has_settings = has_settings ||
                                   (asked && !mute && now >= answers_at[i]);
                }
                if (has_settings || now < answers_at[seed] ||
                    !may_fetch_first_settings(s, now))
                    continue;
                ++fetches;
                last_fetch_at = now;
                answers_at[seed] =
                    now + (f.m_first_seed_mute && seed == 0 ? 1s : f.m_fetch);
            }
        REQUIRE(has_settings);
    }
    return fetches;
}

}

SCENARIO("A fleet that starts doesn't fill its seeds' links with settings")
{
    GIVEN("300 processes that start at once and know the same three seeds")
    {
        fleet_start f;

        WHEN("the store needs 600 ms for its first answers")
        {
            f.m_store_answer = 600ms;
            THEN("nobody fetches from a seed")
            {
                CHECK(count_fetches(f) == 0);
            }
        }
        WHEN("the store turns all of them away")
        {
            f.m_store_fails = true;
            THEN("each process fetches from one seed")
            {
                CHECK(count_fetches(f) == f.m_processes);
            }
        }
        WHEN("the store stays silent")
        {
            f.m_store_answer = 1h;
            THEN("each process fetches from one seed once it has waited")
            {
                CHECK(count_fetches(f) == f.m_processes);
            }
        }
        WHEN("the first seed doesn't answer either")
        {
            f.m_store_fails = true;
            f.m_first_seed_mute = true;
            THEN("each process gets the settings from another one")
            {
                CHECK(count_fetches(f) == 2 * f.m_processes);
            }
        }
    }
}
