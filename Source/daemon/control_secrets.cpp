#include <daemon/control_state.hpp>

#include <array>
#include <chrono>
#include <iterator>
#include <optional>

#include <boost/algorithm/hex.hpp>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

namespace bluebellspoke
{

namespace
{

constexpr std::string_view secrets_object = "secrets/session";
constexpr std::chrono::seconds call_limit{2};
constexpr std::chrono::milliseconds retry_delay{250};

// Absent while the machine has no random numbers: a secret that others can
// guess would be worse than none.
std::optional<std::string> random_secret()
{
    constexpr std::size_t secret_bytes = 32;
    std::array<unsigned char, secret_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return std::nullopt;
    std::string text;
    boost::algorithm::hex_lower(bytes, std::back_inserter(text));
    return text;
}

// Whoever comes first makes them. Whatever became of the attempt, the object
// is read again, so a lost answer and a race end alike.
void make_secrets(control_state& c)
{
    const std::optional<std::string> secret = random_secret();
    if (!secret)
    {
        c.m_retry_secrets.start_once(retry_delay);
        return;
    }
    const nlohmann::json value{{"secrets", {*secret}}};
    c.m_platform.put(secrets_object, value.dump(), 0, call_limit,
                     [&c](platform_result<platform_object>&)
                     {
                         c.m_retry_secrets.start_once(retry_delay);
                     });
}

void on_secrets(control_state& c, platform_result<platform_object>& result)
{
    const auto* object = std::get_if<platform_object>(&result);
    if (object == nullptr)
    {
        c.m_retry_secrets.start_once(retry_delay);
        return;
    }
    if (object->m_version == 0)
    {
        make_secrets(c);
        return;
    }
    const auto value = nlohmann::json::parse(object->m_value, nullptr, false);
    session_secrets secrets;
    if (value.is_object() && value.contains("secrets"))
        for (const auto& secret : value.at("secrets"))
            if (secret.is_string())
                secrets.m_secrets.push_back(secret.get<std::string>());
    c.m_secrets = secrets.m_secrets;
    c.m_boxes.m_front.post(std::move(secrets));
}

}

void load_secrets(control_state& c)
{
    c.m_platform.get(secrets_object, call_limit,
                     [&c](platform_result<platform_object>& result)
                     {
                         on_secrets(c, result);
                     });
}

}
