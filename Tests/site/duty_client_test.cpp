#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <platform/store_value_codec.hpp>
#include <session/duty_client.hpp>
#include <task/boot_clock.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

// A store with one object, which may lose the answer to the next write.
struct small_store
{
    stored_object m_object;
    bool m_loses_answer = false;

    object_store operations()
    {
        object_store s;
        s.m_list = [this](stored_kind, bool, const store_callback& done)
        {
            store_answer a;
            a.m_changes = {{m_object, false}};
            a.m_revision = m_object.m_revision;
            done(a);
        };
        s.m_write = [this](stored_kind, const stored_object& o,
                           const write_callback& done)
        {
            m_object = {o.m_name, m_object.m_revision + 1, o.m_value};
            write_answer a;
            if (std::exchange(m_loses_answer, false))
                a.m_failure = store_failure::unreachable;
            else
                a.m_object = m_object;
            done(a);
        };
        return s;
    }
};

duty_record released_with_order()
{
    duty_record r;
    r.m_token = 3;
    r.m_pending_promotions["ledger"] = {"e1", 7};
    return r;
}

}

SCENARIO("The answer to the acquisition of a duty is lost")
{
    const site_codec& codec = store_value_codec();
    small_store store{
        {"failover", 10, codec.m_write_duty(released_with_order())}};
    const object_store operations = store.operations();
    site_settings settings;
    settings.m_name = "vm-b";
    std::vector<duty_record> gained;
    duty_client client{"failover",
                       stored_kind::duties,
                       settings,
                       codec,
                       operations,
                       {[&](const duty_record& r)
                        {
                            gained.push_back(r);
                        },
                        [] {},
                        [](duty_record& r)
                        {
                            r.m_pending_promotions.clear();
                        },
                        [] {}},
                       42};
    const time_point now = boot_now();
    store.m_loses_answer = true;
    advance_duty(client, now);
    REQUIRE(gained.empty());

    // A renewal replaced what the holder before had decided, before it was
    // read.
    THEN("the next call leaves what is stored to the new holder")
    {
        advance_duty(client, now + 1s);
        REQUIRE(gained.size() == 1);
        CHECK(gained.front().m_token == 4);
        CHECK(gained.front().m_pending_promotions.contains("ledger"));
    }
    THEN("a release leaves it to the next holder")
    {
        bool done = false;
        release_duty(client,
                     [&]
                     {
                         done = true;
                     });
        const auto stored = codec.m_read_duty(store.m_object.m_value);
        CHECK(done);
        CHECK(stored->m_holder.empty());
        CHECK(stored->m_pending_promotions.contains("ledger"));
    }
}
