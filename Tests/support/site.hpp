#ifndef BLUEBELLSPOKE_SUPPORT_SITE_HPP
#define BLUEBELLSPOKE_SUPPORT_SITE_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <model/address.hpp>
#include <nlohmann/json.hpp>
#include <support/certificates.hpp>
#include <support/child_process.hpp>
#include <support/daemon_build.hpp>

namespace bluebellspoke::support
{

/// A caller's session, one line at a time; every wait has an end.
class line_caller
{
public:
    /// Connects. Throws std::runtime_error.
    explicit line_caller(const address& at);
    ~line_caller();
    line_caller(const line_caller&) = delete;
    line_caller& operator=(const line_caller&) = delete;

    void send(const std::string& line);
    /// Sends a part of a line.
    void send_part(const std::string& text);
    /// Sends nothing more; the other side still may.
    void end_sending();
    /// Has the other side closed, with nothing left to read?
    bool is_closed() const;
    /// The next line, or nothing at the end of the session or of the wait.
    std::optional<std::string> line();
    /// Sends a statement under a new id; its answer's lines joined by " | ",
    /// each up to and without its digest or position.
    std::string ask(const std::string& statement);
    /// Sends a statement under a new id, without awaiting its answer.
    void begin(const std::string& statement);
    /// The answer to a statement that was begun, as from ask.
    std::string answer();
    /// Starts the session. Returns the first word of the answer, or of an error
    /// the second.
    std::string start(const std::string& database, const std::string& key);

private:
    int m_socket = -1;
    std::string m_rest;
    unsigned m_number = 0;
};

/// One answer of an HTTP/1.1 server.
struct http_reply
{
    int m_status = 0; ///< 0: none.
    std::string m_body;
};

/// Throws nothing; no answer has status 0.
http_reply call_http(const address& at, const std::string& method,
                     const std::string& path, const std::string& body = {});

/// A bound in the settings files.
struct site_bound
{
    const char* m_name = "";
    double m_value = 0;
};

/// How large a site is. The first workspaces are `ward` and `depot`.
struct site_size
{
    std::size_t m_daemons = 1;
    std::size_t m_zones = 1; ///< Daemons are spread over them in turn.
    std::size_t m_workspaces = 2;
    unsigned m_rate = 1000; ///< Of each, statements a second, and its burst.
    /// Builds of the daemons, in turn; empty: the current one. Read by the
    /// constructor only.
    std::span<const daemon_build> m_builds = {};
    /// `limits` of the daemons' settings files; 0: not named there.
    std::size_t m_memory_mb = 0;
    std::size_t m_descriptors = 0;
    /// Bounds in the settings files besides those of every site.
    std::span<const site_bound> m_bounds = {};
};

/// The key of a workspace by its number.
std::string key_of(std::size_t workspace);

/// Daemons on a stand-in of the users' platform.
class site
{
public:
    /// Three endpoints of one service, and this many daemons, all ready.
    explicit site(std::size_t daemons);
    explicit site(const site_size& size);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Puts a configuration into the store, with the next version.
    void configure(const nlohmann::json& change = nlohmann::json::object());
    void set_endpoint(const std::string& id, bool up) const;
    /// Starts another endpoint, which copies the log of the primary and
    /// registers itself in the store. Without a primary its log is empty.
    void start_endpoint(const std::string& id);
    /// The same, except that its entry isn't in the store.
    void start_unlisted_endpoint(const std::string& id);
    /// Removes the endpoint's entry from the store, or restores it, while the
    /// endpoint runs.
    void set_listed(const std::string& id, bool listed) const;
    /// Marks the endpoint's entry as draining.
    void drain_endpoint(const std::string& id) const;
    /// Ends the endpoint for good, as after a drain: its entry goes, too.
    void end_endpoint(const std::string& id) const;
    /// A mute endpoint answers questions for its status only.
    void set_mute(const std::string& id, bool mute) const;
    /// A full endpoint has no room for statements inside transactions.
    void set_full(const std::string& id, bool full) const;
    /// A dark endpoint answers nothing to the daemons.
    void set_dark(const std::string& id, bool dark) const;
    /// A deaf endpoint receives no commits.
    void set_deaf(const std::string& id, bool deaf) const;
    /// Writes to the primary as a caller of a process would that isn't one of
    /// the daemons. Returns true if it was committed.
    bool write_directly(const std::string& item, const std::string& data) const;
    /// The item's data in the log of the primary; empty: there is no primary.
    std::string read_directly(const std::string& item) const;
    /// Promotions take effect this long after their orders were answered.
    void set_promotion_delay(std::chrono::milliseconds delay) const;
    /// Has a promotion been ordered that hasn't taken effect yet?
    bool is_promotion_pending() const;
    /// Pauses a replica as a takeover would.
    void pause(const std::string& id) const;
    bool is_paused(const std::string& id) const;
    /// The end of the endpoint's log; empty: it doesn't run.
    std::string position_of(const std::string& id) const;
    /// The endpoint that says it is the primary of the newest term; empty:
    /// none.
    std::string primary() const;
    /// The endpoint of which the store says that its promotion was decided on;
    /// empty: none.
    std::string decided_successor() const;
    /// Limits the connections of each endpoint, and tells the daemons so.
    void limit_connections(std::size_t most);
    void set_store(bool down) const;
    void start_daemon(std::size_t number);
    /// The daemon runs this build from its next start on.
    void set_build(std::size_t daemon, const daemon_build& build);
    /// The only peer that the daemon knows at its next start.
    void set_seed(std::size_t daemon, const address& peer);
    /// Writes the daemon's settings file anew, with another zone.
    void add_zone(std::size_t daemon, const std::string& zone);

