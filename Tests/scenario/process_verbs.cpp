#include <scenario/process_verbs.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace bluebellspoke::scenario
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using support::daemon_node;
using support::endpoint_node;
using support::reply;

/// A story named a process, a way or a signal that there is none of.
class unknown_name : public story_error
{
public:
    explicit unknown_name(const std::string& name)
        : story_error("unknown name: " + name)
    {
    }
};

daemon_node* find_daemon(process_world& w, const std::string& name)
{
    for (daemon_node& d : w.m_fleet->m_daemons)
        if (d.m_name == name)
            return &d;
    return nullptr;
}

endpoint_node* find_endpoint(process_world& w, const std::string& name)
{
    for (endpoint_node& e : w.m_fleet->m_endpoints)
        if (e.m_name == name)
            return &e;
    return nullptr;
}

daemon_node& daemon_named(process_world& w, const std::string& name)
{
    if (daemon_node* d = find_daemon(w, name))
        return *d;
    throw unknown_name(name);
}

endpoint_node& endpoint_named(process_world& w, const std::string& name)
{
    if (endpoint_node* e = find_endpoint(w, name))
        return *e;
    throw unknown_name(name);
}

support::child_process& process_named(process_world& w, const std::string& name)
{
    if (name == "platform")
        return *w.m_fleet->m_platform;
    if (const daemon_node* d = find_daemon(w, name))
        return *d->m_process;
    return *endpoint_named(w, name).m_process;
}

/// The relay in front of an endpoint, or of a daemon's platform.
support::relay& relay_of(process_world& w, const std::string& name)
{
    if (const daemon_node* d = find_daemon(w, name))
        return *d->m_platform;
    return *endpoint_named(w, name).m_relay;
}

json reset(process_world& w, const json&)
{
    w.m_writers.clear();
    w.m_callers.clear();
    w.m_fleet.reset();
    return nullptr;
}

json start_fleet(process_world& w, const json& arguments)
{
    reset(w, arguments);
    const json& o = arguments.at(0);
    support::fleet_options options;
    options.m_daemons = o.value("daemons", options.m_daemons);
    options.m_endpoints = o.value("endpoints", options.m_endpoints);
    options.m_zones = o.value("zones", options.m_zones);
    options.m_lag_ms = o.value("lag_ms", options.m_lag_ms);
    options.m_service_us = o.value("service_us", options.m_service_us);
    options.m_slots = o.value("slots", options.m_slots);
    options.m_connections = o.value("connections", options.m_connections);
    options.m_daemon_flags = o.value("daemon_flags", options.m_daemon_flags);
    options.m_relays = true;
    w.m_fleet = std::make_unique<support::fleet>(options);
    return nullptr;
}

json start_again(process_world& w, const json& arguments)
{
    const std::string name = arguments.at(0);
    w.m_callers.erase(name);
    if (daemon_node* d = find_daemon(w, name))
        support::start_daemon(*d);
    else
        support::start_endpoint(endpoint_named(w, name));
    return nullptr;
}

json send_signal(process_world& w, const json& arguments)
{
    constexpr std::array<std::pair<std::string_view, int>, 4> signals{
        {{"kill", SIGKILL},
         {"freeze", SIGSTOP},
         {"thaw", SIGCONT},
         {"terminate", SIGTERM}}};
    support::child_process& p = process_named(w, arguments.at(0));
    const std::string wanted = arguments.at(1);
    for (const auto& [name, number] : signals)
    {
        if (wanted != name)
            continue;
        p.send_signal(number);
        if (number == SIGKILL)
            p.wait();
        return nullptr;
    }
    throw unknown_name(wanted);
}

json wait_end(process_world& w, const json& arguments)
{
    return process_named(w, arguments.at(0)).wait();
}

json is_running(process_world& w, const json& arguments)
{
    return process_named(w, arguments.at(0)).running();
}

