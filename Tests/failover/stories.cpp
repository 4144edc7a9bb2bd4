#include "stories.hpp"

namespace bluebellspoke::support
{

using nlohmann::json;

json insert_bear(const std::string& box, const std::string& id)
{
    json body{{"kind", "write"},
              {"statement", "insert into bears values ($1, $2)"},
              {"parameters", {box, "brown bear"}}};
    if (!id.empty())
        body["request_id"] = id;
    return body;
}

json find_bear(const std::string& box)
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {box}}};
}

ward::ward(const fleet_options& options) : m_fleet(options)
{
    put_node(m_fleet, "ward", {{"kind", "workspace"}, {"service", "group"}});
    m_clerk.m_key = grant_key(m_fleet, "ward", "clerk");
    for (const daemon_node& d : m_fleet.m_daemons)
    {
        caller c(d.m_callers);
        const bool serves = eventually(
            [&]
            {
                return c.send(statement_request(m_clerk, find_bear("box-0")))
                           .m_status == 200;
            });
        if (!serves)
            throw spawn_error();
    }
}

json endpoint_seen_by(const daemon_node& d, std::size_t index)
{
    const json dump = admin_get(d, "/dump").json();
    return dump.at("tasks").at("pool").at("groups").at("group").at(index);
}

std::optional<std::size_t> primary_seen_by(const daemon_node& d)
{
    const json dump = admin_get(d, "/dump").json();
    const json& endpoints =
        dump.at("tasks").at("pool").at("groups").at("group");
    std::uint64_t highest = 0;
    for (const json& e : endpoints)
        highest = std::max(highest, e.value("fence", std::uint64_t{0}));
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        if (endpoints[i].value("role", "") == "primary" &&
            endpoints[i].value("fence", std::uint64_t{0}) == highest)
            return i;
    return std::nullopt;
}

bool primary_moves_from(const daemon_node& d, std::size_t old_primary)
{
    return eventually(
        [&]
        {
            const auto primary = primary_seen_by(d);
            return primary && *primary != old_primary;
        },
        failover_target);
}

std::chrono::milliseconds write_gap(caller& c, session& s,
                                    const std::string& box)
{
    const auto begin = std::chrono::steady_clock::now();
    unsigned tries = 0;
    eventually(
        [&]
        {
            const std::string id = box + "-" + std::to_string(++tries);
            json body = insert_bear(id, id);
            body["time_limit_ms"] = 500;
            return run_statement(c, s, body).m_status == 200;
        },
        failover_target);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begin);
}

}
