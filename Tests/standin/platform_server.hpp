#ifndef BLUEBELLSPOKE_STANDIN_PLATFORM_SERVER_HPP
#define BLUEBELLSPOKE_STANDIN_PLATFORM_SERVER_HPP

#include <list>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include <wire/http2_server.hpp>

namespace bluebellspoke::standin
{

enum class platform_mode : std::uint8_t
{
    up,
    down,         ///< Answers 503 and does nothing.
    silent,       ///< Does nothing and never answers.
    slow,         ///< Answers after m_delay.
    lose_answers, ///< Does as asked, then drops the connection.
};

struct stored_object
{
    std::uint64_t m_version = 0;
    nlohmann::json m_value; ///< Null: removed.
};

struct platform_watch
{
    exchange_id m_exchange;
    std::string m_prefix;
    std::uint64_t m_after = 0;
    std::unique_ptr<timer> m_limit;
};

/// Stands in for the platform's object service: versions, conditional updates,
/// watches, a VM list that lags, and outages on request.
struct platform_server
{
    platform_server(loop& l, const address& listen);

    loop& m_loop;
    platform_mode m_mode = platform_mode::up;
    std::chrono::milliseconds m_delay{0};
    std::chrono::milliseconds m_vm_lag{0};
    std::uint64_t m_revision = 0;
    std::map<std::string, stored_object> m_objects;
    std::list<platform_watch> m_watches;
    std::uint64_t m_saved_revision = 0;
    std::map<std::string, stored_object> m_saved; ///< Copy to restore.
    nlohmann::json m_vms = nlohmann::json::array();
    std::list<std::unique_ptr<timer>> m_timers;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watch_calls = 0;
    std::unique_ptr<http2_server> m_server;
};

}

#endif
