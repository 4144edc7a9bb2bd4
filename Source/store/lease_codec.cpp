#include <store/lease_codec.hpp>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

std::string lease_object_name(std::string_view group)
{
    return std::string("groups/").append(group);
}

group_lease_record decode_lease(std::string_view json)
{
    const auto value = nlohmann::json::parse(json, nullptr, false);
    group_lease_record record;
    try
    {
        record.m_holder = value.at("holder").get<std::string>();
        record.m_claim_id = value.at("claim").get<std::uint64_t>();
        record.m_length_ms = value.at("length_ms").get<std::uint64_t>();
    }
    catch (const nlohmann::json::exception&)
    {
        return {};
    }
    return record;
}

std::string encode_lease(const group_lease_record& record)
{
    return nlohmann::json{{"holder", record.m_holder},
                          {"claim", record.m_claim_id},
                          {"length_ms", record.m_length_ms}}
        .dump();
}

}
