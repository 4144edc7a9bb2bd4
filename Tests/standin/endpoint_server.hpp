#ifndef BLUEBELLSPOKE_STANDIN_ENDPOINT_SERVER_HPP
#define BLUEBELLSPOKE_STANDIN_ENDPOINT_SERVER_HPP

#include <chrono>
#include <deque>
#include <filesystem>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <event2/listener.h>

#include <model/address.hpp>
#include <model/clock.hpp>
#include <standin/endpoint_journal.hpp>
#include <standin/sql_store.hpp>
#include <task/loop.hpp>
#include <wire/http2_transport.hpp>

namespace bluebellspoke::standin
{

struct endpoint_options
{
    address m_listen;
    std::string m_name;
    std::chrono::milliseconds m_lag{0};     ///< Until the log has an entry.
    std::chrono::microseconds m_service{0}; ///< One statement's time.
    std::chrono::milliseconds m_connect{0}; ///< One connection's set-up.
    std::size_t m_slots = 5;
    std::size_t m_connections = 30;
    std::optional<address> m_follow; ///< Absent: starts as primary of term 1.
    std::filesystem::path m_folder;  ///< Empty: a restart loses everything.
};

struct endpoint_session;

/// A session that waits in await().
struct position_wait
{
    endpoint_session* m_session;
    std::uint64_t m_term;
    std::uint64_t m_offset;
    std::unique_ptr<timer> m_limit;
};

struct replica_link;

/// Stands in for one endpoint of a database group: a log with terms and
/// positions, asynchronous replication with a lag, slots, a connection limit,
/// and the functions of docs/ENDPOINTS.md over the simple-query protocol.
struct endpoint_server
{
    endpoint_server(loop& l, endpoint_options options);
    ~endpoint_server();

    loop& m_loop;
    endpoint_options m_options;
    endpoint_journal m_journal;
    std::vector<log_entry> m_log; ///< Offset n is entry n - 1.
    sql_data m_data;
    bool m_primary = false;
    std::uint64_t m_fence = 1;
    std::string m_candidate; ///< Whom it voted for at m_fence.
    std::string m_following;
    time_point m_fresh_at{};          ///< What it shows is as of then.
    time_point m_upstream_heard_at{}; ///< Or since it follows, or is fenced.
    bool m_replication_cut = false;   ///< It neither ships nor receives.
    std::list<std::unique_ptr<endpoint_session>> m_sessions;
    std::list<position_wait> m_waits;
    std::deque<endpoint_session*> m_slot_queue;
    std::size_t m_running = 0;
    std::uint64_t m_refused = 0; ///< Connections beyond the limit.
    std::unique_ptr<replica_link> m_upstream;
    std::list<std::unique_ptr<replica_link>> m_downstreams;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
    address m_local;
    timer m_heartbeat;
};

}

#endif
