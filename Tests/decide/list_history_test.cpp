#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/list_history.hpp>

using namespace bluebellspoke;

SCENARIO("A list's removals are known after a revision")
{
    list_history history;
    restart_history(history, 100);
    using names = std::vector<std::string>;

    GIVEN("two removals")
    {
        record_removal(history, "a", 110);
        record_removal(history, "b", 120);

        THEN("a process learns of those that it hasn't seen")
        {
            CHECK(removed_after(history, 100) == names{"a", "b"});
            CHECK(removed_after(history, 110) == names{"b"});
            CHECK(removed_after(history, 130) == names{});
        }
        THEN("one that is further behind needs the complete list")
        {
            CHECK_FALSE(removed_after(history, 99));
        }
        WHEN("an object of that name is added again")
        {
            record_presence(history, "a");

            THEN("it isn't removed")
            {
                CHECK(removed_after(history, 100) == names{"b"});
            }
        }
        WHEN("the list is read as a whole")
        {
            restart_history(history, 200);

            THEN("nothing before that is known")
            {
                CHECK_FALSE(removed_after(history, 120));
                CHECK(removed_after(history, 200) == names{});
            }
        }
    }
    GIVEN("more removals than are remembered")
    {
        for (std::size_t i = 0; i <= max_remembered_removals; ++i)
            record_removal(history, std::to_string(i), 101 + i);

        THEN("a process that may have missed the oldest gets the list")
        {
            CHECK_FALSE(removed_after(history, 100));
            CHECK(removed_after(history, 101)->size() ==
                  max_remembered_removals);
        }
    }
}
