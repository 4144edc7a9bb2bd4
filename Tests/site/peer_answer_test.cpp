#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <catch2/catch.hpp>
#include <decide/first_settings.hpp>
#include <peer/peer_call.hpp>
#include <platform/store_value_codec.hpp>
#include <support/loopback.hpp>
#include <support/scarce_memory.hpp>
#include <task/boot_clock.hpp>
#include <task/task_thread.hpp>
#include <wire/http2_server.hpp>

#include "lone_site_task.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// What the site task has no memory for, once.
std::atomic<bool> fails_config = false;
std::atomic<bool> fails_third_endpoint = false;

site_codec failing_codec()
{
    site_codec c = store_value_codec();
    c.m_read_config = [](std::string_view value)
    {
        if (fails_config.exchange(false))
            throw std::bad_alloc();
        auto* config = new site_config;
        site_config_ptr owned(config);
        config->m_version = std::stoul(std::string(value));
        config->m_services["ledger-db"] = {"ledger-db", 64, 1};
        return owned;
    };
    c.m_read_endpoint = [](std::string_view id, std::string_view)
    {
        if (id == "i-3" && fails_third_endpoint.exchange(false))
            throw std::bad_alloc();
        site_endpoint e;
        e.m_id = id;
        e.m_service = "ledger-db";
        e.m_zone = "zone-1";
        return std::optional(e);
    };
    return c;
}

// A store that answers nobody, so that everything comes from the peer.
object_store absent_store(loop&)
{
    object_store s;
    s.m_list = [](stored_kind, bool, const store_callback& done)
    {
        store_answer a;
        a.m_failure = store_failure::unreachable;
        done(a);
    };
    return s;
}

// A store whose first answers are on their way.
object_store silent_store(loop&)
{
    object_store s;
    s.m_list = [](stored_kind, bool, const store_callback&) {};
    return s;
}

struct peer_stop
{
};

/// A process whose store answers, on a thread of its own.
class informed_peer
{
public:
    informed_peer()
    {
        http2_server_handlers handlers;
        handlers.m_on_request = [this](arrived_request& request)
        {
            answer(request);
        };
        handlers.m_on_abandoned = [](exchange_id) {};
        handlers.m_on_disconnect = [](connection_id) {};
        m_server = std::make_unique<http2_server>(
            m_loop, free_address(), http2_server_limits(), std::move(handlers));
        m_box.attach(m_loop,
                     [this](peer_stop&)
                     {
                         stop(m_loop);
                     });
        m_task = std::make_unique<task_thread>("peer",
                                               [this]
                                               {
                                                   run(m_loop);
                                               });
    }
    ~informed_peer()
    {
        m_box.post(peer_stop());
        m_task.reset();
    }
    informed_peer(const informed_peer&) = delete;
    informed_peer& operator=(const informed_peer&) = delete;

    address local() const
    {
        return m_server->local();
    }

    /// From now on its digests have weights of this many workspaces.
    std::atomic<std::size_t> m_workspaces = 1;
    std::atomic<std::size_t> m_digests = 0;
    std::atomic<std::size_t> m_fetches = 0; ///< Requests for its settings.

private:
    void answer(const arrived_request& request)
    {
        const auto message = decode_peer_request(*m_server, request);
        if (!message)
            return;
        if (std::holds_alternative<peer_site_digest>(*message))
            answer_peer(*m_server, request.m_exchange, digest());
        else if (const auto* m = std::get_if<peer_settings_request>(&*message))
        {
            ++m_fetches;
            answer_peer(*m_server, request.m_exchange, settings(m->m_part));
        }
        else
            answer_peer(*m_server, request.m_exchange, peer_declined{"peer"});
    }

    peer_site_digest digest()
    {
        ++m_digests;
        peer_site_digest d;
        d.m_name = "peer";
        d.m_address = to_string(m_server->local());
        d.m_zone = "zone-1";
        d.m_store_is_available = true;
        d.m_store_revision = 5;
        d.m_config_version = 1;
        d.m_incarnation = 1;
        d.m_weights_version = 1;
        for (std::size_t i = 0; i < m_workspaces; ++i)
            d.m_weights.push_back({"workspace-" + std::to_string(i), 10});
        return d;
    }

    static peer_settings settings(peer_settings_part part)
    {
        peer_settings m;
        if (part == peer_settings_part::configuration)
        {
            m.m_known.m_configuration = 5;
            m.m_objects.push_back({"config", 5, "1"});
            return m;
        }
        m.m_known.m_endpoints = 5;
        m.m_known.m_evacuations = 5;
        for (const char* name :
             {"endpoint/i-1", "endpoint/i-2", "endpoint/i-3"})
            m.m_objects.push_back({name, 5, "{}"});
        return m;
    }