// cut(NAME, to, from): what goes to an endpoint and what comes from it; for a
// daemon, to and from the platform.
json cut(process_world& w, const json& arguments)
{
    relay_of(w, arguments.at(0)).cut(arguments.at(1), arguments.at(2));
    return nullptr;
}

json drop(process_world& w, const json& arguments)
{
    relay_of(w, arguments.at(0)).drop_connections();
    return nullptr;
}

json seen(process_world& w, const json& arguments)
{
    return relay_of(w, arguments.at(0))
        .passed(arguments.at(1).get_ref<const std::string&>());
}

json set_platform(process_world& w, const json& arguments)
{
    support::set_platform_fault(*w.m_fleet, arguments.at(0));
    return nullptr;
}

json set_vms(process_world& w, const json& arguments)
{
    // An empty list comes as an empty table, which has no kind.
    const json& vms = arguments.at(0);
    support::set_vms(*w.m_fleet, vms.empty() ? json::array() : vms);
    return nullptr;
}

json vm_list(process_world& w, const json&)
{
    json vms = json::array();
    for (const daemon_node& d : w.m_fleet->m_daemons)
        vms.push_back({{"name", d.m_name},
                       {"address", to_string(d.m_peers)},
                       {"zone", d.m_zone},
                       {"state", "live"}});
    return vms;
}

json group_endpoints(process_world& w, const json&)
{
    return support::group_node(*w.m_fleet).at("endpoints");
}

json to_json(const support::finished_program& finished)
{
    return {{"code", finished.m_code}, {"output", finished.m_output}};
}

json run_ctl(process_world& w, const json& arguments)
{
    return to_json(
        support::ctl(*w.m_fleet, arguments.get<std::vector<std::string>>()));
}

// race([WORDS…]): operators that all start at once.
json race(process_world& w, const json& arguments)
{
    std::vector<std::future<support::finished_program>> under_way;
    for (const json& words : arguments.at(0))
        under_way.push_back(
            std::async(std::launch::async,
                       [&w, line = words.get<std::vector<std::string>>()]
                       {
                           return support::ctl(*w.m_fleet, line);
                       }));
    json results = json::array();
    for (auto& one : under_way)
        results.push_back(to_json(one.get()));
    return results;
}

json to_json(const reply& r)
{
    json out{{"status", r.m_status},
             {"error", r.error()},
             {"outcome", r.outcome()},
             {"session", find_header(r.m_headers, "x-bluebellspoke-session")},
             {"text", r.m_body}};
    if (r.m_failure)
        out["failure"] = to_string(*r.m_failure);
    const json body = r.json();
    if (body.is_object())
        out["body"] = body;
    return out;
}

http2_request to_request(const json& request)
{
    http2_request out;
    out.m_method = request.value("method", "POST");
    out.m_path = request.value("path", "/v1/statement");
    if (request.contains("headers"))
        for (const auto& [name, value] : request.at("headers").items())
            out.m_headers.emplace_back(name, value);
    out.m_body = request.value("text", std::string());
    if (request.contains("body"))
        out.m_body = request.at("body").dump();
    return out;
}

support::caller& caller_of(process_world& w, const std::string& daemon)
{
    return w.m_callers.try_emplace(daemon, daemon_named(w, daemon).m_callers)
        .first->second;
}

// send(DAEMON, [REQUEST…], LIMIT_MS): all at once on one connection.
json send(process_world& w, const json& arguments)
{
    std::vector<http2_request> requests;
    for (const json& request : arguments.at(1))
        requests.push_back(to_request(request));
    json replies = json::array();
    for (const reply& r :
         caller_of(w, arguments.at(0))
             .send_all(std::move(requests), milliseconds(arguments.at(2))))
        replies.push_back(to_json(r));
    return replies;
}

