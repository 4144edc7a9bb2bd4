#ifndef BLUEBELLSPOKE_DAEMON_FRONT_STATE_HPP
#define BLUEBELLSPOKE_DAEMON_FRONT_STATE_HPP

#include <memory>
#include <string>
#include <vector>

#include <daemon/daemon_settings.hpp>
#include <daemon/front_metrics.hpp>
#include <daemon/front_shares.hpp>
#include <daemon/messages.hpp>
#include <decide/session_token.hpp>
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
    resolved_settings_ptr m_settings;
    session_keys m_session_keys{{}};
    front_rates m_rates;
    bool m_draining = false;
    timer m_tick; ///< While rates have something to do.
    front_counts m_counts{};
    bool m_zone_out = false; ///< This VM's own.
    time_point m_standing_until = time_point::min();
    /// Open transactions, and the connections that began them.
    std::map<std::string, connection_id, std::less<>> m_transactions;
};

/// Checks one request and sends it to the pool. Throws refused; `context` then
/// says for whom, if that is known.
void admit(front_state& f, arrived_request& arrived, request_context& context);
/// Answers a request whose outcome the pool has sent.
void answer_request(front_state& f, request_outcome& outcome);
std::string describe_front(const front_state& f);

// front_drain.cpp
/// Tells the admin task, while draining, that every caller has gone.
void report_if_drained(front_state& f);
void begin_drain(front_state& f);
/// Lets callers go whose transactions have been cut.
void cut_connections(front_state& f);
/// Notes which connection began a transaction, and the transaction's end.
void note_begun(front_state& f, const request_outcome& outcome);
void note_ended(front_state& f, const std::string& transaction);
/// Sends callers away when this VM's availability zone is taken out.
void follow_zone(front_state& f);

}

#endif
