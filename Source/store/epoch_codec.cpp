#include <store/epoch_codec.hpp>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

json write_members(std::span<const fleet_member> members)
{
    json out = json::array();
    for (const fleet_member& m : members)
        out.push_back({{"name", m.m_name},
                       {"incarnation", m.m_incarnation},
                       {"address", m.m_address}});
    return out;
}

std::vector<fleet_member> read_members(const json& value)
{
    std::vector<fleet_member> members;
    for (const json& m : value)
        members.push_back({m.at("name").get<std::string>(),
                           m.at("incarnation").get<std::uint64_t>(),
                           m.at("address").get<std::string>()});
    return members;
}

}

const char* epoch_error::what() const noexcept
{
    return "the object does not contain a valid fleet epoch";
}

std::string encode_epoch(const fleet_epoch& epoch)
{
    return json{{"members", write_members(epoch.m_members)},
                {"former", write_members(epoch.m_former)}}
        .dump();
}

fleet_epoch decode_epoch(std::uint64_t version, std::string_view value)
{
    try
    {
        const json parsed = json::parse(value);
        return {version, read_members(parsed.at("members")),
                read_members(parsed.at("former"))};
    }
    catch (const json::exception&)
    {
        throw epoch_error();
    }
}

}
