#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <platform/usage_client.hpp>
#include <wire/socket_address.hpp>

using namespace bluebellspoke;

namespace
{

/// A service that answers each call with the status that the test gave it.
struct scripted_service
{
    explicit scripted_service(loop& l)
        : m_http(evhttp_new(l.m_base.get()), evhttp_free)
    {
        evhttp_set_gencb(m_http.get(), &answer, this);
        evhttp_bound_socket* const bound =
            evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
        REQUIRE(bound != nullptr);
        m_address = local_address(evhttp_bound_socket_get_fd(bound));
    }

    static void answer(evhttp_request* request, void* context)
    {
        auto& s = *static_cast<scripted_service*>(context);
        s.m_path = evhttp_request_get_uri(request);
        evkeyvalq* const headers = evhttp_request_get_input_headers(request);
        s.m_holder = evhttp_find_header(headers, "Bluebellspoke-Duty-Holder");
        s.m_token = evhttp_find_header(headers, "Bluebellspoke-Fencing-Token");
        s.m_type = evhttp_find_header(headers, "Content-Type");
        evbuffer* const in = evhttp_request_get_input_buffer(request);
        s.m_body.resize(evbuffer_get_length(in));
        evbuffer_copyout(in, s.m_body.data(), s.m_body.size());
        evhttp_send_reply(request, s.m_status, "scripted", nullptr);
    }

    std::unique_ptr<evhttp, void (*)(evhttp*)> m_http;
    address m_address;
    int m_status = HTTP_OK;
    std::string m_path;
    std::string m_holder;
    std::string m_token;
    std::string m_type;
    std::string m_body;
};

}

SCENARIO("Usage reports reach the platform as it expects them")
{
    loop l = make_loop();
    scripted_service service(l);
    const send_usage_function send = make_usage_client(l, service.m_address);
    const auto result_with = [&](int status)
    {
        service.m_status = status;
        std::optional<usage_call_result> result;
        send({353'445'120, {{"miny420", 412}, {"dewu331", 412}}, "vm-1", 12},
             [&](usage_call_result r)
             {
                 result = r;
                 stop(l);
             });
        run(l);
        return result;
    };

    GIVEN("a service that takes them")
    {
        CHECK(result_with(200) == usage_call_result::accepted);

        THEN("holder, token, window and counts are on the wire")
        {
            CHECK(service.m_path == "/usage");
            CHECK(service.m_holder == "vm-1");
            CHECK(service.m_token == "12");
            CHECK(service.m_type == "application/json");
            CHECK(nlohmann::json::parse(service.m_body) ==
                  nlohmann::json::parse(
                      R"({"window-id":353445120,)"
                      R"("counts":{"miny420":412,"dewu331":412}})"));
        }
        THEN("a second call has the same bytes")
        {
            const std::string first = service.m_body;
            result_with(200);
            CHECK(service.m_body == first);
        }
    }
    GIVEN("a service that doesn't")
    {
        THEN("what may be accepted later is told from what won't be")
        {
            CHECK(result_with(429) == usage_call_result::throttled);
            CHECK(result_with(503) == usage_call_result::unavailable);
            CHECK(result_with(400) == usage_call_result::refused);
        }
    }
    GIVEN("no service")
    {
        service.m_http.reset();
        CHECK(result_with(0) == usage_call_result::unknown);
    }
}
