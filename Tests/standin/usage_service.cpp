#include <standin/usage_service.hpp>

#include <chrono>

#include <event2/buffer.h>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;

void reply(evhttp_request* request, int status, const std::string& text)
{
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(),
                 text.size());
    evhttp_send_reply(request, status, "standin", nullptr);
}

std::string header(evhttp_request* request, const char* name)
{
    const char* const value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

void take_report(usage_service& s, evhttp_request* request,
                 const std::string& body)
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    s.m_calls.push_back(
        {{"holder", header(request, "Bluebellspoke-Duty-Holder")},
         {"token", std::stoull(header(request, "Bluebellspoke-Fencing-Token"))},
         {"at-ms", now.count()},
         {"status", s.m_status},
         {"body", body}});
    if (!s.m_loses_answers)
        reply(request, s.m_status, "{}");
}

}

bool take_usage(usage_service& s, evhttp_request* request,
                const std::string& path, const std::string& body)
{
    if (path == "/usage")
    {
        take_report(s, request, body);
        return true;
    }
    if (path != "/standin/usage")
        return false;
    if (evhttp_request_get_command(request) == EVHTTP_REQ_POST)
    {
        const json change = json::parse(body);
        s.m_status = change.value("status", s.m_status);
        s.m_loses_answers = change.value("loses-answers", s.m_loses_answers);
    }
    reply(request, ok, s.m_calls.dump());
    return true;
}

}
