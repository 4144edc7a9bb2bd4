#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <task/mailbox.hpp>
#include <task/task_thread.hpp>

using namespace bluebellspoke;

namespace
{

struct failure_in_task
{
};

}

TEST_CASE("A task gets its messages through its mailbox")
{
    constexpr std::size_t capacity = 2;
    loop l = make_loop();
    mailbox<int> box(capacity);
    std::vector<int> taken;
    const auto collect = [&](std::size_t count)
    {
        box.attach(l,
                   [&, count](int m)
                   {
                       taken.push_back(m);
                       if (taken.size() == count)
                           stop(l);
                   });
        run(l);
    };

    SECTION("in the order they were sent, also from another thread")
    {
        std::thread sender(
            [&]
            {
                for (int i = 0; i < 100; ++i)
                    box.post(int{i});
            });
        collect(100);
        sender.join();
        for (int i = 0; i < 100; ++i)
            REQUIRE(taken[static_cast<std::size_t>(i)] == i);
    }
    SECTION("new work is refused when it is full, a reply is not")
    {
        REQUIRE(box.try_post(1));
        REQUIRE(box.try_post(2));
        REQUIRE_FALSE(box.try_post(3));
        box.post(4);
        collect(3);
        REQUIRE(taken == std::vector{1, 2, 4});

        SECTION("and is taken again once there is room")
        {
            REQUIRE(box.try_post(5));
        }
    }
    SECTION("what was sent before the task attached is not lost")
    {
        box.post(7);
        collect(1);
        REQUIRE(taken == std::vector{7});
    }
}

TEST_CASE("A timer calls its slot in the loop")
{
    loop l = make_loop();
    int calls = 0;

    SECTION("once")
    {
        timer t(l,
                [&]
                {
                    ++calls;
                    stop(l);
                });
        t.start_once(std::chrono::microseconds(1));
        run(l);
        REQUIRE(calls == 1);
    }
    SECTION("again and again, until it is cancelled")
    {
        std::unique_ptr<timer> t;
        t = std::make_unique<timer>(l,
                                    [&]
                                    {
                                        if (++calls < 3)
                                            return;
                                        t->cancel();
                                        stop(l);
                                    });
        t->start_periodic(std::chrono::microseconds(1));
        run(l);
        REQUIRE(calls == 3);
    }
    SECTION("and may be destroyed by it")
    {
        std::unique_ptr<timer> t;
        t = std::make_unique<timer>(l,
                                    [&]
                                    {
                                        t.reset();
                                        stop(l);
                                    });
        t->start_once(std::chrono::microseconds(1));
        run(l);
        REQUIRE(!t);
    }
}

TEST_CASE("A task's failure reaches whoever joins it")
{
    task_thread task("failing",
                     []
                     {
                         throw failure_in_task();
                     });
    REQUIRE_THROWS_AS(task.join(), failure_in_task);
}
