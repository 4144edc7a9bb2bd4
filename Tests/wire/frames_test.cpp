#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <wire/http2_server.hpp>
#include <wire/http2_transport.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;

namespace
{

/// What a caller sees of one frame.
struct seen_frame
{
    int m_type = 0;
    int m_flags = 0;
    std::int32_t m_stream = 0;

    friend bool operator==(const seen_frame&, const seen_frame&) = default;
};

constexpr int end_stream = NGHTTP2_FLAG_END_STREAM;
constexpr int end_headers = NGHTTP2_FLAG_END_HEADERS;

/// A caller that notes every frame it gets.
struct watcher
{
    watcher(loop& l, const address& server) : m_loop(l)
    {
        m_callbacks = make_http2_callbacks();
        nghttp2_session_callbacks_set_on_frame_recv_callback(m_callbacks.get(),
                                                             on_frame);
        m_transport.m_stream = make_client_stream(l, server.m_host, {});
        m_transport.m_session = make_http2_session(
            http2_side::client, m_callbacks.get(), this, 100);
        bufferevent* stream = m_transport.m_stream.get();
        bufferevent_setcb(stream, on_readable, nullptr, nullptr, this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        const socket_address to = to_socket_address(server);
        bufferevent_socket_connect(
            stream, reinterpret_cast<const sockaddr*>(&to.m_storage),
            static_cast<int>(to.m_length));
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user)
    {
        auto& w = *static_cast<watcher*>(user);
        w.m_seen.push_back(
            {frame->hd.type, frame->hd.flags, frame->hd.stream_id});
        if (frame->hd.type == NGHTTP2_DATA &&
            (frame->hd.flags & end_stream) != 0)
            stop(w.m_loop);
        return 0;
    }

    static void on_readable(bufferevent*, void* user)
    {
        REQUIRE(feed(static_cast<watcher*>(user)->m_transport));
    }

    /// Asks and returns the frames up to the end of the answer.
    std::vector<seen_frame> ask()
    {
        const header_list pseudo{{":method", "POST"},
                                 {":scheme", "http"},
                                 {":authority", "a"},
                                 {":path", "/"}};
        const std::vector<nghttp2_nv> fields = to_fields(pseudo, {});
        m_body = {"question", 0};
        const nghttp2_data_provider provider = to_provider(m_body);
        nghttp2_submit_request(m_transport.m_session.get(), nullptr,
                               fields.data(), fields.size(), &provider,
                               nullptr);
        m_seen.clear();
        REQUIRE(pump(m_transport));
        run(m_loop);
        return m_seen;
    }

    loop& m_loop;
    http2_callbacks_ptr m_callbacks;
    http2_transport m_transport;
    http2_body m_body;
    std::vector<seen_frame> m_seen;
};

}

TEST_CASE("A caller that keeps its connection gets no frame it can't expect")
{
    loop l = make_loop();
    std::unique_ptr<http2_server> server;
    http2_server_handlers handlers;
    handlers.m_on_request = [&](arrived_request& arrived)
    {
        server->respond(arrived.m_exchange, {200, {}, "answer"});
    };
    handlers.m_on_abandoned = [](exchange_id) {};
    handlers.m_on_disconnect = [](connection_id) {};
    server = std::make_unique<http2_server>(l, address{"127.0.0.1", 0},
                                            http2_server_limits(), handlers);
    watcher caller(l, server->local());

    SECTION("before the first answer come the settings and their receipt")
    {
        REQUIRE(caller.ask() ==
                std::vector<seen_frame>{{NGHTTP2_SETTINGS, 0, 0},
                                        {NGHTTP2_WINDOW_UPDATE, 0, 0},
                                        {NGHTTP2_SETTINGS, NGHTTP2_FLAG_ACK, 0},
                                        {NGHTTP2_HEADERS, end_headers, 1},
                                        {NGHTTP2_DATA, end_stream, 1}});
        SECTION("and the next request gets its answer and nothing else")
        {
            REQUIRE(caller.ask() ==
                    std::vector<seen_frame>{{NGHTTP2_HEADERS, end_headers, 3},
                                            {NGHTTP2_DATA, end_stream, 3}});
            REQUIRE(server->open_connections() == 1);
        }
    }
}
