#ifndef BLUEBELLSPOKE_CTL_OPERATOR_SESSION_HPP
#define BLUEBELLSPOKE_CTL_OPERATOR_SESSION_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <ctl/ctl_error.hpp>
#include <peer/peer_message.hpp>
#include <store/platform_client.hpp>

namespace bluebellspoke
{

/// What one run of the operators' client is told.
struct operator_settings
{
    address m_platform;
    tls_context_ptr m_platform_tls; ///< Null: in the clear.
    tls_context_ptr m_peer_tls;     ///< Towards daemons; null: in the clear.
    duration m_wait{};              ///< For an edit to be in force.
};

/// One run of the operators' client: calls the platform and the daemons, and
/// waits for them.
struct operator_session
{
    explicit operator_session(const operator_settings& settings);

    operator_settings m_settings;
    loop m_loop;
    platform_client m_platform;
};

/// One VM of the platform's list, or of the fleet's epoch, and what its daemon
/// says of itself.
struct daemon_status
{
    platform_vm m_vm;
    bool m_listed = false;               ///< By the platform.
    bool m_in_epoch = false;             ///< Named by the fleet's epoch.
    std::optional<peer_status> m_status; ///< Absent: no answer.
};

/// Each throws ctl_error.
platform_listing list_objects(operator_session& s, std::string_view prefix);
platform_object get_object(operator_session& s, std::string_view name);
std::vector<platform_vm> list_vms(operator_session& s);
/// Writes and gives what the platform said, failures too.
platform_result<platform_object> try_put(operator_session& s,
                                         const platform_object& object,
                                         std::uint64_t if_version);
/// Asks every VM's daemon at once how it stands, those too that only the
/// fleet's epoch names.
std::vector<daemon_status> ask_fleet(operator_session& s);
/// Sends one message to a daemon. Absent: no answer in time.
std::optional<peer_message> ask_daemon(operator_session& s,
                                       const platform_vm& vm,
                                       const peer_message& message);
void pause(operator_session& s, duration time);

}

#endif
