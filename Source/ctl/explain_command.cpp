#include <ctl/commands.hpp>

#include <array>
#include <cstdlib>
#include <iomanip>
#include <sstream>

#include <event2/http.h>

#include <ctl/admin_call.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::ordered_json;

constexpr int http_ok = 200;
constexpr int http_not_found = 404;

std::string escaped(const std::string& text)
{
    char* const made =
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string out = made == nullptr ? std::string() : std::string(made);
    std::free(made);
    return out;
}

std::string path_of(words arguments)
{
    const std::string kind = arguments.size() > 3 ? arguments[3] : "read";
    if (kind != "read" && kind != "write")
        throw usage_error("'" + kind + "' is no statement: read or write\n");
    return "/explain?database=" + escaped(arguments[1]) +
           "&workspace=" + escaped(arguments[2]) + "&statement=" + kind;
}

address metrics_address(const std::string& word)
{
    try
    {
        return parse_address(word);
    }
    catch (const address_error&)
    {
        throw usage_error("'" + word + "' is no address: IP:port\n");
    }
}

// A text, a number, or a dash for what isn't known.
std::string text_of(const ordered_json& value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    return value.dump();
}

std::string text_of(const ordered_json& object, const char* name)
{
    return text_of(object.at(name));
}

std::string join_regions(const ordered_json& regions)
{
    std::string text;
    for (const auto& region : regions)
        text.append(text.empty() ? "" : ", ").append(text_of(region));
    return text.empty() ? "any" : text;
}

void print_line(std::ostream& out, std::string_view name,
                const std::string& text)
{
    constexpr int name_width = 11;
    out << std::left << std::setw(name_width) << name << text << "\n";
}

std::string describe_route(const ordered_json& r)
{
    return text_of(r, "name") + ": service " + text_of(r, "service") + ", " +
           text_of(r, "consistency") + ", staleness " +
           text_of(r, "staleness_ms") + " ms, priority " +
           text_of(r, "priority") + ", objective " +
           text_of(r, "objective_ms") + " ms, timeout " +
           text_of(r, "timeout_ms") + " ms, regions " +
           join_regions(r.at("regions"));
}

std::string describe_workspace(const ordered_json& w)
{
    if (w.is_null())
        return "none: a public route";
    return text_of(w, "name") + ": " + text_of(w, "admission") + "; rate " +
           text_of(w, "rate") + "/s, burst " + text_of(w, "burst") +
           ", share " + text_of(w, "share") + ", tokens " +
           text_of(w, "tokens") + ", waiting " + text_of(w, "waiting");
}

std::string describe_home(const ordered_json& h)
{
    const bool is_here = h.at("process").is_null();
    return (is_here ? "this process" : text_of(h, "process")) + " (" +
           text_of(h, "reason") + ")";
}

std::string describe_group(const ordered_json& g)
{
    if (g.is_null())
        return "unknown";
    return "primary " + text_of(g, "primary") + ", term " + text_of(g, "term") +
           ", lease for " + text_of(g, "lease_left_ms") + " ms, status " +
           text_of(g, "primary_seen_age_ms") + " ms ago, last reply " +
           text_of(g, "primary_contact_age_ms") + " ms ago";
}

std::string describe_queue(const ordered_json& q)
{
    if (q.is_null())
        return "none";
    std::string text = text_of(q, "waiting") + " waiting, line " +
                       text_of(q, "line") + ", useful for " +
                       text_of(q, "useful_ms") + " ms; ";
    const ordered_json& e = q.at("expected");
    if (e.is_null())
        return text + "no estimate: " + text_of(q, "estimate");
    return text + "turn in " + text_of(e, "earliest_ms") + " to " +
           text_of(e, "latest_ms") + " ms, " + text_of(e, "ahead") + " ahead";
}

using endpoint_row = std::array<std::string, 11>;

void print_row(std::ostream& out, const endpoint_row& cells)
{
    constexpr std::array widths{14, 9, 17, 15, 9, 12, 12, 12, 12, 9};
    for (std::size_t i = 0; i < widths.size(); ++i)
        out << std::left << std::setw(widths[i]) << cells[i] << " ";
    out << cells.back() << "\n";
}

void print_endpoint(std::ostream& out, const ordered_json& e)
{
    std::string cost = "-";
    if (!e.at("load_cost_ms").is_null())
        cost = text_of(e, "load_cost_ms") + "+" + text_of(e, "extra_cost_ms");
    print_row(out,
              {text_of(e, "id"), text_of(e, "role"), text_of(e, "choice"),
               text_of(e, "reason"), text_of(e, "reason_left_ms"), cost,
               text_of(e, "lag_ms"), text_of(e, "status_age_ms"),
               text_of(e, "connections") + "/" + text_of(e, "connection_limit"),
               text_of(e, "running"), text_of(e, "region")});
}

std::string describe(const ordered_json& e)
{
    std::ostringstream out;
    print_line(out, "request",
               text_of(e, "statement") + " at " + text_of(e, "process") +
                   ", configuration " + text_of(e, "config_version"));
    print_line(out, "outcome", text_of(e, "outcome"));
    print_line(out, "route", describe_route(e.at("route")));
    print_line(out, "workspace", describe_workspace(e.at("workspace")));
    print_line(out, "home", describe_home(e.at("home")));
    print_line(out, "group", describe_group(e.at("group")));
    print_line(out, "queue", describe_queue(e.at("queue")));
    out << "\n";
    print_row(out, {"endpoint", "role", "choice", "reason", "for ms", "cost ms",
                    "lag ms", "status ms", "connections", "running", "region"});
    for (const ordered_json& endpoint : e.at("endpoints"))
        print_endpoint(out, endpoint);
    if (e.at("omitted_endpoints") != 0)
        out << text_of(e, "omitted_endpoints") << " more\n";
    return out.str();
}

[[noreturn]] void fail(const admin_answer& answer, words arguments)
{
    const ordered_json body =
        ordered_json::parse(answer.m_body, nullptr, false);
    const std::string error =
        body.is_object() ? body.value("error", "") : std::string();
    if (answer.m_status == http_not_found && error == "unknown_database")
        throw ctl_error(ctl_fault::unknown_database, arguments[1]);
    if (answer.m_status == http_not_found && error == "unknown_workspace")
        throw ctl_error(ctl_fault::unknown_workspace, arguments[2]);
    throw ctl_error(ctl_fault::not_explained,
                    error.empty() ? "status " + std::to_string(answer.m_status)
                                  : error);
}

command_result explain(operator_session& s, words arguments)
{
    const address metrics = metrics_address(arguments[0]);
    const auto answer = ask_admin(s.m_loop, metrics, path_of(arguments));
    if (!answer)
        throw ctl_error(ctl_fault::daemon_unreachable, arguments[0]);
    if (answer->m_status != http_ok)
        fail(*answer, arguments);
    try
    {
        command_result result;
        result.m_json = ordered_json::parse(answer->m_body);
        result.m_text = describe(result.m_json);
        return result;
    }
    catch (const ordered_json::exception&)
    {
        throw ctl_error(ctl_fault::not_explained, "unreadable answer");
    }
}

constexpr std::array commands{
    command{"explain", 3, 4,
            "explain METRICS_ADDRESS DATABASE WORKSPACE [read|write]",
            "where a request would go now, and why", explain, false},
};

}

std::span<const command> explain_commands() noexcept
{
    return commands;
}

}
