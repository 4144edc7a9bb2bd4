#include <store/platform_client.hpp>

#include <functional>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
// A watch is answered only on a change or when its wait ends, so its timeout is
// the wait and this margin for the network.
constexpr std::chrono::seconds watch_margin{2};

std::string object_path(std::string_view name)
{
    return std::string("/v1/objects/").append(name);
}

platform_object to_object(const json& value)
{
    platform_object object;
    object.m_name = value.at("name").get<std::string>();
    object.m_version = value.at("version").get<std::uint64_t>();
    if (value.contains("value") && !value.at("value").is_null())
        object.m_value = value.at("value").dump();
    return object;
}

platform_listing to_listing(const json& value)
{
    platform_listing listing;
    listing.m_revision = value.at("revision").get<std::uint64_t>();
    for (const json& object : value.at("objects"))
        listing.m_objects.push_back(to_object(object));
    return listing;
}

std::vector<platform_vm> to_vms(const json& value)
{
    std::vector<platform_vm> vms;
    for (const json& vm : value.at("vms"))
    {
        const bool leaving = vm.at("state").get<std::string>() == "leaving";
        vms.push_back({vm.at("name").get<std::string>(),
                       vm.at("address").get<std::string>(),
                       vm.at("zone").get<std::string>(),
                       leaving ? vm_state::leaving : vm_state::live});
    }
    return vms;
}

platform_failure to_failure(http2_failure failure)
{
    return failure == http2_failure::not_sent
               ? platform_failure::unavailable
               : platform_failure::outcome_unknown;
}

std::optional<platform_failure> status_failure(int status)
{
    if (status == status_ok)
        return std::nullopt;
    if (status == status_conflict)
        return platform_failure::conflict;
    if (status == status_unavailable)
        return platform_failure::unavailable;
    return platform_failure::malformed;
}

template <class Value, class Decode>
void deliver(const http2_result& result, const platform_callback<Value>& done,
             Decode decode)
{
    platform_result<Value> out = platform_failure::malformed;
    if (const auto* transport_failure = std::get_if<http2_failure>(&result))
        out = to_failure(*transport_failure);
    else
    {
        const auto& response = std::get<http2_response>(result);
        const auto failure = status_failure(response.m_status);
        if (failure)
            out = *failure;
        try
        {
            if (!failure)
                out = decode(json::parse(response.m_body));
        }
        catch (const json::exception&)
        {
            out = platform_failure::malformed;
        }
    }
    done(out);
}

bool is_missing(const http2_result& result)
{
    const auto* response = std::get_if<http2_response>(&result);
    return response != nullptr && response->m_status == status_not_found;
}

}

std::string_view to_string(platform_failure failure) noexcept
{
    switch (failure)
    {
    case platform_failure::unavailable:
        return "unavailable";
    case platform_failure::outcome_unknown:
        return "outcome_unknown";
    case platform_failure::conflict:
        return "conflict";
    case platform_failure::malformed:
        return "malformed";
    }
    return "malformed";
}

platform_client::platform_client(loop& l, const address& platform,
                                 tls_context_ptr tls)
    : m_client(l, platform, std::move(tls))
{
}

void platform_client::set_tls(tls_context_ptr tls)
{
    m_client.set_tls(std::move(tls));
}

void platform_client::get(std::string_view name, duration time_limit,
                          platform_callback<platform_object> done)
{
    m_client.send(
        {"GET", object_path(name), {}, {}}, time_limit,
        [done = std::move(done), key = std::string(name)](http2_result& result)
        {
            if (is_missing(result))
            {
                platform_result<platform_object> missing =
                    platform_object{key, 0, {}};
                done(missing);
                return;
            }
            deliver<platform_object>(result, done, to_object);
        });
}

void platform_client::put(std::string_view name, std::string value,
                          std::uint64_t if_version, duration time_limit,
                          platform_callback<platform_object> done)
{
    const std::string path =
        object_path(name) + "?if_version=" + std::to_string(if_version);
    m_client.send({"PUT", path, {}, std::move(value)}, time_limit,
                  [done = std::move(done)](http2_result& result)
                  {
                      deliver<platform_object>(result, done, to_object);
                  });
}

void platform_client::list(std::string_view prefix, duration time_limit,
                           platform_callback<platform_listing> done)
{
    const std::string path = std::string("/v1/list?prefix=").append(prefix);
    m_client.send({"GET", path, {}, {}}, time_limit,
                  [done = std::move(done)](http2_result& result)
                  {
                      deliver<platform_listing>(result, done, to_listing);
                  });
}

void platform_client::watch(std::string_view prefix, std::uint64_t after,
                            duration wait,
                            platform_callback<platform_listing> done)
{
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    std::string path = std::string("/v1/watch?prefix=").append(prefix);
    path.append("&after=").append(std::to_string(after));
    path.append("&wait_ms=").append(std::to_string(wait_ms));
    m_client.send({"GET", path, {}, {}}, wait + watch_margin,
                  [done = std::move(done)](http2_result& result)
                  {
                      deliver<platform_listing>(result, done, to_listing);
                  });
}

void platform_client::vms(duration time_limit,
                          platform_callback<std::vector<platform_vm>> done)
{
    m_client.send({"GET", "/v1/vms", {}, {}}, time_limit,
                  [done = std::move(done)](http2_result& result)
                  {
                      deliver<std::vector<platform_vm>>(result, done, to_vms);
                  });
}

}
