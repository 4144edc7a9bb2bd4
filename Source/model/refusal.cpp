#include <model/refusal.hpp>

#include <array>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::array catalogue{
    refusal_entry{refusal::malformed_request, "malformed_request", 400,
                  "correct the request"},
    refusal_entry{refusal::body_too_large, "body_too_large", 413,
                  "send a smaller body"},
    refusal_entry{refusal::not_found, "not_found", 404, "check the path"},
    refusal_entry{refusal::unknown_key, "unknown_key", 401,
                  "ask the operator for a key"},
    refusal_entry{refusal::foreign_session, "foreign_session", 403,
                  "drop the session token"},
    refusal_entry{refusal::unknown_transaction, "unknown_transaction", 404,
                  "begin a new transaction"},
    refusal_entry{refusal::transaction_elsewhere, "transaction_elsewhere", 409,
                  "use the connection the transaction began on"},
    refusal_entry{refusal::statement_not_allowed, "statement_not_allowed", 400,
                  "send one plain statement"},
    refusal_entry{refusal::rate_exceeded, "rate_exceeded", 429,
                  "slow down and retry later"},
    refusal_entry{refusal::overloaded, "overloaded", 503, "retry later"},
    refusal_entry{refusal::queue_full, "queue_full", 503,
                  "send less at once and retry later"},
    refusal_entry{refusal::wait_too_long, "wait_too_long", 503,
                  "slow down and retry later"},
    refusal_entry{refusal::no_endpoint, "no_endpoint", 503, "retry later"},
    refusal_entry{refusal::no_primary, "no_primary", 503, "retry later"},
    refusal_entry{refusal::deadline_exceeded, "deadline_exceeded", 504,
                  "retry if it may be repeated"},
    refusal_entry{refusal::endpoint_lost, "endpoint_lost", 502,
                  "retry with the same request id"},
    refusal_entry{refusal::endpoint_error, "endpoint_error", 422,
                  "correct the statement"},
    refusal_entry{refusal::not_confirmed, "not_confirmed", 504,
                  "retry with the same request id"},
    refusal_entry{refusal::zone_out, "zone_out", 503,
                  "retry at another availability zone"},
    refusal_entry{refusal::draining, "draining", 503, "reconnect and retry"},
    refusal_entry{refusal::configuration_stale, "configuration_stale", 503,
                  "retry at another proxy"},
    refusal_entry{refusal::key_withdrawn, "key_withdrawn", 401,
                  "ask the operator for a key"},
    refusal_entry{refusal::conflict, "conflict", 409,
                  "read the current version and edit again"},
    refusal_entry{refusal::platform_unavailable, "platform_unavailable", 503,
                  "retry when the platform is back"},
};

consteval bool is_indexed_by_code()
{
    for (std::size_t i = 0; i < catalogue.size(); ++i)
        if (static_cast<std::size_t>(catalogue[i].m_code) != i)
            return false;
    return true;
}
static_assert(is_indexed_by_code());

}

std::span<const refusal_entry> refusal_catalogue() noexcept
{
    return catalogue;
}

const refusal_entry& describe(refusal code) noexcept
{
    return catalogue[static_cast<std::size_t>(code)];
}

std::string_view to_string(refusal_outcome outcome) noexcept
{
    return outcome == refusal_outcome::not_run ? "not_run" : "outcome_unknown";
}

refusal_error::refusal_error(refusal code, refusal_outcome outcome,
                             std::string detail)
    : m_code(code), m_outcome(outcome), m_detail(std::move(detail))
{
}

const char* refusal_error::what() const noexcept
{
    // Catalogue names are string literals and therefore null-terminated.
    return describe(m_code).m_name.data();
}

}
