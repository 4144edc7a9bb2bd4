#ifndef BLUEBELLSPOKE_STANDIN_SITE_GROUP_HPP
#define BLUEBELLSPOKE_STANDIN_SITE_GROUP_HPP

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <model/site.hpp>
#include <session/line_stream.hpp>
#include <task/loop.hpp>

struct evconnlistener;

namespace bluebellspoke::standin
{

struct log_entry
{
    std::uint64_t m_term = 0;
    std::string m_item;
    std::string m_data;
};

struct site_group;
struct line_endpoint;

/// A commit that no replica has received yet.
struct waiting_commit
{
    std::size_t m_end = 0; ///< Length of the log with the commit.
    std::string m_digest;
};

/// One connection to an endpoint, in the platform's line protocol.
struct line_session
{
    line_endpoint* m_endpoint = nullptr;
    std::unique_ptr<line_stream> m_stream;
    bool m_started = false;
    bool m_over = false;
    char m_state = 'I';
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    std::vector<log_entry> m_writes; ///< Of the open transaction.
    std::optional<waiting_commit>
        m_waiting; ///< Nothing is read until it is acknowledged.
};

/// A stand-in for one endpoint: a log of writes, a term and a role.
struct line_endpoint
{
    site_group* m_group = nullptr;
    std::string m_id;
    address m_address;
    bool m_up = true;
    bool m_mute = false; ///< Answers questions for its status only.
    bool m_full = false; ///< Has no room for statements of transactions.
    bool m_dark = false; ///< Answers nothing; what arrives is kept for later.
    bool m_deaf = false; ///< Receives no commits.
    bool m_draining = false;
    bool m_primary = false;
    std::size_t m_limit = 0;  ///< Most connections; 0: any number.
    std::uint64_t m_term = 0; ///< 0: it has never followed a primary.
    std::uint64_t m_held = 0;
    std::vector<log_entry> m_log;
    /// Entries of m_log that are acknowledged. Reads see no others.
    std::size_t m_acknowledged = 0;
    evconnlistener* m_listener = nullptr;
    std::vector<std::unique_ptr<line_session>> m_sessions;
};

/// A promotion that takes effect some time after its order.
struct pending_promotion
{
    std::unique_ptr<timer> m_due;
    bool m_is_done = false;
};

/// A group whose primary hands each commit to every replica that receives.
struct site_group
{
    loop* m_loop = nullptr;
    std::string m_service;
    std::vector<std::unique_ptr<line_endpoint>> m_endpoints;
    /// From the answer to an order until its promotion takes effect.
    std::chrono::milliseconds m_promotion_delay{};
    std::list<pending_promotion> m_promotions{};
};

/// Listens, with the first endpoint as the primary. Each other one copies the
/// log of the primary; without one it is empty and has term 0. Throws
/// loop_error.
line_endpoint& add_endpoint(site_group& g, const std::string& id,
                            const address& at);
/// Closes every connection and its listener, or listens again as a replica
/// with its log.
void set_up(line_endpoint& e, bool up);
/// Ends or begins a time in which it answers nothing.
void set_dark(line_endpoint& e, bool dark);
/// Ends or begins a time in which it receives no commits.
void set_deaf(line_endpoint& e, bool deaf);
/// Commits a write as a caller of another process would. False when there is no
/// primary, or no replica has received the write yet.
bool write_directly(site_group& g, const std::string& item,
                    const std::string& data);
line_endpoint* find_endpoint(site_group& g, std::string_view id);
/// The endpoint leads the next term once m_promotion_delay has passed, with the
/// log that it has then. False when it isn't running.
bool order_promotion(site_group& g, std::string_view id);
/// Has a promotion been ordered that has not taken effect yet?
bool is_promotion_pending(const site_group& g);

}

#endif
