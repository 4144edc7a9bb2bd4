#include <standin/pg_wire.hpp>

#include <algorithm>

namespace bluebellspoke::standin
{

namespace
{

void put_u32(std::string& out, std::uint32_t value)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift & 0xffU));
}

void put_u16(std::string& out, std::uint16_t value)
{
    out.push_back(static_cast<char>(value >> 8U));
    out.push_back(static_cast<char>(value & 0xffU));
}

void put_text(std::string& out, std::string_view text)
{
    out.append(text).push_back('\0');
}

void put_message(std::string& out, char type, std::string_view body)
{
    out.push_back(type);
    put_u32(out, static_cast<std::uint32_t>(body.size() + 4));
    out.append(body);
}

}

std::uint32_t read_u32(std::string_view bytes)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i)
        value = value << 8U | static_cast<std::uint8_t>(bytes[i]);
    return value;
}

void append_startup_answer(std::string& out)
{
    std::string body;
    put_u32(body, 0);
    put_message(out, 'R', body);
    constexpr std::string_view parameters[][2] = {
        {"server_version", "15.0"},
        {"client_encoding", "UTF8"},
        {"standard_conforming_strings", "on"}};
    for (const auto& parameter : parameters)
    {
        body.clear();
        put_text(body, parameter[0]);
        put_text(body, parameter[1]);
        put_message(out, 'S', body);
    }
    body.clear();
    put_u32(body, 1);
    put_u32(body, 1);
    put_message(out, 'K', body);
    append_ready(out, 'I');
}

void append_ready(std::string& out, char transaction_status)
{
    put_message(out, 'Z', std::string_view(&transaction_status, 1));
}

void append_rows(std::string& out, std::span<const std::string> columns,
                 std::span<const sql_row> rows)
{
    constexpr std::uint32_t text_type = 25;
    std::string body;
    put_u16(body, static_cast<std::uint16_t>(columns.size()));
    for (const std::string& column : columns)
    {
        put_text(body, column);
        put_u32(body, 0);
        put_u16(body, 0);
        put_u32(body, text_type);
        put_u16(body, 0xffff);
        put_u32(body, 0xffffffff);
        put_u16(body, 0);
    }
    put_message(out, 'T', body);
    for (const sql_row& row : rows)
    {
        body.clear();
        put_u16(body, static_cast<std::uint16_t>(row.size()));
        for (const auto& cell : row)
        {
            if (!cell)
            {
                put_u32(body, 0xffffffff);
                continue;
            }
            put_u32(body, static_cast<std::uint32_t>(cell->size()));
            body.append(*cell);
        }
        put_message(out, 'D', body);
    }
}

void append_complete(std::string& out, std::string_view tag)
{
    std::string body;
    put_text(body, tag);
    put_message(out, 'C', body);
}

void append_error(std::string& out, std::string_view severity,
                  std::string_view sqlstate, std::string_view message)
{
    std::string body;
    body.push_back('S');
    put_text(body, severity);
    body.push_back('C');
    put_text(body, sqlstate);
    body.push_back('M');
    put_text(body, message);
    body.push_back('\0');
    put_message(out, 'E', body);
}

std::vector<std::string> split_statements(std::string_view text)
{
    std::vector<std::string> statements(1);
    bool quoted = false;
    bool escapes = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (!quoted && c == ';')
        {
            statements.emplace_back();
            continue;
        }
        statements.back().push_back(c);
        if (quoted && escapes && c == '\\' && i + 1 < text.size())
            statements.back().push_back(text[++i]);
        else if (c == '\'')
        {
            escapes = !quoted && i > 0 && (text[i - 1] == 'E');
            quoted = !quoted;
        }
    }
    std::erase_if(statements,
                  [](const std::string& s)
                  {
                      return s.find_first_not_of(" \t\r\n") ==
                             std::string::npos;
                  });
    return statements;
}

}
