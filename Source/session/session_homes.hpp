#ifndef BLUEBELLSPOKE_SESSION_SESSION_HOMES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_HOMES_HPP

#include <cstddef>
#include <string_view>

#include <decide/load/home_verdict.hpp>
#include <report/metric.hpp>
#include <session/session_task_state.hpp>

namespace bluebellspoke
{

/// Sessions that run at the home process of their group and workspace;
/// docs/design/home-processes.md.

// session_homes.cpp
void apply_members(session_task_state& t, const members_changed& m);
/// Chooses the homes of the groups again.
void update_homes(session_task_state& t);
/// True if the sessions of the service run at home processes.
bool has_homes(const session_task_state& t, std::string_view service);
/// Number of processes that share the connections to an endpoint of the
/// service, as seen by this one.
std::size_t connection_users(const session_task_state& t,
                             const site_service& service);
/// Decides at which process the session's next operation runs, and why.
home_decision judge_home(const session_task_state& t, const session& s,
                         time_point now);
/// Passes no session on to the home for a while.
void avoid_home(session_task_state& t, std::string_view home,
                std::string_view cause);
void collect_home_metrics(metric_families& families,
                          const session_task_state& t);

// home_links.cpp
/// Opens the connection to the session's home. Returns false if a bound is
/// reached or the connection can't be opened.
bool open_home_link(session_task_state& t, session& s, std::string_view home);
/// Ends the session's connection to its home, if it has one.
void close_home_link(session_task_state& t, session& s, std::string_view cause);
/// Closes a connection that failed. Its home isn't avoided if it had accepted
/// the session.
void fail_home_link(session_task_state& t, home_link& h,
                    std::string_view cause);
/// Tells the home whose session it is, its last commit, and the configuration.
void write_home_resume(session_task_state& t, home_link& h, std::string& out);
/// Closes connections to homes that don't accept or answer in time, and unused
/// ones.
void check_home_links(session_task_state& t, time_point now);
void apply_home_link_event(session_task_state& t, home_link& h,
                           home_link_event event);
/// True if no more bytes may wait to be sent to the home.
bool is_home_congested(const session_task_state& t, std::string_view home);

// home_statements.cpp
/// Passes the session's statement on to its home. Returns false if it runs
/// here.
bool pass_on_statement(session_task_state& t, const work_ptr& w);
/// Sends the session's statement on a connection that is at rest or in the
/// statement's transaction.
void send_to_home(session_task_state& t, home_link& h);
/// Ends the session's statement with the home's answer, of which the error is
/// in the link.
void finish_home_statement(session_task_state& t, home_link& h,
                           transaction_status status);
/// Retries, aborts or fails what the session had at a home that was lost.
/// `not_run`: the home has run no statement without an answer.
void handle_lost_home(session_task_state& t, session& s, std::string_view home,
                      bool in_transaction, bool not_run);
/// Ends the transaction that the home has open for the session, if it has one.
void roll_back_at_home(session_task_state& t, session& s);

// relayed_sessions.cpp
void listen_for_sessions(session_task_state& t);
/// Handles a message that only a process sends that passes a session on.
/// Returns false for other messages.
bool handle_relayed_message(session_task_state& t, session& s,
                            const caller_message& m);
/// Gives a relayed session back to the process that accepted it, with its
/// statement, if that hasn't been sent.
void release_relayed_session(session_task_state& t, session& s,
                             std::string_view cause);
/// Gives relayed sessions back, with their statements, and those that are
/// unused for long.
void check_relayed_sessions(session_task_state& t, time_point now);

}

#endif
