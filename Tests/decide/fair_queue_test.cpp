#include <array>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/fair_queue.hpp>

using namespace bluebellspoke;

namespace
{

struct item : fair_queue_hook
{
    char m_workspace = 0;
};

using items = std::vector<std::unique_ptr<item>>;

void add(fair_queue& q, items& all, char workspace, double weight, int count)
{
    for (int i = 0; i < count; ++i)
    {
        auto added = std::make_unique<item>();
        added->m_workspace = workspace;
        enqueue(q, std::string(1, workspace), weight, *added);
        all.push_back(std::move(added));
    }
}

// Serves up to `count` items and returns their workspaces in order of service.
std::string serve(fair_queue& q, std::size_t count)
{
    std::string order;
    while (order.size() < count)
    {
        fair_queue_hook* next = next_item(q,
                                          [](fair_queue_hook&)
                                          {
                                              return true;
                                          });
        if (next == nullptr)
            break;
        order.push_back(static_cast<item*>(next)->m_workspace);
        dequeue(q, *next);
    }
    return order;
}

auto count_of(const std::string& order, char workspace)
{
    return std::count(order.begin(), order.end(), workspace);
}

}

TEST_CASE("Workspaces share scarce slots by their weights")
{
    items all;
    fair_queue q;

    GIVEN("a theme park that queues 1000 items before a ward queues ten")
    {
        add(q, all, 'p', 1, 1000);
        add(q, all, 'w', 1, 10);
        THEN("all items of the ward are among the first twenty served")
        {
            REQUIRE(count_of(serve(q, 20), 'w') == 10);
        }
    }
    GIVEN("weights of three and one")
    {
        add(q, all, 'a', 3, 100);
        add(q, all, 'b', 1, 100);
        THEN("items are served three to one")
        {
            const auto first = count_of(serve(q, 100), 'a');
            REQUIRE(first >= 74);
            REQUIRE(first <= 76);
        }
    }
    GIVEN("a workspace that was idle while another was served")
    {
        add(q, all, 'p', 1, 100);
        serve(q, 50);
        add(q, all, 'w', 1, 50);
        THEN("it gets no credit for its idle time, just its share from then on")
        {
            const auto turns = count_of(serve(q, 40), 'w');
            REQUIRE(turns >= 19);
            REQUIRE(turns <= 21);
        }
    }
    GIVEN("an item that is destroyed while it is queued")
    {
        add(q, all, 'a', 1, 3);
        all.erase(all.begin() + 1);
        THEN("the other items are served")
        {
            REQUIRE(backlog(q, "a") == 2);
            REQUIRE(serve(q, 5) == "aa");
        }
        AND_THEN("the flow of an idle workspace is removed")
        {
            serve(q, 5);
            remove_idle_flows(q);
            add(q, all, 'b', 1, 5);
            serve(q, 5);
            remove_idle_flows(q);
            REQUIRE_FALSE(q.m_flows.contains("a"));
        }
    }
}
