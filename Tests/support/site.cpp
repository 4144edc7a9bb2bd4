#include <support/site.hpp>

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <support/loopback.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke::support
{

namespace
{

using nlohmann::json;

constexpr int answer_limit_ms = 10'000;
constexpr std::chrono::milliseconds moment{25};
constexpr const char* service = "ledger-db";

int connect_to(const address& at)
{
    const socket_address to = to_socket_address(at);
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(s, reinterpret_cast<const sockaddr*>(&to.m_storage),
                to.m_length) == 0)
        return s;
    close(s);
    return -1;
}

// What arrives next, or nothing at the end or after the limit.
std::string receive(int s)
{
    pollfd ready{s, POLLIN, 0};
    if (poll(&ready, 1, answer_limit_ms) != 1)
        return {};
    std::array<char, 4096> bytes{};
    const ssize_t count = recv(s, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return {};
    return {bytes.data(), static_cast<std::size_t>(count)};
}

void send_all(int s, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t count =
            ::send(s, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

// Sends an order to an endpoint. Returns its status afterwards, or nothing if
// it can't be reached.
std::optional<std::string> send_order(const address& endpoint,
                                      const std::string& order)
{
    try
    {
        line_caller c(endpoint);
        c.send(std::string("STARTUP ") + service + " ward");
        if (!c.line())
            return std::nullopt;
        c.send("QUERY - " + order);
        return c.line();
    }
    catch (const std::runtime_error&)
    {
        return std::nullopt;
    }
}

std::string workspace_name(std::size_t number)
{
    constexpr std::array first{"ward", "depot"};
    return number < first.size() ? first.at(number)
                                 : "workspace-" + std::to_string(number);
}

json workspace(std::size_t number, unsigned rate)
{
    return {{"name", workspace_name(number)},
            {"api-keys", {key_of(number)}},
            {"rate-per-s", rate},
            {"burst", rate}};
}

json limits_of(const site_size& size)
{
    json limits = json::object();
    if (size.m_memory_mb > 0)
        limits["memory-mb"] = size.m_memory_mb;
    if (size.m_descriptors > 0)
        limits["max-file-descriptors"] = size.m_descriptors;
    return limits;
}

json first_config(const site_size& size)
{
    json workspaces = json::array();
    for (std::size_t i = 0; i < size.m_workspaces; ++i)
        workspaces.push_back(workspace(i, size.m_rate));
    const auto route = [](const char* database, const char* type)
    {
        return json{{"name", std::string("r-") + database},
                    {"host", database},
                    {"type", type},
                    {"timeout-ms", 2000},
                    {"target-latency-ms", 4000},
                    {"max-staleness-ms", 1500},
                    {"service", service}};
    };
    return {
        {"version", 0},
        {"routes",
         {route("ledger", "primary"), route("browse", "bounded_staleness"),
          route("intake", "read_your_writes")}},
        {"services",
         {{{"name", service}, {"max-connections", 64}, {"sync-replicas", 1}}}},
        {"limits", {{"tx-idle-ms", 3000}}},
        {"tenants", workspaces}};
}

}

std::string key_of(std::size_t workspace)
{
    return workspace_name(workspace) + "-key";
}

line_caller::line_caller(const address& at) : m_socket(connect_to(at))
{
    if (m_socket < 0)
        throw std::runtime_error("no connection to " + to_string(at));
}

line_caller::~line_caller()
{
    close(m_socket);
}

void line_caller::send(const std::string& line)
{
    send_all(m_socket, line + "\r\n");
}

void line_caller::send_part(const std::string& text)
{
    send_all(m_socket, text);
}

void line_caller::end_sending()
{
    shutdown(m_socket, SHUT_WR);
}

bool line_caller::is_closed() const
{
    char next = 0;
    return m_rest.empty() &&
           recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::optional<std::string> line_caller::line()
{
    for (;;)
    {
        const std::size_t end = m_rest.find("\r\n");
        if (end != std::string::npos)
        {
            std::string taken = m_rest.substr(0, end);
            m_rest.erase(0, end + 2);
            return taken;
        }
        const std::string more = receive(m_socket);
        if (more.empty())
            return std::nullopt;
        m_rest.append(more);
    }
}

std::string line_caller::ask(const std::string& statement)
{
    begin(statement);
    return answer();
}

void line_caller::begin(const std::string& statement)
{
    send("QUERY q" + std::to_string(++m_number) + " " + statement);
}

std::string line_caller::answer()
{
    std::string all;
    while (const auto next = line())
    {
        const std::string word = next->substr(0, next->find(' '));
        if (word == "READY")
            return all + next->substr(0, std::string("READY I").size());
        if (word == "ERROR")
            all.append(next->substr(0, next->find(' ', word.size() + 1)));
        else
            all.append(word == "COMPLETE" ? word : *next);
        all.append(" | ");
    }
    return all + "end";
}

std::string line_caller::start(const std::string& database,
                               const std::string& key)
{
    send("STARTUP " + database + " " + key);
    const auto answer = line();
    if (!answer)
        return "end";
    if (!answer->starts_with("ERROR "))
        return answer->substr(0, answer->find(' '));
    const std::string code = answer->substr(std::string("ERROR ").size());
    return code.substr(0, code.find(' '));
}

http_reply call_http(const address& at, const std::string& method,
                     const std::string& path, const std::string& body)
{
    const int s = connect_to(at);
    if (s < 0)
        return {};
    send_all(s, method + " " + path + " HTTP/1.1\r\nHost: standin\r\n" +
                    "Standin-Operator: yes\r\nConnection: close\r\n" +
                    "Content-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    std::string all;
    for (std::string more = receive(s); !more.empty(); more = receive(s))
        all.append(more);
    close(s);
    const std::size_t head = all.find("\r\n\r\n");
    const std::size_t blank = all.find(' ');
    if (head == std::string::npos || blank == std::string::npos)
        return {};
    return {std::stoi(all.substr(blank)), all.substr(head + 4)};
}

void wait_a_moment()
{
    std::this_thread::sleep_for(moment);
}

site::site(std::size_t daemons) : site(site_size{.m_daemons = daemons}) {}

site::site(const site_size& size)
    : m_zones(size.m_zones), m_limits(limits_of(size)),
      m_bounds(size.m_bounds.begin(), size.m_bounds.end()),
      m_platform(free_address()), m_config(first_config(size))
{
    std::vector<std::string> command{
        TEST_SITE, "--listen", to_string(m_platform), "--service", service};
    for (const char* id : {"i-1", "i-2", "i-3"})
    {
        m_endpoints[id] = free_address();
        command.push_back(to_string(m_endpoints[id]));
    }
    m_standin = std::make_unique<child_process>(command, "");
    if (m_standin->read_line() != "serving")
        throw std::runtime_error("the stand-in doesn't serve");
    configure();
    m_nodes.resize(size.m_daemons);
    for (std::size_t i = 0; i < size.m_daemons; ++i)
    {
        write_node_file(i, m_nodes[i]);
        if (!size.m_builds.empty())
            m_nodes[i].m_build = size.m_builds[i % size.m_builds.size()];
        start_daemon(i);
    }
    for (std::size_t i = 0; i < size.m_daemons; ++i)
        if (!comes_true(
                [&]
                {
                    return is_ready(i);
                }))
            throw std::runtime_error("a daemon isn't ready");
}

site::~site() = default;

void site::write_node_file(std::size_t number, node& n) const
{
    n.m_callers = free_address();
    n.m_probes = free_address();
    n.m_peers = free_address();
    n.m_sessions = free_address();
    n.m_metrics = free_address();
    n.m_file = m_folder.m_path / ("node-" + std::to_string(number) + ".json");
    const auto zone_name = [](std::size_t zone)
    {
        return "zone-" + std::to_string(zone + 1);
    };
    json zones;
    for (std::size_t zone = 0; zone < m_zones; ++zone)
        zones[zone_name(zone)] = "region-1";
    json bounds{{"grace-period-s", 6},
                {"quota-window-s", 5},
                {"quota-overage", 0.1},
                {"quota-tolerance", 20}};
    for (const site_bound& b : m_bounds)
        bounds[b.m_name] = b.m_value;
    const json settings{
        {"node-name", "entry-" + std::to_string(number)},
        {"zone", zone_name(number % m_zones)},
        {"region", "region-1"},
        {"zones", zones},
        {"ip-address", n.m_metrics.m_host},
        {"internal-port-range", {n.m_sessions.m_port, n.m_metrics.m_port}},
        {"listen-addresses",
         {{"frontend", to_string(n.m_callers)},
          {"ready", to_string(n.m_probes)},
          {"control-plane", to_string(n.m_peers)}}},
        {"bootstrap", true},
        {"limits", m_limits},
        {"bounds", bounds},
        {"platform", {{"address", to_string(m_platform)}}},
        {"cloud-api", {{"address", to_string(m_platform)}}}};
    std::ofstream(n.m_file) << settings.dump();
}

void site::change_node_file(std::size_t daemon, const json& change) const
{
    const std::string& file = m_nodes.at(daemon).m_file;
    std::ifstream in(file);
    json settings = json::parse(in);
    settings.merge_patch(change);
    std::ofstream(file) << settings.dump();
}

void site::add_zone(std::size_t daemon, const std::string& zone)
{
    change_node_file(daemon, {{"zones", {{zone, "region-1"}}}});
}

void site::set_seed(std::size_t daemon, const address& peer)
{
    change_node_file(daemon, {{"seed-nodes", {to_string(peer)}}});
}

void site::start_daemon(std::size_t number)
{
    node& n = m_nodes[number];
    const std::vector<std::string> command{n.m_build.m_program, "--node-file",
                                           n.m_file, "--charts",
                                           n.m_build.m_charts};
    n.m_process = std::make_unique<child_process>(command, "");
}

void site::set_build(std::size_t daemon, const daemon_build& build)
{
    m_nodes.at(daemon).m_build = build;
}

void site::configure(const json& change)
{
    m_config.merge_patch(change);
    m_config["version"] = m_config["version"].get<int>() + 3;
    const json body{{"meta", {{"name", "main"}}}, {"spec", m_config}};
    if (call_http(m_platform, "PUT", "/api/objects/config/main", body.dump())
            .m_status == 404)
        call_http(m_platform, "POST", "/api/objects/config", body.dump());
}

void site::set_endpoint(const std::string& id, bool up) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"up", up}}.dump());
}

void site::start_endpoint(const std::string& id)
{
    start_unlisted_endpoint(id);
    set_listed(id, true);
}

void site::start_unlisted_endpoint(const std::string& id)
{
    const address& at = m_endpoints[id] = free_address();
    call_http(m_platform, "POST", "/standin/new-endpoint",
              json{{"id", id}, {"address", to_string(at)}}.dump());
}

void site::set_listed(const std::string& id, bool listed) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"listed", listed}}.dump());
}

