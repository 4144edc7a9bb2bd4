#ifndef BLUEBELLSPOKE_ENDPOINT_STATEMENT_TEXT_HPP
#define BLUEBELLSPOKE_ENDPOINT_STATEMENT_TEXT_HPP

#include <span>
#include <string>
#include <string_view>

#include <model/statement.hpp>

namespace bluebellspoke
{

/// A string literal that any session setting reads alike.
std::string quote_literal(std::string_view text);

/// Puts the parameters in place of $1, $2… outside of quotes and comments.
/// Throws refused(statement_not_allowed) for more than one statement, for
/// transaction control, and for parameters that don't match.
std::string bind_parameters(std::string_view text,
                            std::span<const sql_value> parameters);

}

#endif
