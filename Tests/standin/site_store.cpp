#include <standin/site_store.hpp>

#include <event2/buffer.h>
#include <event2/http.h>

#include <wire/http2_message.hpp>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;
constexpr int missing = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr std::string_view objects_path = "/api/objects/";
constexpr std::string_view calls_path = "/standin/calls";

void reply(evhttp_request* request, int status, const json& body)
{
    const std::string text = body.dump();
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(),
                 text.size());
    evhttp_send_reply(request, status, "standin", nullptr);
}

// The operator's calls, which are those of a test, aren't counted.
bool is_operator(evhttp_request* request)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request),
                              "Standin-Operator") != nullptr;
}

void count_call(site_store& s, evhttp_request* request, const std::string& kind,
                const std::string& what)
{
    if (!is_operator(request))
        ++s.m_calls[kind][what];
}

json events_after(const site_store& s, const std::string& kind,
                  std::uint64_t revision)
{
    json events = json::array();
    for (const store_event& e : s.m_history)
        if (e.m_kind == kind && e.m_revision > revision)
            events.push_back(e.m_event);
    return events;
}

void answer_watch(site_store& s, evhttp_request* request,
                  const std::string& kind, std::uint64_t revision)
{
    const json events = events_after(s, kind, revision);
    count_call(s, request, kind,
               events.empty() ? "watch_expired" : "watch_changed");
    reply(request, ok, {{"events", events}, {"at-revision", s.m_revision}});
}

void wake_watches(site_store& s, const std::string& kind)
{
    for (auto w = s.m_watches.begin(); w != s.m_watches.end();)
    {
        if (w->m_kind != kind)
        {
            ++w;
            continue;
        }
        answer_watch(s, w->m_request, kind, w->m_revision);
        w = s.m_watches.erase(w);
    }
}

void note_change(site_store& s, const std::string& kind, const json& object,
                 bool deleted)
{
    s.m_history.push_back(
        {s.m_revision, kind, {{"object", object}, {"deleted", deleted}}});
    wake_watches(s, kind);
}

void watch(site_store& s, evhttp_request* request, const std::string& kind,
           std::uint64_t revision, std::uint64_t wait_ms)
{
    if (!events_after(s, kind, revision).empty())
        return answer_watch(s, request, kind, revision);
    s.m_watches.push_back({request, kind, revision, nullptr});
    const auto entry = std::prev(s.m_watches.end());
    entry->m_limit = std::make_unique<timer>(
        s.m_loop,
        [&s, entry]
        {
            answer_watch(s, entry->m_request, entry->m_kind, entry->m_revision);
            s.m_watches.erase(entry);
        });
    entry->m_limit->start_once(std::chrono::milliseconds(wait_ms));
}

void list(site_store& s, evhttp_request* request, const std::string& kind)
{
    count_call(s, request, kind, "list");
    json items = json::array();
    const auto found = s.m_objects.find(kind);
    if (found != s.m_objects.end())
        for (const auto& [name, object] : found->second)
            items.push_back(object);
    reply(
        request, ok,
        {{"items", items}, {"has-more", false}, {"at-revision", s.m_revision}});
}

// Creates the object, or replaces it at its revision.
void put(site_store& s, evhttp_request* request, const std::string& kind,
         const json& body, bool creates)
{
    const std::string name = body.at("meta").at("name");
    auto& objects = s.m_objects[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (creates && exists)
    {
        count_call(s, request, kind, "refused");
        return reply(request, conflict, found->second);
    }
    if (!creates && !exists)
        return reply(request, missing, json::object());
    const bool conditional = body["meta"].contains("revision");
    if (exists && conditional &&
        body["meta"]["revision"] != found->second["meta"]["revision"])
    {
        count_call(s, request, kind, "refused");
        return reply(request, conflict, found->second);
    }
    count_call(s, request, kind, creates ? "create" : "replace");
    put_object(s, kind, name, body.at("spec"));
    reply(request, ok, objects[name]);
}

void remove(site_store& s, evhttp_request* request, const std::string& kind,
            const std::string& name)
{
    auto& objects = s.m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return reply(request, missing, json::object());
    count_call(s, request, kind, "remove");
    const json object = found->second;
    remove_object(s, kind, name);
    reply(request, ok, object);
}

std::string text_of(evhttp_request* request)
{
    evbuffer* const in = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, text.data(), text.size());
    return text;
}

json body_of(evhttp_request* request)
{
    return json::parse(text_of(request), nullptr, false);
}

void take_objects(site_store& s, evhttp_request* request, std::string_view path)
{
    const std::string_view place = path_only(path).substr(objects_path.size());
    const std::size_t slash = place.find('/');
    const std::string kind(place.substr(0, slash));
    const std::string_view watched = find_query(path, "watch");
    switch (evhttp_request_get_command(request))
    {
    case EVHTTP_REQ_GET:
        if (watched.empty())
            return list(s, request, kind);
        return watch(s, request, kind, std::stoull(std::string(watched)),
                     std::stoull(std::string(find_query(path, "wait-ms"))));
    case EVHTTP_REQ_POST:
        return put(s, request, kind, body_of(request), true);
    case EVHTTP_REQ_PUT:
        return put(s, request, kind, body_of(request), false);
    default:
        return remove(s, request, kind, std::string(place.substr(slash + 1)));
    }
}

void on_request(evhttp_request* request, void* of)
{
    auto& s = *static_cast<site_store*>(of);
    const std::string path = evhttp_request_get_uri(request);
    if (s.m_own && s.m_own(request, path, text_of(request)))
        return;
    if (path == calls_path)
        return reply(request, ok, s.m_calls);
    if (!path.starts_with(objects_path))
        return reply(request, s.m_other(path, body_of(request)),
                     json::object());
    // The operator is served while the system isn't.
    if (s.m_down && !is_operator(request))
        return reply(request, unavailable, json::object());
    take_objects(s, request, path);
}

}

void put_object(site_store& s, const std::string& kind, const std::string& name,
                const json& spec)
{
    ++s.m_revision;
    json& object = s.m_objects[kind][name];
    object = {{"meta", {{"name", name}, {"revision", s.m_revision}}},
              {"spec", spec},
              {"status", nullptr}};
    note_change(s, kind, object, false);
}

void remove_object(site_store& s, const std::string& kind,
                   const std::string& name)
{
    auto& objects = s.m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    const json object = found->second;
    objects.erase(found);
    ++s.m_revision;
    note_change(s, kind, object, true);
}

void serve_store(site_store& s, const address& at)
{
    s.m_http = evhttp_new(s.m_loop.m_base.get());
    evhttp_set_allowed_methods(s.m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                             EVHTTP_REQ_PUT |
                                             EVHTTP_REQ_DELETE);
    evhttp_set_gencb(s.m_http, &on_request, &s);
    if (evhttp_bind_socket(s.m_http, at.m_host.c_str(), at.m_port) != 0)
        throw loop_error();
}

}