void site::drain_endpoint(const std::string& id) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"draining", true}}.dump());
}

void site::end_endpoint(const std::string& id) const
{
    set_endpoint(id, false);
    set_listed(id, false);
}

void site::set_mute(const std::string& id, bool mute) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"mute", mute}}.dump());
}

void site::set_full(const std::string& id, bool full) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"full", full}}.dump());
}

void site::set_dark(const std::string& id, bool dark) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"dark", dark}}.dump());
}

void site::set_deaf(const std::string& id, bool deaf) const
{
    call_http(m_platform, "POST", "/standin/endpoint",
              json{{"id", id}, {"deaf", deaf}}.dump());
}

bool site::write_directly(const std::string& item,
                          const std::string& data) const
{
    constexpr int ok = 200;
    return call_http(m_platform, "POST", "/standin/write",
                     json{{"item", item}, {"data", data}}.dump())
               .m_status == ok;
}

std::string site::read_directly(const std::string& item) const
{
    const std::string id = primary();
    if (id.empty())
        return {};
    const std::string row =
        send_order(address_of(id), "READ " + item).value_or(std::string());
    return row.substr(row.find(' ') + 1);
}

void site::set_promotion_delay(std::chrono::milliseconds delay) const
{
    call_http(m_platform, "POST", "/standin/promotion-delay",
              json{{"ms", delay.count()}}.dump());
}

