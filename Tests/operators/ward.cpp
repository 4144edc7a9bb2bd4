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
    put_node(m_fleet, "ward",
             {{"kind", "workspace"},
              {"service", "group"},
              {"rate", 1'000'000},
              {"burst", 1'000'000}});
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

std::string standing_of(const daemon_node& d)
{
    const json parts = dump_of(d);
    return parts.is_object() ? parts.at("control").value("standing", "") : "";
}

}
