#include <operators/ward.hpp>

namespace bluebellspoke::support
{

using nlohmann::json;

json read_bears()
{
    return {{"statement", "select value from bears where key = $1"},
            {"parameters", {"box-12"}}};
}

json write_bear(const std::string& id)
{
    return {{"kind", "write"},
            {"request_id", id},
            {"statement", "insert into bears values ($1, $2)"},
            {"parameters", {id, "brown bear"}}};
}

ward::ward(const fleet_options& options) : m_fleet(options)
{
    put_node(m_fleet, "ward", {{"kind", "workspace"}, {"service", "group"}});
    m_clerk.m_key = grant_key(m_fleet, "ward", "clerk");
    for (const daemon_node& d : m_fleet.m_daemons)
        m_callers.push_back(std::make_unique<caller>(d.m_callers));
    if (!eventually(
            [this]
            {
                return all_serve(*this);
            }))
        throw spawn_error();
}

reply read_through(ward& w, std::size_t daemon)
{
    return w.m_callers[daemon]->send(
        statement_request(w.m_clerk, read_bears()));
}

bool all_serve(ward& w)
{
    for (std::size_t i = 0; i < w.m_callers.size(); ++i)
        if (read_through(w, i).m_status != 200)
            return false;
    return true;
}

void write_past_ctl(const fleet& f, const std::string& path, const json& node)
{
    caller c(f.m_platform_address);
    const std::string object = "/v1/objects/settings/" + path;
    const json present = c.send({"GET", object, {}, {}}).json();
    const auto version = present.value("version", 0);
    const reply written =
        c.send({"PUT",
                object + "?if_version=" + std::to_string(version),
                {},
                node.dump()});
    if (written.m_status != 200)
        throw spawn_error();
}

std::string standing_of(const daemon_node& d)
{
    const json parts = dump_of(d);
    return parts.is_object() ? parts.at("control").value("standing", "") : "";
}

}
