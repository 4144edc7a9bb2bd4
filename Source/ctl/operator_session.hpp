#ifndef BLUEBELLSPOKE_CTL_OPERATOR_SESSION_HPP
#define BLUEBELLSPOKE_CTL_OPERATOR_SESSION_HPP

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

#include <decide/settings_tree.hpp>
#include <platform/platform_client.hpp>

namespace bluebellspoke
{

/// A call to the platform failed.
class platform_error : public std::exception
{
public:
    explicit platform_error(platform_failure failure);
    const char* what() const noexcept override;

    platform_failure m_failure;
};

/// One run of the operators' client: calls the platform and waits for it.
struct operator_session
{
    explicit operator_session(const address& platform,
                              tls_context_ptr tls = {});

    loop m_loop;
    platform_client m_platform;
};

/// Each throws platform_error.
platform_listing list_objects(operator_session& s, std::string_view prefix);
platform_object get_object(operator_session& s, std::string_view name);
platform_object put_object(operator_session& s, std::string_view name,
                           const std::string& value, std::uint64_t if_version);

}

#endif
