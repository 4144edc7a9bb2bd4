#ifndef BLUEBELLSPOKE_STORE_PLATFORM_CLIENT_HPP
#define BLUEBELLSPOKE_STORE_PLATFORM_CLIENT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <wire/http2_client.hpp>

namespace bluebellspoke
{

/// One object of the platform's store; its value is JSON text.
struct platform_object
{
    std::string m_name;
    std::uint64_t m_version = 0; ///< 0 if the object doesn't exist.
    std::string m_value;         ///< Empty if it doesn't exist.
};

/// The objects under a prefix, as of one revision of the store.
struct platform_listing
{
    std::uint64_t m_revision = 0;
    std::vector<platform_object> m_objects;
};

enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

struct platform_vm
{
    std::string m_name;
    std::string m_peer_address; ///< IP:port.
    std::string m_zone;
    vm_state m_state = vm_state::live;
};

enum class platform_failure : std::uint8_t
{
    unavailable,     ///< The call did not take effect.
    outcome_unknown, ///< May have taken effect; read back to find out.
    conflict,        ///< The object's version differs from `if_version`.
    malformed,       ///< The response doesn't follow the platform's API.
};

std::string_view to_string(platform_failure failure) noexcept;

template <class Value>
using platform_result = std::variant<Value, platform_failure>;

template <class Value>
using platform_callback = sigc::slot<void(platform_result<Value>&)>;

/// Client of the platform's object API over one connection. The callback of
/// each call runs exactly once, unless the client is destroyed first.
class platform_client
{
public:
    platform_client(loop& l, const address& platform, tls_context_ptr tls = {});

    /// Sets the certificates for the next connection.
    void set_tls(tls_context_ptr tls);

    void get(std::string_view name, duration time_limit,
             platform_callback<platform_object> done);
    /// Writes the object if its version is `if_version`; 0 creates it. The
    /// result holds the new version.
    void put(std::string_view name, std::string value, std::uint64_t if_version,
             duration time_limit, platform_callback<platform_object> done);
    void list(std::string_view prefix, duration time_limit,
              platform_callback<platform_listing> done);
    /// Waits up to `wait` for changes after revision `after` and returns them.
    /// A removed object has version 0.
    void watch(std::string_view prefix, std::uint64_t after, duration wait,
               platform_callback<platform_listing> done);
    void vms(duration time_limit,
             platform_callback<std::vector<platform_vm>> done);

private:
    http2_client m_client;
};

}

#endif
