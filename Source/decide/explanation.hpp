#ifndef BLUEBELLSPOKE_DECIDE_EXPLANATION_HPP
#define BLUEBELLSPOKE_DECIDE_EXPLANATION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <decide/endpoint_verdict.hpp>
#include <decide/load/home_verdict.hpp>
#include <decide/load/load_choice.hpp>
#include <decide/load/rate_verdict.hpp>
#include <decide/load/turn_wait.hpp>
#include <model/clock.hpp>
#include <model/site.hpp>

namespace bluebellspoke
{

/// Most endpoints of a service that are explained; a typical group has three.
inline constexpr std::size_t max_explained_endpoints = 32;

/// A request of which somebody asks where it would go. The key is never printed
/// or logged.
struct explain_query
{
    std::string m_database;
    std::optional<std::string> m_key;
    std::optional<std::string> m_workspace; ///< In place of the key.
    bool m_writes = false;
};

/// Why a request can't be explained.
enum class explain_fault : std::uint8_t
{
    malformed,
    no_configuration, ///< The process has none yet.
    unknown_database,
    unknown_workspace,
    unauthorized, ///< The route needs a key, and it isn't a known one.
    overloaded,   ///< The process has too much to do.
};

std::string_view to_string(explain_fault fault) noexcept;

/// What becomes of the request, once the rate of its workspace admits it.
enum class request_outcome : std::uint8_t
{
    passed_on, ///< It runs at its home process.
    sent,      ///< It goes to the endpoint that would be chosen.
    queued,    ///< It waits for an endpoint.
    hopeless,  ///< It is refused, as its turn comes too late.
    no_group,  ///< It is refused, as no endpoint of the service is known.
};

std::string_view to_string(request_outcome outcome) noexcept;

struct explained_workspace
{
    std::string m_name; ///< Empty: a public route without a key.
    rate_verdict m_verdict = rate_verdict::admitted;
    double m_rate = 0;  ///< Operations per second, all processes together.
    double m_burst = 0; ///< Operations, all processes together.
    double m_share = 0; ///< Part of the rate that this process has, 0 to 1.
    double m_tokens = 0;
    std::size_t m_waiting = 0; ///< Operations that wait for a token.
};

struct explained_home
{
    home_verdict m_verdict = home_verdict::not_needed;
    std::string m_name; ///< Empty: the request runs in this process.
};

/// What is known of the group; nothing for times that never were.
struct explained_group
{
    std::string m_primary; ///< Empty: unknown.
    term_number m_term = 0;
    std::optional<duration> m_lease_left;
    std::optional<duration> m_primary_seen_age;
    std::optional<duration> m_primary_contact_age;
};

/// Why a wait is estimated or not.
enum class wait_estimate : std::uint8_t
{
    estimated,
    no_priorities, ///< The configuration has none; no wait is estimated.
    nothing_waits, ///< No statement of its kind waits.
    rate_unknown,  ///< Too few turns were observed.
};

std::string_view to_string(wait_estimate estimate) noexcept;

struct explained_queue
{
    std::size_t m_waiting = 0; ///< Statements that wait for the group.
    turn_class m_class;
    bool m_must_queue = false; ///< A statement that waits goes first.
    wait_estimate m_estimate = wait_estimate::nothing_waits;
    std::optional<expected_turn> m_expected;
    duration m_useful_time{}; ///< How long an answer would be useful.
};

/// What the choice of an endpoint makes of one of them.
enum class choice_verdict : std::uint8_t
{
    would_be_chosen,
    could_be_chosen,
    not_allowed,
};

std::string_view to_string(choice_verdict verdict) noexcept;

struct explained_endpoint
{
    std::string m_id;
    std::string m_zone;
    std::string m_region;
    bool m_is_primary = false;
    choice_verdict m_choice = choice_verdict::not_allowed;
    endpoint_verdict m_reason = endpoint_verdict::usable;
    /// Until the reason ends by itself; nothing: that depends on what happens.
    std::optional<duration> m_reason_left;
    std::optional<load_cost> m_cost;       ///< Only of those that may run it.
    std::optional<duration> m_status_age;  ///< Of its last status.
    std::optional<duration> m_load_age;    ///< Of its last report on its slots.
    std::optional<duration> m_contact_age; ///< Of its last reply to anybody.
    std::optional<log_position> m_position; ///< By its last status.
    std::optional<std::uint64_t> m_lag_ms;  ///< By its last status.
    std::uint32_t m_slots = 0;              ///< 0: unknown.
    double m_used = 0;                      ///< Part of the slots in use.
    std::uint32_t m_running = 0;            ///< Statements of this process.
    std::uint32_t m_connections = 0;        ///< Of this process.
    std::uint32_t m_connection_limit = 0;   ///< Of this process.
    bool m_has_idle_connection = false;
    std::uint32_t m_all_connections = 0; ///< Of all processes.
};

/// Where a request would go now, and why.
struct explanation
{
    std::string m_process; ///< That was asked.
    std::uint64_t m_config_version = 0;
    bool m_writes = false;
    site_route m_route;
    explained_workspace m_workspace;
    explained_home m_home;
    request_outcome m_outcome = request_outcome::sent;
    std::optional<explained_group> m_group;
    std::optional<explained_queue> m_queue;
    std::vector<explained_endpoint> m_endpoints;
    std::size_t m_omitted_endpoints = 0; ///< Beyond max_explained_endpoints.
};

using explain_result = std::variant<explanation, explain_fault>;

}

#endif
