#include <chrono>
#include <memory>

#include <catch2/catch.hpp>
#include <event2/http.h>
#include <platform/object_store_client.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

// A store that takes requests and answers none.
struct silent_store
{
    explicit silent_store(loop& l)
        : m_http(evhttp_new(l.m_base.get()), evhttp_free)
    {
        evhttp_set_gencb(
            m_http.get(), [](evhttp_request*, void*) {}, nullptr);
        evhttp_bound_socket* const bound =
            evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
        REQUIRE(bound != nullptr);
        m_address = local_address(evhttp_bound_socket_get_fd(bound));
    }

    std::unique_ptr<evhttp, void (*)(evhttp*)> m_http;
    address m_address;
};

// Returns how long a write of that kind waits for its answer.
duration time_until_given_up(loop& l, const object_store& store,
                             stored_kind kind)
{
    const time_point begin = monotonic_clock::now();
    duration took{};
    store.m_write(kind, {"name", 1, "{}"},
                  [&](write_answer& a)
                  {
                      REQUIRE(a.m_failure == store_failure::unreachable);
                      took = monotonic_clock::now() - begin;
                      stop(l);
                  });
    run(l);
    return took;
}

}

// One renewal that wasn't answered took two thirds of the duty's validity.
SCENARIO("The store doesn't answer writes")
{
    loop l = make_loop();
    const silent_store server(l);
    const object_store store = make_object_store(l, server.m_address);

    THEN("a write of a duty's record is given up in time for several others")
    {
        CHECK(3 * time_until_given_up(l, store, stored_kind::duties) <
              duty_validity);
        CHECK(3 * time_until_given_up(l, store, stored_kind::usage_duties) <
              duty_validity);
    }
    THEN("any other write has the time that a slow store takes")
    {
        CHECK(time_until_given_up(l, store, stored_kind::members) >= 1s);
    }
}
