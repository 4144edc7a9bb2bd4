#include <catch2/catch.hpp>
#include <decide/usage_report.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

SCENARIO("Windows are reported in order, each once")
{
    constexpr report_timing timing{5s, 10s};
    constexpr window_id last = 1000;
    const unix_time end = window_end(last + 1, timing.m_window);
    collected_windows collected;
    collected[last + 1] = {{{"ward", 5}}, 4, 0};
    collected[last + 2] = {{{"ward", 9}}, 4, 0};

    GIVEN("a window of which all counts are final")
    {
        const report_choice choice =
            choose_report(last, collected, end + 2s, timing);

        THEN("it is reported, before the next one")
        {
            CHECK(choice.m_step == report_step::report);
            CHECK(choice.m_window == last + 1);
        }
    }
    GIVEN("a member whose counts are missing")
    {
        collected[last + 1].m_missing = 1;

        THEN("the report waits for it, but not beyond the deadline")
        {
            const auto step_at = [&](unix_time now)
            {
                return choose_report(last, collected, now, timing).m_step;
            };
            const unix_time due =
                end + std::chrono::duration_cast<unix_time>(
                          timing.m_delay - incomplete_report_margin);
            CHECK(step_at(due - 1ms) == report_step::wait);
            CHECK(step_at(due) == report_step::report);
        }
    }
    GIVEN("a window without any request")
    {
        collected[last + 1].m_counts.clear();

        THEN("it is reported too")
        {
            CHECK(choose_report(last, collected, end + 2s, timing).m_step ==
                  report_step::report);
        }
    }
    GIVEN("an outage after which nobody has the counts any more")
    {
        const unix_time now = end + 62s;
        const report_choice choice =
            choose_report(last, collected, now, timing);

        THEN("the windows are skipped up to the first whose counts are kept")
        {
            CHECK(choice.m_step == report_step::skip);
            CHECK(choice.m_window ==
                  first_kept(now, timing.m_window, usage_retention));
        }
    }
    GIVEN("no report so far")
    {
        collected[last].m_counts.clear();

        THEN("the first one is on the first window that has counts")
        {
            const report_choice choice =
                choose_report(std::nullopt, collected, end + 2s, timing);
            CHECK(choice.m_step == report_step::report);
            CHECK(choice.m_window == last + 1);
            CHECK(choose_report(std::nullopt, {}, end, timing).m_step ==
                  report_step::wait);
        }
    }
}

// Guards against a report that misses its deadline by the time for which a new
// holder collects, although everybody has answered it.
SCENARIO("A process gets the usage duty shortly before a deadline")
{
    const time_point gained{1h};
    first_collection c;
    c.m_held_since = gained;

    GIVEN("970 ms until the next window is due")
    {
        const auto end_at = [&](time_point now)
        {
            c.m_until_deadline = gained + 970ms - now;
            return end_first_collection(c, now);
        };

        WHEN("everybody has answered after 60 ms")
        {
            c.m_all_answered = true;
            THEN("it passes on the counts at once")
            {
                CHECK(end_at(gained + 60ms) == collection_end::answered);
            }
        }
        WHEN("a cell doesn't answer")
        {
            THEN("it waits for it as long as the report can still be in time")
            {
                CHECK(end_at(gained + 969ms - first_report_margin) ==
                      collection_end::none);
                CHECK(end_at(gained + 970ms - first_report_margin) ==
                      collection_end::deadline);
            }
        }
    }
    GIVEN("a window whose deadline has passed")
    {
        c.m_until_deadline = -200ms;

        THEN("the counts that are missing are waited for")
        {
            CHECK(end_first_collection(c, gained + 100ms) ==
                  collection_end::none);
            CHECK(end_first_collection(c, gained + first_collection_time) ==
                  collection_end::timed_out);
        }
    }
    GIVEN("no report before")
    {
        THEN("it collects for the whole time")
        {
            CHECK(end_first_collection(c, gained + 999ms) ==
                  collection_end::none);
            CHECK(end_first_collection(c, gained + 1s) ==
                  collection_end::timed_out);
        }
    }
}
