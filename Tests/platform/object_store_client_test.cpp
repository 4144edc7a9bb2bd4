#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <platform/object_store_client.hpp>
#include <support/relay.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;

namespace
{

constexpr std::size_t past_any_stack = 400'000;

/// A store that answers each call with the body that the test gave it.
struct scripted_store
{
    explicit scripted_store(loop& l)
        : m_loop(l), m_http(evhttp_new(l.m_base.get()), evhttp_free)
    {
        evhttp_set_gencb(m_http.get(), &answer, this);
        evhttp_bound_socket* const bound =
            evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
        REQUIRE(bound != nullptr);
        m_address = local_address(evhttp_bound_socket_get_fd(bound));
    }

    static void answer(evhttp_request* request, void* context)
    {
        auto& s = *static_cast<scripted_store*>(context);
        s.m_path = evhttp_request_get_uri(request);
        evbuffer_add(evhttp_request_get_output_buffer(request), s.m_body.data(),
                     s.m_body.size());
        evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
        if (!s.m_next_body.empty())
            s.m_body = std::exchange(s.m_next_body, {});
    }

    loop& m_loop;
    std::unique_ptr<evhttp, void (*)(evhttp*)> m_http;
    address m_address;
    std::string m_body;
    std::string m_next_body; ///< Of the calls after the next one.
    std::string m_path;      ///< Of the last call.
};

std::string item(const std::string& name, const std::string& spec)
{
    return R"({"meta":{"name":")" + name +
           R"(","revision":7,"finalizers":[]},"spec":)" + spec + "}";
}

std::string listing(const std::string& items)
{
    return R"({"items":[)" + items + R"(],"has-more":false,"at-revision":9})";
}

store_answer list(loop& l, const object_store& store)
{
    store_answer kept;
    store.m_list(stored_kind::endpoints, false,
                 [&](store_answer& a)
                 {
                     kept = a;
                     stop(l);
                 });
    run(l);
    return kept;
}

store_answer watch(loop& l, const object_store& store)
{
    store_answer kept;
    store.m_watch(stored_kind::endpoints, 1, std::chrono::seconds(1),
                  [&](store_answer& a)
                  {
                      kept = a;
                      stop(l);
                  });
    run(l);
    return kept;
}

// Values that one writer may have left in the store.
std::vector<std::string> odd_specs()
{
    return {R"({"x":1e999})",
            R"({"x":)" + std::string(past_any_stack, '[') +
                std::string(past_any_stack, ']') + "}",
            R"("text")", "null"};
}

}

SCENARIO("One odd entry doesn't spoil the others that the store lists")
{
    loop l = make_loop();
    scripted_store server(l);
    const object_store store = make_object_store(l, server.m_address);
    const std::string good = item("i-1", R"({"state":"ready"})");

    for (const std::string& spec : odd_specs())
    {
        INFO(spec.substr(0, 20));

        GIVEN("a listing with " + spec.substr(0, 20))
        {
            server.m_body = listing(item("i-0", spec) + "," + good);
            const store_answer a = list(l, store);

            THEN("all entries are listed")
            {
                REQUIRE_FALSE(a.m_failure);
                REQUIRE(a.m_revision == 9);
                REQUIRE(a.m_changes.size() == 2);
                CHECK(a.m_changes[0].m_object.m_name == "i-0");
                CHECK(a.m_changes[1].m_object.m_value ==
                      R"({"state":"ready"})");
            }
        }
        GIVEN("a change of " + spec.substr(0, 20))
        {
            server.m_body = R"({"events":[{"object":)" + item("i-0", spec) +
                            R"(,"deleted":false},{"object":)" + good +
                            R"(,"deleted":true}],"at-revision":9})";
            const store_answer a = watch(l, store);

            THEN("all changes are received")
            {
                REQUIRE_FALSE(a.m_failure);
                REQUIRE(a.m_changes.size() == 2);
                CHECK_FALSE(a.m_changes[0].m_deleted);
                CHECK(a.m_changes[1].m_deleted);
            }
        }
    }
    GIVEN("entries whose name or revision can't be read")
    {
        server.m_body =
            listing(R"({"meta":{"name":5,"revision":7},"spec":{}},)"
                    R"({"meta":{"name":"i-0","revision":-7},"spec":{}},)"
                    R"({"meta":{"name":"i-0","revision":1e999},"spec":{}},)"
                    R"({"spec":{}},7,)" +
                    good);
        const store_answer a = list(l, store);

        THEN("they are counted, and the others are listed")
        {
            REQUIRE_FALSE(a.m_failure);
            CHECK(a.m_unreadable == 5);
            REQUIRE(a.m_changes.size() == 1);
            CHECK(a.m_changes[0].m_object.m_name == "i-1");
        }
    }
    GIVEN("a page that isn't the last and ends with a name of any characters")
    {
        server.m_body = R"({"items":[)" + item("a b&c", "{}") +
                        R"(],"has-more":true,"at-revision":9})";
        store.m_list(stored_kind::endpoints, false, [](store_answer&) {});
        while (server.m_path.find("after") == std::string::npos)
            event_base_loop(l.m_base.get(), EVLOOP_ONCE);

        THEN("the next one is asked for by that name")
        {
            CHECK(server.m_path == "/api/objects/servers?after=a%20b%26c");
        }
    }
    GIVEN("a store that changes between the pages of a listing")
    {
        server.m_body =
            R"({"items":[)" + good + R"(],"has-more":true,"at-revision":9})";
        server.m_next_body = R"({"items":[)" + item("i-2", "{}") +
                             R"(],"has-more":false,"at-revision":12})";
        const store_answer a = list(l, store);

        THEN("changes after the first page are watched for")
        {
            REQUIRE_FALSE(a.m_failure);
            CHECK(a.m_changes.size() == 2);
            CHECK(a.m_revision == 9);
        }
    }
    GIVEN("a body that isn't a listing")
    {
        for (const char* body : {"", "7", "{}", R"({"items":[)",
                                 R"({"items":[],"at-revision":-1})"})
        {
            server.m_body = body;
            CHECK(list(l, store).m_failure == store_failure::unreadable);
        }
    }
}

SCENARIO("A call doesn't wait for a connection that went silent while idle")
{
    loop l = make_loop();
    scripted_store server(l);
    server.m_body = listing("");
    support::relay network(server.m_address);
    const object_store store = make_object_store(l, network.local());
    REQUIRE_FALSE(list(l, store).m_failure);

    GIVEN("a connection that is idle and silent for longer than a watch")
    {
        network.silence_connections();
        std::this_thread::sleep_for(std::chrono::seconds(4));

        THEN("the next call is answered")
        {
            REQUIRE_FALSE(list(l, store).m_failure);
        }
    }
}
