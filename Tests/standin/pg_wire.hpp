#ifndef BLUEBELLSPOKE_STANDIN_PG_WIRE_HPP
#define BLUEBELLSPOKE_STANDIN_PG_WIRE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke::standin
{

/// The simple-query part of PostgreSQL's published protocol, version 3.

inline constexpr std::uint32_t protocol_version = 196608;
inline constexpr std::uint32_t ssl_request = 80877103;
inline constexpr std::uint32_t gss_request = 80877104;

using sql_row = std::vector<std::optional<std::string>>;

std::uint32_t read_u32(std::string_view bytes);

void append_startup_answer(std::string& out);
void append_ready(std::string& out, char transaction_status);
void append_rows(std::string& out, std::span<const std::string> columns,
                 std::span<const sql_row> rows);
void append_complete(std::string& out, std::string_view tag);
void append_error(std::string& out, std::string_view severity,
                  std::string_view sqlstate, std::string_view message);

/// Splits a query string at the semicolons outside of quotes.
std::vector<std::string> split_statements(std::string_view text);

}

#endif
