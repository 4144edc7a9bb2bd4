#include <standin/platform_server.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void run_later(platform_server& p, std::chrono::milliseconds delay,
               const sigc::slot<void()>& work)
{
    p.m_timers.push_back(nullptr);
    const auto place = std::prev(p.m_timers.end());
    *place = std::make_unique<timer>(p.m_loop,
                                     [&p, place, work]
                                     {
                                         const auto keep = std::move(*place);
                                         p.m_timers.erase(place);
                                         work();
                                     });
    (*place)->start_once(delay);
}

void answer(platform_server& p, exchange_id exchange, int status,
            const json& body)
{
    http2_response response;
    response.m_status = status;
    response.m_headers = {{"content-type", "application/json"}};
    response.m_body = body.dump();
    if (p.m_mode != platform_mode::slow)
    {
        p.m_server->respond(exchange, std::move(response));
        return;
    }
    run_later(p, p.m_delay,
              [&p, exchange, response]
              {
                  p.m_server->respond(exchange, response);
              });
}

json to_json(const std::string& name, const stored_object& object)
{
    const bool exists = !object.m_value.is_null();
    return {{"name", name},
            {"version", exists ? object.m_version : 0},
            {"value", object.m_value}};
}

json listing(const platform_server& p, std::string_view prefix,
             std::uint64_t after)
{
    json objects = json::array();
    for (auto it = p.m_objects.lower_bound(std::string(prefix));
         it != p.m_objects.end() && it->first.starts_with(prefix); ++it)
    {
        const bool wanted = it->second.m_version > after &&
                            (after > 0 || !it->second.m_value.is_null());
        if (wanted)
            objects.push_back(to_json(it->first, it->second));
    }
    return {{"revision", p.m_revision}, {"objects", std::move(objects)}};
}

void wake_watches(platform_server& p, std::string_view name)
{
    for (auto next = p.m_watches.begin(); next != p.m_watches.end();)
    {
        const auto watch = next++;
        if (!name.starts_with(watch->m_prefix))
            continue;
        const platform_watch woken = std::move(*watch);
        p.m_watches.erase(watch);
        answer(p, woken.m_exchange, ok,
               listing(p, woken.m_prefix, woken.m_after));
    }
}

// `value` null removes the object.
void write(platform_server& p, const arrived_request& arrived,
           const std::string& name, const json& value)
{
    ++p.m_writes;
    const std::uint64_t wanted =
        to_number(find_query(arrived.m_request.m_path, "if_version"));
    stored_object& object = p.m_objects[name];
    const std::uint64_t present =
        object.m_value.is_null() ? 0 : object.m_version;
    if (wanted != present)
    {
        answer(p, arrived.m_exchange, conflict, to_json(name, object));
        return;
    }
    object = {++p.m_revision, value};
    if (p.m_mode == platform_mode::lose_answers)
        run_later(p, std::chrono::milliseconds(0),
                  [&p, connection = arrived.m_exchange.m_connection]
                  {
                      p.m_server->disconnect(connection);
                  });
    else
        answer(p, arrived.m_exchange, ok, to_json(name, object));
    wake_watches(p, name);
}

void read(platform_server& p, const arrived_request& arrived,
          const std::string& name)
{
    ++p.m_reads;
    const auto object = p.m_objects.find(name);
    const bool exists =
        object != p.m_objects.end() && !object->second.m_value.is_null();
    if (exists)
        answer(p, arrived.m_exchange, ok, to_json(name, object->second));
    else
        answer(p, arrived.m_exchange, not_found, json::object());
}

void start_watch(platform_server& p, const arrived_request& arrived)
{
    ++p.m_watch_calls;
    const std::string& path = arrived.m_request.m_path;
    const std::string prefix(find_query(path, "prefix"));
    const std::uint64_t after = to_number(find_query(path, "after"));
    json changes = listing(p, prefix, after);
    if (!changes.at("objects").empty())
    {
        answer(p, arrived.m_exchange, ok, changes);
        return;
    }
    p.m_watches.push_back({arrived.m_exchange, prefix, after, nullptr});
    const auto watch = std::prev(p.m_watches.end());
    watch->m_limit = std::make_unique<timer>(
        p.m_loop,
        [&p, watch]
        {
            const platform_watch ended = std::move(*watch);
            p.m_watches.erase(watch);
            answer(p, ended.m_exchange, ok,
                   listing(p, ended.m_prefix, p.m_revision));
        });
    watch->m_limit->start_once(
        std::chrono::milliseconds(to_number(find_query(path, "wait_ms"))));
}

