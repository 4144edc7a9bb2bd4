#ifndef BLUEBELLSPOKE_DAEMON_FRONT_STATE_HPP
#define BLUEBELLSPOKE_DAEMON_FRONT_STATE_HPP

#include <memory>
#include <string>
#include <vector>

#include <daemon/daemon_settings.hpp>
#include <daemon/front_metrics.hpp>
#include <daemon/front_shares.hpp>
#include <daemon/messages.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// What the front task owns; nobody else touches it.
struct front_state
{
    front_state(const daemon_settings& daemon, mailboxes& boxes);

    const daemon_settings& m_daemon;
    mailboxes& m_boxes;
    loop m_loop;
    std::unique_ptr<http2_server> m_server;
    settings_view_ptr m_settings;
    std::vector<std::string> m_secrets;
    front_rates m_rates;
    bool m_draining = false;
    timer m_tick; ///< While rates have something to do.
    front_counts m_counts{};
};

/// Checks one request and sends it to the pool. Throws refused; `context` then
/// says for whom, if that is known.
void admit(front_state& f, arrived_request& arrived, request_context& context);
/// Answers a request whose outcome the pool has sent.
void answer_request(front_state& f, request_outcome& outcome);
std::string describe_front(const front_state& f);

}

#endif
