#include <chrono>
#include <memory>
#include <optional>

#include <catch2/catch.hpp>
#include <platform/store_value_codec.hpp>
#include <support/loopback.hpp>

#include "lone_site_task.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

constexpr std::chrono::milliseconds config_delay{500};

struct delayed_answer
{
    explicit delayed_answer(loop& l)
        : m_delay(l,
                  [this]
                  {
                      store_answer a;
                      a.m_changes = {{{"config", 5, "1"}, false}};
                      a.m_revision = 5;
                      m_done(a);
                  })
    {
    }

    store_callback m_done;
    timer m_delay;
};

site_codec small_codec()
{
    site_codec c = store_value_codec();
    c.m_read_config = [](std::string_view)
    {
        auto* config = new site_config;
        site_config_ptr owned(config);
        config->m_version = 1;
        config->m_services["ledger-db"] = {"ledger-db", 64, 1};
        return owned;
    };
    c.m_read_endpoint = [](std::string_view id, std::string_view)
    {
        site_endpoint e;
        e.m_id = id;
        e.m_service = "ledger-db";
        e.m_zone = "zone-1";
        return std::optional(e);
    };
    return c;
}

// A store that answers the question for the configuration last.
object_store slow_store(loop& l)
{
    const auto config = std::make_shared<delayed_answer>(l);
    object_store s;
    s.m_list = [config](stored_kind kind, bool, const store_callback& done)
    {
        if (kind == stored_kind::configuration)
        {
            config->m_done = done;
            config->m_delay.start_once(config_delay);
            return;
        }
        store_answer a;
        if (kind == stored_kind::endpoints)
            a.m_changes = {{{"i-1", 4, "{}"}, false}};
        a.m_revision = 5;
        done(a);
    };
    // Nothing changes any more.
    s.m_watch = [](stored_kind, std::uint64_t, duration,
                   const store_callback&) {};
    s.m_write = [](stored_kind, const stored_object&, const write_callback&) {};
    return s;
}

}

// Guards against a lease that is proven by the primary alone: before the
// configuration is known, so is not how many replicas take part in a commit.
SCENARIO("The list of endpoints arrives before the first configuration")
{
    site_settings settings;
    settings.m_name = "self";
    settings.m_zone = "zone-1";
    settings.m_peer_listen = free_address();
    lone_site_task t(settings, small_codec(), slow_store);

    THEN("the session task learns of the configuration first")
    {
        bool has_config = false;
        bool has_endpoints = false;
        std::size_t read = 0;
        REQUIRE(t.await(
            [&]
            {
                for (; read < t.posted().size() && !has_endpoints; ++read)
                {
                    const session_message& m = t.posted()[read];
                    has_config =
                        has_config || std::holds_alternative<config_changed>(m);
                    has_endpoints =
                        std::holds_alternative<endpoints_changed>(m);
                }
                return has_endpoints;
            }));
        CHECK(has_config);
    }
}
