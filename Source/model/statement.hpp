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

/// A bound parameter; null, truth value, number or text.
using sql_value =
    std::variant<std::monostate, bool, std::int64_t, double, std::string>;

/// One statement as a caller asked for it, whatever front end it came by.
struct statement
{
    std::string m_text;
    std::vector<sql_value> m_parameters;
    statement_kind m_kind = statement_kind::read;
    std::string m_request_id;          ///< Empty: the caller gave none.
    std::string m_transaction;         ///< Empty: runs on its own.
    bool m_repeatable = false;         ///< May be run more than once.
    std::optional<duration> m_max_age; ///< Accepts data this old.
    duration m_time_limit{};           ///< From arrival to answer.
};

/// A table of text cells; an absent cell is SQL's null.
struct result_table
{
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::optional<std::string>>> m_rows;
    std::uint64_t m_affected = 0; ///< Rows.
};

/// An ordinary answer.
struct answer
{
    result_table m_table;
    log_position m_position; ///< Where the session stands after it.
    bool m_from_replica = false;
    bool m_first_outcome = false; ///< Found by its request id, not run again.
};

}

#endif
