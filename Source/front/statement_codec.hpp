#ifndef BLUEBELLSPOKE_FRONT_STATEMENT_CODEC_HPP
#define BLUEBELLSPOKE_FRONT_STATEMENT_CODEC_HPP

#include <string>
#include <string_view>

#include <model/refusal.hpp>
#include <model/statement.hpp>
#include <wire/http2_message.hpp>

namespace bluebellspoke
{

/// Header that carries a session token both ways.
inline constexpr std::string_view session_header = "x-bluebellspoke-session";

/// Reads a statement from JSON. Throws refused(malformed_request) naming the
/// field. A time limit of zero means that the caller gave none.
statement decode_statement(std::string_view json);

std::string encode_answer(const answer& a);
http2_response encode_refusal(const refusal_error& r);

/// The key of an `authorization: Bearer` header, or an empty view.
std::string_view bearer_key(const header_list& headers) noexcept;

}

#endif