bool site::is_promotion_pending() const
{
    constexpr int ok = 200;
    return call_http(m_platform, "GET", "/standin/promotion").m_status == ok;
}

address site::address_of(const std::string& id) const
{
    return m_endpoints.at(id);
}

void site::pause(const std::string& id) const
{
    constexpr const char* above_all_terms = "99";
    send_order(address_of(id), std::string("PAUSE ") + above_all_terms);
}

bool site::is_paused(const std::string& id) const
{
    std::istringstream status(
        send_order(address_of(id), "STATUS").value_or(std::string()));
    std::string word;
    std::string role;
    std::string term;
    std::string position;
    std::string paused_term;
    status >> word >> role >> term >> position >> paused_term;
    return role == "replica" && paused_term != "0";
}

std::string site::position_of(const std::string& id) const
{
    std::istringstream status(
        send_order(address_of(id), "STATUS").value_or(std::string()));
    std::string word;
    std::string role;
    std::string term;
    std::string position;
    status >> word >> role >> term >> position;
    return position;
}

std::string site::primary() const
{
    std::string found;
    std::string newest;
    for (const auto& [id, at] : m_endpoints)
    {
        const std::string status =
            send_order(at, "STATUS").value_or(std::string());
        if (status.starts_with("ROW primary ") && status > newest)
        {
            newest = status;
            found = id;
        }
    }
    return found;
}