void set_fault(platform_server& p, const json& body)
{
    const std::string mode = body.value("mode", "up");
    if (mode == "down")
        p.m_mode = platform_mode::down;
    else if (mode == "silent")
        p.m_mode = platform_mode::silent;
    else if (mode == "slow")
        p.m_mode = platform_mode::slow;
    else if (mode == "lose_answers")
        p.m_mode = platform_mode::lose_answers;
    else
        p.m_mode = platform_mode::up;
    p.m_delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    p.m_vm_lag = std::chrono::milliseconds(body.value("vm_lag_ms", 0));
    // What waits meets the outage too.
    if (p.m_mode != platform_mode::down)
        return;
    for (const platform_watch& watch : p.m_watches)
        answer(p, watch.m_exchange, unavailable, json::object());
    p.m_watches.clear();
}

void set_vms(platform_server& p, const json& body)
{
    run_later(p, p.m_vm_lag,
              [&p, vms = body.at("vms")]
              {
                  p.m_vms = vms;
              });
}

void save(platform_server& p)
{
    p.m_saved = p.m_objects;
    p.m_saved_revision = p.m_revision;
}

// The platform comes back from an older copy of its store.
void restore(platform_server& p)
{
    p.m_objects = p.m_saved;
    p.m_revision = p.m_saved_revision;
}

// The test's own side of the stand-in, which no outage touches.
bool serve_test(platform_server& p, const arrived_request& arrived)
{
    const std::string_view path = path_only(arrived.m_request.m_path);
    if (!path.starts_with("/standin/"))
        return false;
    const json body = json::parse(arrived.m_request.m_body, nullptr, false);
    if (path == "/standin/fault")
        set_fault(p, body);
    else if (path == "/standin/vms")
        set_vms(p, body);
    else if (path == "/standin/save")
        save(p);
    else if (path == "/standin/restore")
        restore(p);
    const json counters{{"reads", p.m_reads},
                        {"writes", p.m_writes},
                        {"watches", p.m_watch_calls},
                        {"revision", p.m_revision}};
    p.m_server->respond(arrived.m_exchange, {ok, {}, counters.dump()});
    return true;
}

void serve(platform_server& p, const arrived_request& arrived)
{
    const http2_request& request = arrived.m_request;
    const std::string_view path = path_only(request.m_path);
    if (path.starts_with(objects_path))
    {
        const std::string name(path.substr(objects_path.size()));
        if (request.m_method == "PUT")
            write(p, arrived, name,
                  json::parse(request.m_body, nullptr, false));
        else if (request.m_method == "DELETE")
            write(p, arrived, name, json());
        else
            read(p, arrived, name);
    }
    else if (path == "/v1/list")
    {
        ++p.m_reads;
        answer(p, arrived.m_exchange, ok,
               listing(p, find_query(request.m_path, "prefix"), 0));
    }
    else if (path == "/v1/watch")
        start_watch(p, arrived);
    else if (path == "/v1/vms")
    {
        ++p.m_reads;
        answer(p, arrived.m_exchange, ok, {{"vms", p.m_vms}});
    }
    else
        answer(p, arrived.m_exchange, not_found, json::object());
}

void on_request(platform_server& p, const arrived_request& arrived)
{
    if (serve_test(p, arrived) || p.m_mode == platform_mode::silent)
        return;
    if (p.m_mode == platform_mode::down)
        answer(p, arrived.m_exchange, unavailable, json::object());
    else
        serve(p, arrived);
}

void forget_watch(platform_server& p, exchange_id exchange)
{
    std::erase_if(p.m_watches,
                  [exchange](const platform_watch& watch)
                  {
                      return watch.m_exchange == exchange;
                  });
}

}

platform_server::platform_server(loop& l, const address& listen) : m_loop(l)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [this](arrived_request& arrived)
    {
        on_request(*this, arrived);
    };
    handlers.m_on_abandoned = [this](exchange_id exchange)
    {
        forget_watch(*this, exchange);
    };
    handlers.m_on_disconnect = [](connection_id) {};
    m_server = std::make_unique<http2_server>(l, listen, http2_server_limits(),
                                              std::move(handlers));
}

}
