#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <event2/http.h>
#include <platform/http1_client.hpp>
#include <platform/promotion_client.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

/// A server that reads nothing before it is told to.
struct late_server
{
    late_server() : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const socket_address any = to_socket_address({"127.0.0.1", 0});
        REQUIRE(bind(m_listener,
                     reinterpret_cast<const sockaddr*>(&any.m_storage),
                     any.m_length) == 0);
        const int size = receive_buffer;
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        REQUIRE(listen(m_listener, 1) == 0);
        m_address = local_address(m_listener);
    }
    ~late_server()
    {
        close(m_accepted);
        close(m_listener);
    }
    late_server(const late_server&) = delete;
    late_server& operator=(const late_server&) = delete;

    /// The kernel doubles it.
    static constexpr std::size_t receive_buffer = 8192;

    void accept_one()
    {
        m_accepted = accept(m_listener, nullptr, nullptr);
        REQUIRE(m_accepted >= 0);
    }

    // Returns true if the client has reset the connection.
    bool is_reset() const
    {
        constexpr int limit_ms = 5000;
        pollfd state{m_accepted, POLLRDHUP, 0};
        return poll(&state, 1, limit_ms) == 1 && (state.revents & POLLERR) != 0;
    }

    // Reads until the end. Returns the number of bytes.
    std::size_t read_all() const
    {
        std::size_t all = 0;
        std::array<char, 65536> bytes{};
        for (;;)
        {
            const ssize_t count =
                recv(m_accepted, bytes.data(), bytes.size(), 0);
            if (count <= 0)
                return all;
            all += static_cast<std::size_t>(count);
        }
    }

    int m_listener = -1;
    int m_accepted = -1;
    address m_address;
};

}

// Guards against a promotion order that its sender has abandoned and that takes
// effect after an order of the next holder of the duty.
SCENARIO("A request is abandoned while its server doesn't read")
{
    late_server server;
    loop l = make_loop();

    GIVEN("a promotion order")
    {
        const send_promotion_function send =
            make_promotion_client(l, server.m_address);
        std::optional<promotion_order_result> result;
        send({"ledger", "i-2", "vm-1", 7},
             [&](promotion_order_result r)
             {
                 result = r;
                 stop(l);
             });
        run(l);
        REQUIRE(result == promotion_order_result::unknown);

        THEN("the connection is reset, and the server can drop what it has")
        {
            server.accept_one();
            CHECK(server.is_reset());
        }
    }
    GIVEN("a request of which a part is still with the sender")
    {
        constexpr std::size_t past_the_servers_buffer =
            16 * late_server::receive_buffer;
        http1_client client(l, server.m_address);
        http1_request call;
        call.m_method = EVHTTP_REQ_POST;
        call.m_path = "/promote";
        call.m_body.assign(past_the_servers_buffer, 'x');
        call.m_timeout = 200ms;
        bool answered = true;
        client.send(call,
                    [&](http1_response& a)
                    {
                        answered = a.m_status.has_value();
                        stop(l);
                    });
        run(l);
        REQUIRE_FALSE(answered);

        THEN("the rest isn't sent when the server reads again")
        {
            server.accept_one();
            CHECK(server.read_all() <= 2 * late_server::receive_buffer);
        }
    }
}

// Guards against an order of a process that is paused between its decision and
// the write to the socket, and sends it when it goes on.
SCENARIO("A process is paused when it has queued a request")
{
    loop l = make_loop();
    int received = 0;
    const std::unique_ptr<evhttp, void (*)(evhttp*)> server(
        evhttp_new(l.m_base.get()), evhttp_free);
    evhttp_set_gencb(
        server.get(),
        [](evhttp_request* request, void* context)
        {
            ++*static_cast<int*>(context);
            evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
        },
        &received);
    evhttp_bound_socket* const bound =
        evhttp_bind_socket_with_handle(server.get(), "127.0.0.1", 0);
    REQUIRE(bound != nullptr);
    http1_client client(l, local_address(evhttp_bound_socket_get_fd(bound)));
    http1_request call;
    call.m_method = EVHTTP_REQ_POST;
    call.m_path = "/promote";
    call.m_body = "{}";
    call.m_timeout = 200ms;
    std::optional<int> status;
    const auto done = [&](http1_response& a)
    {
        status = a.m_status;
        stop(l);
    };

    GIVEN("a connection that is open")
    {
        client.send(call, done);
        run(l);
        REQUIRE(status == HTTP_OK);
        REQUIRE(received == 1);
        client.send(call, done);
        std::this_thread::sleep_for(call.m_timeout + 50ms);
        run(l);

        THEN("the request isn't sent")
        {
            CHECK_FALSE(status);
            timer later(l,
                        [&]
                        {
                            stop(l);
                        });
            later.start_once(100ms);
            run(l);
            CHECK(received == 1);
        }
    }
    GIVEN("a connection that is being made")
    {
        client.send(call, done);
        std::this_thread::sleep_for(call.m_timeout + 50ms);
        run(l);

        THEN("the request isn't sent")
        {
            CHECK_FALSE(status);
            CHECK(received == 0);
        }
    }
}
