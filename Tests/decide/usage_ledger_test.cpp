#include <catch2/catch.hpp>
#include <decide/usage_ledger.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

constexpr duration window = 5s;

usage_summary said(std::string source, std::uint64_t incarnation,
                   std::uint64_t version, window_id final_before,
                   usage_windows windows)
{
    return {std::move(source), incarnation, version, final_before,
            std::move(windows)};
}

}

SCENARIO("A process counts the requests that it sends")
{
    usage_counter counter;
    const window_id id = 1000;
    add_request(counter, "ward", id);
    add_request(counter, "ward", id);
    add_request(counter, "depot", id + 1);

    GIVEN("one that the endpoint refused without running it")
    {
        remove_request(counter, "ward", id);

        THEN("it isn't in the summary")
        {
            const usage_summary s =
                summarize(counter, window_end(id, window), window);
            CHECK(s.m_windows.at(id).m_counts.at("ward") == 1);
            CHECK(s.m_version == 1);
        }
    }
    GIVEN("a window that has just ended")
    {
        THEN("its counts are final only once refusals have arrived")
        {
            const unix_time end = window_end(id, window);
            CHECK(summarize(counter, end, window).m_final_before == id);
            CHECK(summarize(counter, end + usage_settle_time, window)
                      .m_final_before == id + 1);
        }
        THEN("it is kept until nobody reports it any more")
        {
            const unix_time end = window_end(id, window);
            CHECK(summarize(counter, end + usage_retention, window)
                      .m_windows.contains(id));
            CHECK_FALSE(summarize(counter, end + usage_count_retention, window)
                            .m_windows.contains(id));
        }
    }
    GIVEN("a transaction")
    {
        THEN("its first statement counts, as a single one does")
        {
            CHECK(counts_as_request(false, false));
            CHECK(counts_as_request(true, true));
            CHECK_FALSE(counts_as_request(true, false));
        }
    }
}

SCENARIO("The counts of a cell are summed")
{
    usage_ledger ledger;
    const expected_sources members{{"a", 1}, {"b", 1}};
    apply_summary(ledger, said("a", 7, 2, 11, {{10, {{{"ward", 5}}}}}));
    apply_summary(ledger, said("b", 8, 4, 10, {{10, {{{"ward", 3}}}}}));
    const auto collect = [&](usage_merge merge = usage_merge::sum)
    {
        return collect_window(ledger, 10, members, merge);
    };

    GIVEN("a member whose counts aren't final")
    {
        THEN("it is missing")
        {
            CHECK(collect().m_counts.at("ward") == 8);
            CHECK(collect().m_heard == 1);
            CHECK(collect().m_missing == 1);
            CHECK(final_before(ledger, members) == 10);
        }
    }
    GIVEN("a member that says nothing")
    {
        const expected_sources more{{"a", 1}, {"b", 1}, {"c", 1}};

        THEN("it is missing in every window")
        {
            CHECK(collect_window(ledger, 3, more, usage_merge::sum).m_missing ==
                  1);
        }
    }
    GIVEN("an answer that arrives twice, and an older one after it")
    {
        const usage_summary newer =
            said("b", 8, 6, 11, {{10, {{{"ward", 4}}}}});
        CHECK(apply_summary(ledger, newer));
        CHECK_FALSE(apply_summary(ledger, newer));
        CHECK_FALSE(apply_summary(
            ledger, said("b", 8, 5, 10, {{10, {{{"ward", 1}}}}})));

        THEN("they change nothing")
        {
            CHECK(collect().m_counts.at("ward") == 9);
            CHECK(collect().m_missing == 0);
        }
    }
    GIVEN("a member that restarted")
    {
        apply_summary(ledger, said("a", 9, 1, 11, {{10, {{{"ward", 2}}}}}));

        THEN("what its predecessor counted still counts")
        {
            CHECK(collect().m_counts.at("ward") == 10);
        }
        THEN("it is asked for everything that isn't final")
        {
            CHECK(next_question(ledger, "a").m_incarnation == 9);
            CHECK(next_question(ledger, "a").m_from == 11);
            CHECK(next_question(ledger, "c").m_from == 0);
        }
    }
    GIVEN("a successor of the leader of another cell")
    {
        apply_summary(ledger, said("a", 9, 1, 11, {{10, {{{"ward", 4}}}}}));

        THEN("both counted the same requests")
        {
            CHECK(collect(usage_merge::greatest).m_counts.at("ward") == 8);
        }
    }
    GIVEN("windows that nobody reports any more")
    {
        apply_summary(ledger, said("a", 9, 1, 11, {{12, {{{"ward", 1}}}}}));
        drop_windows_before(ledger, 11);

        THEN("they are dropped, and the ended incarnation with them")
        {
            CHECK(collect().m_counts.empty());
            CHECK(ledger.m_sources.at("a").m_incarnations.size() == 1);
        }
    }
}

// Guards against a sender that fills the memory: anybody who reaches the peer
// port may name any incarnation.
SCENARIO("A source names a new incarnation in each message")
{
    usage_ledger ledger;
    const window_id id = 1000;
    for (std::uint64_t i = 1; i <= 10'000; ++i)
        apply_summary(ledger,
                      said("vm-1", i, 1, id, {{id, {{{"ward", 1}}, 0}}}));

    THEN("only some of them are kept")
    {
        CHECK(ledger.m_sources.at("vm-1").m_incarnations.size() ==
              max_usage_incarnations);
    }
    THEN("what is known of one still grows")
    {
        CHECK(apply_summary(
            ledger, said("vm-1", 1, 2, id, {{id, {{{"ward", 2}}, 0}}})));
    }
    WHEN("their windows are no longer kept")
    {
        drop_windows_before(ledger, id + 1);

        THEN("there is room for others")
        {
            CHECK(apply_summary(ledger, said("vm-1", 20'000, 1, id,
                                             {{id + 1, {{{"ward", 1}}, 0}}})));
        }
    }
}
