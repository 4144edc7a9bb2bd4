#ifndef BLUEBELLSPOKE_ENDPOINT_ENDPOINT_SQL_HPP
#define BLUEBELLSPOKE_ENDPOINT_ENDPOINT_SQL_HPP

#include <exception>
#include <string>
#include <string_view>

#include <model/endpoint_state.hpp>
#include <model/statement.hpp>

namespace bluebellspoke
{

/// An endpoint answered something that docs/ENDPOINTS.md doesn't describe.
class endpoint_protocol_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// SQLSTATE of an endpoint that isn't the primary of the named term.
inline constexpr std::string_view wrong_term_sqlstate = "BB001";

std::string state_query();
/// As state_query(), but answered only when the log reaches `position`, when
/// the endpoint is fenced past its term, or after `time_limit`.
std::string await_query(const log_position& position, duration time_limit);
/// A read in a read-only transaction, then the endpoint's state.
std::string read_query(std::string_view bound_statement);

struct write_order
{
    term_number m_term = 0;
    std::string_view m_workspace;
    std::string_view m_request_id; ///< Empty: the outcome isn't stored.
    std::string_view m_bound_statement;
};
/// A write in a transaction of its own, then the endpoint's state.
std::string write_query(const write_order& order);

std::string begin_query(term_number term);
std::string commit_query();
std::string rollback_query();

/// The endpoint votes for `candidate` in `term` once, and follows no lower
/// term from then on.
std::string fence_query(term_number term, std::string_view candidate);
std::string promote_query(term_number term);
std::string follow_query(term_number term, std::string_view primary_address);

/// Reads the row of a state query. Throws endpoint_protocol_error.
endpoint_state parse_state(const result_table& table, time_point asked_at);
/// Reads the `granted` cell of a fence query's row.
bool parse_granted(const result_table& table);

struct write_outcome
{
    result_table m_table;
    bool m_first_outcome = false; ///< Stored before; not run again.
};
/// Reads the row of a write. Throws endpoint_protocol_error.
write_outcome parse_write(const result_table& table);

}

#endif