std::string site::decided_successor() const
{
    const json duties = json::parse(
        call_http(m_platform, "GET", "/api/objects/bluebellspoke-duties")
            .m_body);
    for (const json& duty : duties.at("items"))
    {
        const json ordered = duty.at("spec").value("ordered", json::object());
        if (ordered.contains(service))
            return ordered.at(service).at("endpoint").get<std::string>();
    }
    return {};
}

void site::limit_connections(std::size_t most)
{
    for (const char* id : {"i-1", "i-2", "i-3"})
        call_http(m_platform, "POST", "/standin/endpoint",
                  json{{"id", id}, {"limit", most}}.dump());
    json services = m_config["services"];
    services[0]["max-connections"] = most;
    configure({{"services", services}});
}

void site::set_store(bool down) const
{
    call_http(m_platform, "POST", "/standin/store",
              json{{"down", down}}.dump());
}

json site::store_calls() const
{
    return json::parse(call_http(m_platform, "GET", "/standin/calls").m_body);
}

json site::usage_calls() const
{
    return json::parse(call_http(m_platform, "GET", "/standin/usage").m_body);
}

void site::set_usage_service(int status, bool loses_answers) const
{
    call_http(
        m_platform, "POST", "/standin/usage",
        json{{"status", status}, {"loses-answers", loses_answers}}.dump());
}

json site::usage_record() const
{
    const json records = json::parse(
        call_http(m_platform, "GET", "/api/objects/bluebellspoke-usage")
            .m_body);
    const json& items = records.at("items");
    return items.empty() ? json() : items[0].at("spec");
}

const address& site::callers_of(std::size_t daemon) const
{
    return m_nodes.at(daemon).m_callers;
}

const address& site::probes_of(std::size_t daemon) const
{
    return m_nodes.at(daemon).m_probes;
}

const address& site::metrics_of(std::size_t daemon) const
{
    return m_nodes.at(daemon).m_metrics;
}

const address& site::peers_of(std::size_t daemon) const
{
    return m_nodes.at(daemon).m_peers;
}

void site::add_member(const std::string& name, const address& peers,
                      const std::string& zone, double cores) const
{
    put_entry("bluebellspoke-members", name,
              {{"peer", to_string(peers)}, {"place", zone}, {"cores", cores}});
}

void site::put_entry(const std::string& kind, const std::string& name,
                     const json& spec) const
{
    const json body{{"meta", {{"name", name}}}, {"spec", spec}};
    call_http(m_platform, "POST", "/api/objects/" + kind, body.dump());
}

json site::entries(const std::string& kind) const
{
    return json::parse(
               call_http(m_platform, "GET", "/api/objects/" + kind).m_body)
        .at("items");
}

void site::remove_entry(const std::string& kind, const std::string& name) const
{
    call_http(m_platform, "DELETE", "/api/objects/" + kind + "/" + name);
}

void site::evacuate(const std::string& zone) const
{
    const json body{{"meta", {{"name", zone}}}, {"spec", json::object()}};
    call_http(m_platform, "POST", "/api/objects/evacuations", body.dump());
}

std::uint64_t site::store_revision() const
{
    return json::parse(
               call_http(m_platform, "GET", "/api/objects/config").m_body)
        .at("at-revision")
        .get<std::uint64_t>();
}

child_process& site::daemon(std::size_t number)
{
    return *m_nodes.at(number).m_process;
}

bool site::is_ready(std::size_t daemon) const
{
    return call_http(probes_of(daemon), "GET", "/api/readyz").m_status == 200;
}

std::optional<double> site::metric(std::size_t daemon,
                                   std::string_view name) const
{
    const std::string text =
        call_http(metrics_of(daemon), "GET", "/metrics").m_body;
    const std::string line = "\nbluebellspoke_" + std::string(name) + " ";
    const std::size_t at = text.find(line);
    if (at == std::string::npos)
        return std::nullopt;
    return std::stod(text.substr(at + line.size()));
}

json& site::config() noexcept
{
    return m_config;
}

}
