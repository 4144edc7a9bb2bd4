#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <platform/object_store_client.hpp>
#include <support/relay.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;

namespace
{

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
        evbuffer_add(evhttp_request_get_output_buffer(request), s.m_body.data(),
                     s.m_body.size());
        evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
    }

    loop& m_loop;
    std::unique_ptr<evhttp, void (*)(evhttp*)> m_http;
    address m_address;
    std::string m_body;
};

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