// send_everywhere([[DAEMON, REQUEST]…], LIMIT_MS): each on a connection of its
// own, at once.
json send_everywhere(process_world& w, const json& arguments)
{
    const milliseconds limit(arguments.at(1));
    std::vector<std::future<reply>> waiting;
    for (const json& one : arguments.at(0))
        waiting.push_back(
            std::async(std::launch::async,
                       [limit, to = daemon_named(w, one.at(0)).m_callers,
                        request = to_request(one.at(1))]
                       {
                           return support::caller(to).send(request, limit);
                       }));
    json replies = json::array();
    for (auto& one : waiting)
        replies.push_back(to_json(one.get()));
    return replies;
}

json hang_up(process_world& w, const json& arguments)
{
    caller_of(w, arguments.at(0)).hang_up();
    return nullptr;
}

json admin(process_world& w, const json& arguments)
{
    return to_json(
        support::admin_get(daemon_named(w, arguments.at(0)), arguments.at(1)));
}

json begin_writes(process_world& w, const json& arguments)
{
    const json& o = arguments.at(0);
    support::background_options options;
    for (const json& name : o.at("daemons"))
        options.m_daemons.push_back(daemon_named(w, name).m_callers);
    options.m_key = o.at("key");
    options.m_table = o.at("table");
    options.m_period = milliseconds(o.value("period_ms", 5));
    options.m_limit = milliseconds(o.value("limit_ms", 5000));
    options.m_request_ids = o.value("request_ids", true);
    options.m_read_back = o.value("read_back", true);
    w.m_writers[options.m_table] =
        std::make_unique<support::background_writer>(options);
    return nullptr;
}

json finish_writes(process_world& w, const json& arguments)
{
    constexpr std::array<const char*, 4> fates{"waiting", "acknowledged",
                                               "not_run", "unknown"};
    const auto writer = w.m_writers.find(arguments.at(0).get<std::string>());
    if (writer == w.m_writers.end())
        throw unknown_name(arguments.at(0));
    json record = json::array();
    for (const support::recorded_write& one : writer->second->finish())
        record.push_back(
            {{"row", one.m_row},
             {"fate", fates.at(static_cast<std::size_t>(one.m_fate))},
             {"stale", one.m_stale},
             {"mixed", one.m_mixed},
             {"cut", one.m_cut}});
    w.m_writers.erase(writer);
    return record;
}

json pause(process_world&, const json& arguments)
{
    std::this_thread::sleep_for(milliseconds(arguments.at(0)));
    return nullptr;
}

json now_ms(process_world&, const json&)
{
    return std::chrono::duration_cast<milliseconds>(
               monotonic_clock::now().time_since_epoch())
        .count();
}

struct process_verb
{
    const char* m_name;
    json (*m_run)(process_world&, const json&);
};

constexpr std::array verbs{process_verb{"reset", reset},
                           process_verb{"start_fleet", start_fleet},
                           process_verb{"start_again", start_again},
                           process_verb{"signal", send_signal},
                           process_verb{"wait_end", wait_end},
                           process_verb{"is_running", is_running},
                           process_verb{"cut", cut},
                           process_verb{"drop", drop},
                           process_verb{"seen", seen},
                           process_verb{"platform", set_platform},
                           process_verb{"set_vms", set_vms},
                           process_verb{"vm_list", vm_list},
                           process_verb{"ctl", run_ctl},
                           process_verb{"race", race},
                           process_verb{"group_endpoints", group_endpoints},
                           process_verb{"send", send},
                           process_verb{"send_everywhere", send_everywhere},
                           process_verb{"hang_up", hang_up},
                           process_verb{"admin", admin},
                           process_verb{"begin_writes", begin_writes},
                           process_verb{"finish_writes", finish_writes},
                           process_verb{"pause", pause},
                           process_verb{"now_ms", now_ms}};

}

void add_process_verbs(lua_host& host, process_world& world)
{
    for (const process_verb& v : verbs)
        host.add("process", {v.m_name, [run = v.m_run, &world](const json& a)
                             {
                                 return run(world, a);
                             }});
}

}