    loop m_loop = make_loop();
    mailbox<peer_stop> m_box{1};
    std::unique_ptr<http2_server> m_server;
    std::unique_ptr<task_thread> m_task;
};

site_settings settings_with(const informed_peer& peer)
{
    site_settings s;
    s.m_name = "self";
    s.m_zone = "zone-1";
    s.m_peer_listen = free_address();
    s.m_seeds = {peer.local()};
    return s;
}

template <class Message>
std::size_t count_posted(const lone_site_task& t)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(t.posted(),
                              [](const session_message& m)
                              {
                                  return std::holds_alternative<Message>(m);
                              }));
}

// Whether each list of endpoints that was posted is complete; false if none is.
bool has_only_complete_lists(const lone_site_task& t)
{
    bool found = false;
    for (const session_message& m : t.posted())
        if (const auto* e = std::get_if<endpoints_changed>(&m))
        {
            found = true;
            if (e->m_snapshot->m_endpoints.size() != 3)
                return false;
        }
    return found;
}

bool counts_failures(lone_site_task& t, std::size_t failures)
{
    return t.metrics().find("peer_answers_failed_total " +
                            std::to_string(failures)) != std::string::npos;
}

}

// Guards against an exception that ends the process, and against one after
// which a part of what the peer said counts as known.
SCENARIO("An answer of a peer meets an unexpected exception")
{
    informed_peer peer;

    WHEN("it has the configuration")
    {
        fails_config = true;
        lone_site_task t(settings_with(peer), failing_codec(), absent_store);

        THEN("it is fetched again")
        {
            CHECK(t.await(
                [&]
                {
                    return count_posted<config_changed>(t) == 1;
                }));
            CHECK_FALSE(fails_config);
            CHECK(counts_failures(t, 1));
        }
    }
    WHEN("it has the list of endpoints")
    {
        fails_third_endpoint = true;
        lone_site_task t(settings_with(peer), failing_codec(), absent_store);

        THEN("it is fetched again, and nobody gets a part of it")
        {
            CHECK(t.await(
                [&]
                {
                    return has_only_complete_lists(t);
                }));
            CHECK_FALSE(fails_third_endpoint);
            CHECK(counts_failures(t, 1));
        }
    }
}

// Guards against an exception that ends the process, and against a peer that
// counts as ended, so that its part of the rates is used twice.
SCENARIO("The answers of a peer don't fit the memory")
{
    informed_peer peer;
    lone_site_task t(settings_with(peer), failing_codec(), absent_store);
    REQUIRE(t.await(
        [&]
        {
            return count_posted<peer_demand_changed>(t) == 1;
        }));
    constexpr std::size_t many = 20'000;
    constexpr std::size_t large = 100'000; // Bytes.
    constexpr std::size_t failures = 3;
    {
        const scarce_memory scarce("site", large);
        peer.m_workspaces = many;
        const std::size_t before = peer.m_digests;
        REQUIRE(t.await(
            [&]
            {
                return peer.m_digests > before + failures;
            }));
        peer.m_workspaces = 1;
    }

    THEN("it doesn't count as ended, and its next answer counts")
    {
        const std::size_t before = count_posted<peer_demand_changed>(t);
        CHECK(t.await(
            [&]
            {
                return count_posted<peer_demand_changed>(t) > before;
            }));
        CHECK(count_posted<peer_ended>(t) == 0);
        CHECK_FALSE(counts_failures(t, 0));
    }
}

// Guards against all processes of a fleet that starts fetching the settings
// from each seed, whose links are full then.
SCENARIO("A process starts before the store has answered it")
{
    informed_peer peer;
    const time_point start = boot_now();
    lone_site_task t(settings_with(peer), failing_codec(), silent_store);

    WHEN("a seed has told it of its settings")
    {
        REQUIRE(t.await(
            [&]
            {
                return count_posted<peer_demand_changed>(t) == 1;
            }));

        THEN("it waits for the store at first, and then fetches them")
        {
            const bool has_fetched = peer.m_fetches > 0;
            const bool has_waited = boot_now() - start >= first_answer_timeout;
            CHECK((!has_fetched || has_waited));
            CHECK(t.await(
                [&]
                {
                    return count_posted<config_changed>(t) == 1 &&
                           has_only_complete_lists(t);
                }));
            CHECK(peer.m_fetches == 2);
        }
    }
}
