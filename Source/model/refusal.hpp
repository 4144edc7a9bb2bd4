#ifndef BLUEBELLSPOKE_MODEL_REFUSAL_HPP
#define BLUEBELLSPOKE_MODEL_REFUSAL_HPP

#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <string_view>

namespace bluebellspoke
{

/// Why a request got no ordinary answer. docs/OPERATIONS.md explains each.
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

/// What became of the request's work.
enum class fate : std::uint8_t
{
    not_run,         ///< Nothing took effect and nothing will.
    outcome_unknown, ///< It may or may not have taken effect.
};

struct refusal_entry
{
    refusal m_code;
    std::string_view m_name;
    int m_status; ///< HTTP status code.
    std::string_view m_advice;
};

/// Every refusal with its stable name, status and advice to the caller.
std::span<const refusal_entry> refusal_catalogue() noexcept;
const refusal_entry& describe(refusal code) noexcept;
std::string_view to_string(fate f) noexcept;

/// A request that was refused; a front end turns it into its own encoding.
class refused : public std::exception
{
public:
    explicit refused(refusal code, fate what_became = fate::not_run,
                     std::string detail = {});
    const char* what() const noexcept override;

    refusal m_code;
    fate m_fate;
    std::string m_detail; ///< For the caller; never a key or a statement.
};

}

#endif
