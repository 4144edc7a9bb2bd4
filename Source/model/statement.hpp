#ifndef BLUEBELLSPOKE_MODEL_STATEMENT_HPP
#define BLUEBELLSPOKE_MODEL_STATEMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <model/clock.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

enum class statement_kind : std::uint8_t
{
    read,
    write,
};

/// A bound parameter: null, Boolean, integer, floating-point number or text.
using sql_value =
    std::variant<std::monostate, bool, std::int64_t, double, std::string>;

/// One statement from a caller, independent of the front end that received it.
struct statement
{
    std::string m_text;
    std::vector<sql_value> m_parameters;
    statement_kind m_kind = statement_kind::read;
    std::string m_request_id;          ///< Empty: none was given.
    std::string m_transaction;         ///< Empty: no transaction.
    bool m_idempotent = false;         ///< May be run more than once.
    std::optional<duration> m_max_age; ///< Maximum staleness of a read.
    duration m_time_limit{};           ///< From arrival to answer.
};

/// A table of text values; an empty optional is an SQL null.
struct result_table
{
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::optional<std::string>>> m_rows;
    std::uint64_t m_affected = 0; ///< Number of affected rows.
};

/// The answer to a statement that was served.
struct answer
{
    result_table m_table;
    log_position m_position; ///< The session's position after it.
    bool m_from_replica = false;
    bool m_first_outcome = false; ///< Found by its request id, not run again.
};

}

#endif
