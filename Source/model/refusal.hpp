#ifndef BLUEBELLSPOKE_MODEL_REFUSAL_HPP
#define BLUEBELLSPOKE_MODEL_REFUSAL_HPP

#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <string_view>

namespace bluebellspoke
{

/// Why a request was refused. docs/OPERATIONS.md explains each reason.
enum class refusal : std::uint8_t
{
    malformed_request,
    body_too_large,
    not_found,
    unknown_key,
    foreign_session,
    unknown_transaction,
    transaction_elsewhere,
    statement_not_allowed,
    rate_exceeded,
    overloaded,
    queue_full,
    wait_too_long,
    no_endpoint,
    no_primary,
    deadline_exceeded,
    endpoint_lost,
    endpoint_error,
    not_confirmed,
    zone_out,
    draining,
    configuration_stale,
    key_withdrawn,
    conflict,
    platform_unavailable,
};

/// Whether a refused request may have taken effect.
enum class refusal_outcome : std::uint8_t
{
    not_run,         ///< It has not taken effect and will not.
    outcome_unknown, ///< It may or may not have taken effect.
};

struct refusal_entry
{
    refusal m_code;
    std::string_view m_name;
    int m_status; ///< HTTP status code.
    std::string_view m_advice;
};

/// Returns all refusals with their stable names, HTTP status codes and advice
/// to the caller, indexed by code.
std::span<const refusal_entry> refusal_catalogue() noexcept;
const refusal_entry& describe(refusal code) noexcept;
std::string_view to_string(refusal_outcome outcome) noexcept;

/// Thrown when a request is refused. Each front end encodes it for its
/// protocol.
class refusal_error : public std::exception
{
public:
    explicit refusal_error(refusal code,
                           refusal_outcome outcome = refusal_outcome::not_run,
                           std::string detail = {});
    const char* what() const noexcept override;

    refusal m_code;
    refusal_outcome m_outcome;
    std::string
        m_detail; ///< Sent to the caller; must not contain a key or SQL.
};

}

#endif