    /// The daemons' calls of the store so far: their numbers by kind of object
    /// and by what they were, as the stand-in counts them.
    nlohmann::json store_calls() const;
    /// The calls of the usage service so far, with the answers it gave.
    nlohmann::json usage_calls() const;
    /// Sets the status that the usage service answers, and whether its answers
    /// are lost.
    void set_usage_service(int status, bool loses_answers) const;
    /// The record of the usage duty; null: none.
    nlohmann::json usage_record() const;

    const address& callers_of(std::size_t daemon) const;
    const address& probes_of(std::size_t daemon) const;
    const address& metrics_of(std::size_t daemon) const;
    const address& peers_of(std::size_t daemon) const;
    /// Registers a member of the fleet in the store.
    void add_member(const std::string& name, const address& peers,
                    const std::string& zone = "zone-1", double cores = 1) const;
    /// Writes an entry of this kind into the store, as any process may.
    void put_entry(const std::string& kind, const std::string& name,
                   const nlohmann::json& spec) const;
    /// The store's entries of this kind, with their revisions.
    nlohmann::json entries(const std::string& kind) const;
    /// Removes an entry from the store, as any process may.
    void remove_entry(const std::string& kind, const std::string& name) const;
    /// An endpoint's address, also while it isn't in the store.
    address address_of(const std::string& id) const;
    /// Evacuates the zone.
    void evacuate(const std::string& zone) const;
    /// The store's newest revision.
    std::uint64_t store_revision() const;
    child_process& daemon(std::size_t number);
    bool is_ready(std::size_t daemon) const;
    /// A metric of the daemon by its name without `bluebellspoke_`, with its
    /// labels; nothing if the daemon doesn't answer or has none such.
    std::optional<double> metric(std::size_t daemon,
                                 std::string_view name) const;
    nlohmann::json& config() noexcept;

private:
    struct node
    {
        std::string m_file;
        address m_callers;
        address m_probes;
        address m_peers;
        address m_sessions; ///< For other daemons' sessions.
        address m_metrics;
        daemon_build m_build = current_build();
        std::unique_ptr<child_process> m_process;
    };

    void write_node_file(std::size_t number, node& n) const;
    void change_node_file(std::size_t daemon,
                          const nlohmann::json& change) const;

    std::size_t m_zones = 1;
    nlohmann::json m_limits;
    std::vector<site_bound> m_bounds;
    scratch_folder m_folder;
    address m_platform;
    std::map<std::string, address> m_endpoints;
    nlohmann::json m_config;
    std::unique_ptr<child_process> m_standin;
    std::vector<node> m_nodes;
};

/// Repeats until the check holds. False after the longest time that the
/// deployments described allow for what is waited for, twice over.
/// Moments in it; a shorter wait names its own.
inline constexpr int longest_wait = 1200;
/// Moments past the deadline of a statement, which is 2 s here.
inline constexpr int past_a_statement = 120;

template <class Check>
bool comes_true(Check check, int moments = longest_wait);

void wait_a_moment();

template <class Check>
bool comes_true(Check check, int moments)
{
    for (int i = 0; i < moments; ++i)
    {
        if (check())
            return true;
        wait_a_moment();
    }
    return false;
}

}

#endif
