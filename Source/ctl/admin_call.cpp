#include <ctl/admin_call.hpp>

#include <memory>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

namespace bluebellspoke
{

namespace
{

struct pending_call
{
    loop& m_loop;
    std::optional<admin_answer> m_answer;
};

struct connection_deleter
{
    void operator()(evhttp_connection* connection) const noexcept
    {
        evhttp_connection_free(connection);
    }
};

void on_answer(evhttp_request* request, void* user)
{
    auto& call = *static_cast<pending_call*>(user);
    // A connection that was refused has a request without a status.
    if (request != nullptr && evhttp_request_get_response_code(request) != 0)
    {
        evbuffer* in = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, body.data(), body.size());
        call.m_answer = {evhttp_request_get_response_code(request),
                         std::move(body)};
    }
    stop(call.m_loop);
}

}

std::optional<admin_answer> ask_admin(loop& l, const address& admin,
                                      const std::string& path)
{
    constexpr int limit_seconds = 5;
    const std::unique_ptr<evhttp_connection, connection_deleter> connection(
        evhttp_connection_base_new(l.m_base.get(), nullptr,
                                   admin.m_host.c_str(), admin.m_port));
    evhttp_connection_set_timeout(connection.get(), limit_seconds);
    pending_call call{l, std::nullopt};
    evhttp_request* request = evhttp_request_new(on_answer, &call);
    if (evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET,
                            path.c_str()) == 0)
        run(l);
    return std::move(call.m_answer);
}

std::optional<std::string> call_admin(loop& l, const address& admin,
                                      const std::string& path)
{
    auto answer = ask_admin(l, admin, path);
    if (!answer || answer->m_status != HTTP_OK)
        return std::nullopt;
    return std::move(answer->m_body);
}

}
