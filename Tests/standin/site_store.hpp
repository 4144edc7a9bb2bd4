#ifndef BLUEBELLSPOKE_STANDIN_SITE_STORE_HPP
#define BLUEBELLSPOKE_STANDIN_SITE_STORE_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <event2/http.h>

#include <model/address.hpp>
#include <nlohmann/json.hpp>
#include <task/loop.hpp>

namespace bluebellspoke::standin
{

/// A watch that waits for a change, or for its time.
struct waiting_watch
{
    evhttp_request* m_request = nullptr;
    std::string m_kind;
    std::uint64_t m_revision = 0;
    std::unique_ptr<timer> m_limit;
};

struct store_event
{
    std::uint64_t m_revision = 0;
    std::string m_kind;
    nlohmann::json m_event;
};

/// A stand-in for the platform's store: objects by kind and name, with
/// revisions, conditions and watches, over HTTP/1.1.
struct site_store
{
    explicit site_store(loop& l) : m_loop(l) {}

    loop& m_loop;
    evhttp* m_http = nullptr;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<store_event> m_history;
    std::list<waiting_watch> m_watches;
    bool m_down = false; ///< Answers 503 to everything.
    /// Calls of processes by kind of object and by what they were, for tests
    /// that bound them: `list`; `watch_changed` and `watch_expired`, by how the
    /// watch ended; `create`, `replace`, `remove`; `refused`, a write that
    /// conflicts.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_calls;
    /// Takes a request that it answers itself; false if it isn't its own.
    std::function<bool(evhttp_request*, const std::string& path,
                       const std::string& body)>
        m_own;
    /// Takes what isn't the store's; returns the status to answer.
    std::function<int(const std::string& path, const nlohmann::json& body)>
        m_other;
};

/// Creates or replaces an object, as a process that isn't one of the daemons
/// may.
void put_object(site_store& s, const std::string& kind, const std::string& name,
                const nlohmann::json& spec);
void remove_object(site_store& s, const std::string& kind,
                   const std::string& name);
/// Throws loop_error.
void serve_store(site_store& s, const address& at);

}

#endif
