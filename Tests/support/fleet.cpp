#include <support/fleet.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

#include <support/loopback.hpp>

namespace bluebellspoke::support
{

namespace
{

using nlohmann::json;

std::string zone_name(const fleet_options& options, std::size_t index)
{
    return "zone-" + std::to_string(index % options.m_zones + 1);
}

std::string log_file(const std::string& name)
{
    const char* folder = std::getenv("BLUEBELLSPOKE_TEST_LOGS");
    return folder == nullptr ? std::string() : std::string(folder) + "/" + name;
}

// A relay before an endpoint is crossed by daemons and replicas alike, so a cut
// there parts the endpoint from both.
address reached_at(const endpoint_node& e)
{
    return e.m_relay ? e.m_relay->local() : e.m_address;
}

void add_endpoint(fleet& f, std::size_t index)
{
    const fleet_options& o = f.m_options;
    endpoint_node e;
    e.m_name = "e" + std::to_string(index + 1);
    e.m_zone = zone_name(o, index);
    e.m_address = free_address();
    const std::filesystem::path folder = f.m_kept.m_path / e.m_name;
    std::filesystem::create_directory(folder);
    e.m_command = {TEST_ENDPOINT,
                   "--listen",
                   to_string(e.m_address),
                   "--slots",
                   std::to_string(o.m_slots),
                   "--connections",
                   std::to_string(o.m_connections),
                   "--service-us",
                   std::to_string(o.m_service_us),
                   "--lag-ms",
                   std::to_string(o.m_lag_ms),
                   "--folder",
                   folder.native()};
    if (index > 0)
    {
        e.m_command.emplace_back("--follow");
        e.m_command.push_back(to_string(reached_at(f.m_endpoints.front())));
    }
    start_endpoint(e);
    if (o.m_relays)
        e.m_relay = std::make_unique<relay>(e.m_address);
    f.m_endpoints.push_back(std::move(e));
}

void add_tls_words(std::vector<std::string>& command, const tls_files& files)
{
    command.insert(command.end(),
                   {"--tls-certificate", files.m_certificate.native(),
                    "--tls-key", files.m_key.native(), "--tls-authorities",
                    files.m_authorities.native(), "--platform-authorities",
                    files.m_authorities.native()});
}

void add_daemon(fleet& f, std::size_t index)
{
    daemon_node d;
    d.m_name = "vm-" + std::to_string(index + 1);
    d.m_zone = zone_name(f.m_options, index);
    d.m_callers = free_address();
    d.m_peers = free_address();
    d.m_admin = free_address();
    address platform = f.m_platform_address;
    if (f.m_options.m_relays)
    {
        d.m_platform = std::make_unique<relay>(platform);
        platform = d.m_platform->local();
    }
    const auto& builds = f.m_options.m_builds;
    const daemon_build build =
        builds.empty() ? current_build() : builds[index % builds.size()];
    d.m_command = {build.m_program,
                   "--name",
                   d.m_name,
                   "--zone",
                   d.m_zone,
                   "--platform",
                   to_string(platform),
                   "--charts",
                   build.m_charts,
                   "--listen",
                   to_string(d.m_callers),
                   "--peer-listen",
                   to_string(d.m_peers),
                   "--admin-listen",
                   to_string(d.m_admin)};
    const auto& runner = f.m_options.m_daemon_runner;
    d.m_command.insert(d.m_command.begin(), runner.begin(), runner.end());
    const auto& flags = f.m_options.m_daemon_flags;
    d.m_command.insert(d.m_command.end(), flags.begin(), flags.end());
    if (f.m_options.m_authority != nullptr)
        add_tls_words(d.m_command, f.m_options.m_authority->issue(d.m_name));
    start_daemon(d);
    f.m_daemons.push_back(std::move(d));
}

void post_to_platform(const fleet& f, const std::string& path, const json& body)
{
    tls_context_ptr tls;
    if (f.m_options.m_authority != nullptr)
        tls = load_client_tls({{}, {}, f.m_options.m_authority->authorities()});
    caller c(f.m_platform_address, tls);
    if (c.send({"POST", path, {}, body.dump()}).m_status != 200)
        throw spawn_error();
}

}

json vm_list(const fleet& f)
{
    json vms = json::array();
    for (const daemon_node& d : f.m_daemons)
        vms.push_back({{"name", d.m_name},
                       {"address", to_string(d.m_peers)},
                       {"zone", d.m_zone},
                       {"state", "live"}});
    return vms;
}

json dump_of(const daemon_node& d)
{
    const json whole = admin_get(d, "/dump").json();
    return whole.is_object() ? whole.at("tasks") : json();
}

void save_platform(const fleet& f)
{
    post_to_platform(f, "/standin/save", json::object());
}

void restore_platform(const fleet& f)
{
    post_to_platform(f, "/standin/restore", json::object());
}

json group_node(const fleet& f)
{
    json endpoints = json::array();
    for (const endpoint_node& e : f.m_endpoints)
    {
        endpoints.push_back({{"name", e.m_name},
                             {"address", to_string(reached_at(e))},
                             {"zone", e.m_zone}});
    }
    return {{"kind", "service"},
            {"slots", f.m_options.m_slots},
            {"connections", f.m_options.m_connections},
            {"endpoints", std::move(endpoints)}};
}

fleet_options read_fleet_options(const nlohmann::json& text)
{
    fleet_options o;
    o.m_daemons = text.value("daemons", o.m_daemons);
    o.m_endpoints = text.value("endpoints", o.m_endpoints);
    o.m_zones = text.value("zones", o.m_zones);
    o.m_lag_ms = text.value("lag_ms", o.m_lag_ms);
    o.m_service_us = text.value("service_us", o.m_service_us);
    o.m_slots = text.value("slots", o.m_slots);
    o.m_connections = text.value("connections", o.m_connections);
    o.m_daemon_flags = text.value("daemon_flags", o.m_daemon_flags);
    return o;
}

fleet::fleet(const fleet_options& options) : m_options(options)
{
    m_platform_address = free_address();
    std::vector<std::string> command{TEST_PLATFORM, "--listen",
                                     to_string(m_platform_address)};
    if (options.m_authority != nullptr)
    {
        const tls_files files = options.m_authority->issue("platform");
        command.insert(command.end(),
                       {"--tls-certificate", files.m_certificate.native(),
                        "--tls-key", files.m_key.native()});
    }
    m_platform = std::make_unique<child_process>(command, log_file("platform"));
    m_platform->read_line();
    for (std::size_t i = 0; i < options.m_endpoints; ++i)
        add_endpoint(*this, i);
    put_node(*this, "group", group_node(*this));
    for (std::size_t i = 0; i < options.m_daemons; ++i)
        add_daemon(*this, i);
    set_vms(*this, vm_list(*this));
    for (const daemon_node& d : m_daemons)
        if (!eventually(
                [&d]
                {
                    return admin_get(d, "/ready").m_status == 200;
                }))
            throw spawn_error();
}

void start_daemon(daemon_node& d)
{
    d.m_process =
        std::make_unique<child_process>(d.m_command, log_file(d.m_name));
}

void start_endpoint(endpoint_node& e)
{
    e.m_process =
        std::make_unique<child_process>(e.m_command, log_file(e.m_name));
    e.m_process->read_line();
}

finished_program ctl(const fleet& f, std::vector<std::string> words)
{
    std::vector<std::string> command{TEST_CTL, "--platform",
                                     to_string(f.m_platform_address)};
    if (f.m_options.m_authority != nullptr)
        add_tls_words(command, f.m_options.m_authority->issue("operator"));
    for (std::string& word : words)
        command.push_back(std::move(word));
    return run_program(command);
}

void put_node(const fleet& f, const std::string& path, const json& node)
{
    if (ctl(f, {"put", path, node.dump()}).m_code != 0)
        throw spawn_error();
}

void put_node_unchecked(const fleet& f, const std::string& path,
                        const json& node)
{
    caller c(f.m_platform_address);
    const std::string object = "/v1/objects/settings/" + path;
    const json present = c.send({"GET", object, {}, {}}).json();
    const std::uint64_t version =
        present.is_object() ? present.value("version", std::uint64_t{0}) : 0;
    const reply written =
        c.send({"PUT",
                object + "?if_version=" + std::to_string(version),
                {},
                node.dump()});
    if (written.m_status != 200)
        throw spawn_error();
}

std::string grant_key(const fleet& f, const std::string& workspace,
                      const std::string& id)
{
    const finished_program granted = ctl(f, {"grant", workspace, id});
    if (granted.m_code != 0)
        throw spawn_error();
    return granted.m_output.substr(0, granted.m_output.find('\n'));
}

void set_platform_fault(const fleet& f, const json& fault)
{
    post_to_platform(f, "/standin/fault", fault);
}

void set_vms(const fleet& f, const json& vms)
{
    post_to_platform(f, "/standin/vms", {{"vms", vms}});
}

namespace
{

struct admin_answer
{
    reply m_reply;
    event_base* m_base;
};

void on_admin_answer(evhttp_request* request, void* user)
{
    auto& answer = *static_cast<admin_answer*>(user);
    if (request != nullptr)
    {
        answer.m_reply.m_status = evhttp_request_get_response_code(request);
        evbuffer* in = evhttp_request_get_input_buffer(request);
        answer.m_reply.m_body.resize(evbuffer_get_length(in));
        evbuffer_remove(in, answer.m_reply.m_body.data(),
                        answer.m_reply.m_body.size());
    }
    event_base_loopbreak(answer.m_base);
}

}

reply admin_get(const daemon_node& d, const std::string& path)
{
    const loop l = make_loop();
    evhttp_connection* connection = evhttp_connection_base_new(
        l.m_base.get(), nullptr, d.m_admin.m_host.c_str(), d.m_admin.m_port);
    constexpr int limit_seconds = 5;
    evhttp_connection_set_timeout(connection, limit_seconds);
    admin_answer answer{{}, l.m_base.get()};
    evhttp_request* request = evhttp_request_new(on_admin_answer, &answer);
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path.c_str());
    event_base_dispatch(l.m_base.get());
    evhttp_connection_free(connection);
    return answer.m_reply;
}

bool eventually(const std::function<bool()>& done,
                std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds pause{20};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

}
