#include <standin/endpoint_journal.hpp>

#include <string>
#include <utility>

#include <standin/endpoint_session.hpp>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;

// A process that is killed loses nothing that the kernel has; machines that
// lose their memory aren't stood in for.
void write_line(endpoint_server& s, const json& line)
{
    std::ofstream& out = s.m_journal.m_out;
    if (!out.is_open())
        return;
    out << line.dump() << '\n' << std::flush;
    if (!out)
        throw journal_error();
}

void replay_place(endpoint_server& s, const json& place)
{
    s.m_fence = place.at("fence").get<std::uint64_t>();
    s.m_candidate = place.at("candidate").get<std::string>();
    s.m_primary = place.at("primary").get<bool>();
    s.m_following = place.at("following").get<std::string>();
}

void replay_line(endpoint_server& s, const json& line)
{
    if (line.contains("entry"))
        s.m_log.push_back(to_entry(line.at("entry")));
    else if (line.contains("truncate"))
        s.m_log.resize(line.at("truncate").get<std::size_t>());
    else
        replay_place(s, line.at("place"));
}

// A last line without an end was being written at the kill: nobody was told
// what it says. Returns the length of the whole lines.
std::uintmax_t replay(endpoint_server& s, const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::uintmax_t length = 0;
    std::string line;
    while (std::getline(in, line) && !in.eof())
    {
        replay_line(s, json::parse(line));
        length += line.size() + 1;
    }
    for (const log_entry& entry : s.m_log)
        apply(s.m_data, entry);
    return length;
}

}

const char* journal_error::what() const noexcept
{
    return "the endpoint's journal can't be used";
}

bool open_journal(endpoint_server& s, const std::filesystem::path& folder)
{
    const std::filesystem::path file = folder / "journal";
    std::uintmax_t length = 0;
    if (std::filesystem::exists(file))
    {
        length = replay(s, file);
        std::filesystem::resize_file(file, length);
    }
    s.m_journal.m_out.open(file, std::ios::app);
    if (!s.m_journal.m_out)
        throw journal_error();
    return length > 0;
}

void record_entry(endpoint_server& s, const log_entry& entry)
{
    if (s.m_journal.m_out.is_open())
        write_line(s, {{"entry", to_json(entry)}});
}

void record_truncation(endpoint_server& s, std::uint64_t length)
{
    write_line(s, {{"truncate", length}});
}

void record_place(endpoint_server& s)
{
    write_line(s, {{"place",
                    {{"fence", s.m_fence},
                     {"candidate", s.m_candidate},
                     {"primary", s.m_primary},
                     {"following", s.m_upstream ? s.m_following : ""}}}});
}

json to_json(const log_entry& entry)
{
    json changes = json::array();
    for (const sql_change& c : entry.m_changes)
        changes.push_back(
            {static_cast<int>(c.m_kind), c.m_table, c.m_key, c.m_value});
    return {{"term", entry.m_term}, {"changes", std::move(changes)}};
}

log_entry to_entry(const json& line)
{
    log_entry entry;
    entry.m_term = line.at("term").get<std::uint64_t>();
    for (const json& c : line.at("changes"))
        entry.m_changes.push_back(
            {static_cast<sql_change::kind>(c.at(0).get<int>()),
             c.at(1).get<std::string>(), c.at(2).get<std::string>(),
             c.at(3).get<std::string>()});
    return entry;
}

}
