#include <front/statement_codec.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::int64_t max_milliseconds = 600'000;

[[noreturn]] void malformed(std::string_view field)
{
    throw refusal_error(refusal::malformed_request, refusal_outcome::not_run,
                        std::string(field));
}

bool read_text(std::string& out, sql_value& value)
{
    auto* text = std::get_if<std::string>(&value);
    if (text != nullptr)
        out = std::move(*text);
    return text != nullptr;
}

bool read_milliseconds(duration& out, const sql_value& value)
{
    const auto* number = std::get_if<std::int64_t>(&value);
    if (number == nullptr || *number < 0 || *number > max_milliseconds)
        return false;
    out = std::chrono::milliseconds(*number);
    return true;
}

bool read_kind(statement_kind& out, const sql_value& value)
{
    const auto* text = std::get_if<std::string>(&value);
    if (text == nullptr || (*text != "read" && *text != "write"))
        return false;
    out = *text == "read" ? statement_kind::read : statement_kind::write;
    return true;
}

bool read_truth(bool& out, const sql_value& value)
{
    const auto* truth = std::get_if<bool>(&value);
    if (truth != nullptr)
        out = *truth;
    return truth != nullptr;
}

/// Returns false when there is no such field or it takes no such value.
bool read_field(statement& s, std::string_view field, sql_value& value)
{
    if (field == "statement")
        return read_text(s.m_text, value);
    if (field == "kind")
        return read_kind(s.m_kind, value);
    if (field == "request_id")
        return read_text(s.m_request_id, value);
    if (field == "transaction")
        return read_text(s.m_transaction, value);
    if (field == "repeatable")
        return read_truth(s.m_idempotent, value);
    if (field == "max_age_ms")
        return read_milliseconds(s.m_max_age.emplace(), value);
    if (field == "time_limit_ms")
        return read_milliseconds(s.m_time_limit, value);
    return false;
}

// A statement is filled while its JSON is read, without a tree of it between.
// The library calls the functions by these names; each returns true to go on,
// so that a body that is no JSON is told apart from one with a bad field.
struct statement_reader
{
    static constexpr std::size_t field_depth = 1;
    static constexpr std::size_t parameter_depth = 2;

    statement m_statement;
    std::string m_field;
    std::optional<std::string> m_fault; ///< The first bad field.
    std::size_t m_depth = 0;

    void blame(std::string_view field)
    {
        if (!m_fault)
            m_fault = field;
    }

    bool take(sql_value value)
    {
        if (m_depth == 0)
            blame("body");
        else if (m_depth == field_depth &&
                 !read_field(m_statement, m_field, value))
            blame(m_field);
        else if (m_depth == parameter_depth)
            m_statement.m_parameters.push_back(std::move(value));
        return true;
    }

    bool null()
    {
        return take(std::monostate());
    }
    bool boolean(bool value)
    {
        return take(value);
    }
    bool number_integer(std::int64_t value)
    {
        return take(value);
    }
    bool number_unsigned(std::uint64_t value)
    {
        take(static_cast<std::int64_t>(value));
        if (!std::in_range<std::int64_t>(value))
            blame(m_field);
        return true;
    }
    bool number_float(double value, const std::string&)
    {
        return take(value);
    }
    bool string(std::string& value)
    {
        return take(std::move(value));
    }
    bool binary(json::binary_t&)
    {
        return false;
    }
    bool start_object(std::size_t)
    {
        if (m_depth++ > 0)
            blame(m_field);
        return true;
    }
    bool key(std::string& name)
    {
        if (m_depth == field_depth)
            m_field = std::move(name);
        return true;
    }
    bool end_object()
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t)
    {
        if (m_depth == 0)
            blame("body");
        else if (m_depth > field_depth || m_field != "parameters")
            blame(m_field);
        m_statement.m_parameters.clear();
        ++m_depth;
        return true;
    }
    bool end_array()
    {
        --m_depth;
        return true;
    }
    static bool parse_error(std::size_t, const std::string&,
                            const nlohmann::detail::exception&)
    {
        return false;
    }
};

bool is_plain(char c)
{
    constexpr char first_printable = 0x20;
    constexpr char last_printable = 0x7e;
    return c >= first_printable && c <= last_printable && c != '"' && c != '\\';
}

// Most cells need no escaping; the library sees to those that do. Endpoints may
// hold bytes that are not UTF-8; the answer stays whole.
void append_text(std::string& out, const std::string& text)
{
    if (std::all_of(text.begin(), text.end(), is_plain))
        out.append(1, '"').append(text).push_back('"');
    else
        out.append(
            json(text).dump(-1, ' ', false, json::error_handler_t::replace));
}

void append_cell(std::string& out, const std::optional<std::string>& cell)
{
    if (cell)
        append_text(out, *cell);
    else
        out.append("null");
}

template <class Items, class Append>
void append_list(std::string& out, const Items& items, Append append)
{
    bool first = true;
    for (const auto& item : items)
    {
        if (!std::exchange(first, false))
            out.push_back(',');
        append(out, item);
    }
}

void append_row(std::string& out,
                const std::vector<std::optional<std::string>>& row)
{
    out.push_back('[');
    append_list(out, row, append_cell);
    out.push_back(']');
}

}

statement decode_statement(std::string_view text)
{
    statement_reader reader;
    if (!json::sax_parse(text, &reader))
        malformed("body");
    if (reader.m_fault)
        malformed(*reader.m_fault);
    statement& s = reader.m_statement;
    if (s.m_text.empty())
        malformed("statement");
    if (s.m_request_id.size() > max_request_id_bytes)
        malformed("request_id");
    return std::move(s);
}

std::string encode_answer(const answer& a)
{
    std::string body = R"({"columns":[)";
    append_list(body, a.m_table.m_columns, append_text);
    body.append(R"(],"rows":[)");
    append_list(body, a.m_table.m_rows, append_row);
    body.append(R"(],"affected":)");
    body.append(std::to_string(a.m_table.m_affected));
    body.append(R"(,"from":")");
    body.append(a.m_from_replica ? "replica" : "primary").push_back('"');
    if (a.m_first_outcome)
        body.append(R"(,"first_outcome":true)");
    body.push_back('}');
    return body;
}

http2_response encode_refusal(const refusal_error& r)
{
    const refusal_entry& entry = describe(r.m_code);
    json body{{"error", entry.m_name},
              {"outcome", to_string(r.m_outcome)},
              {"advice", entry.m_advice}};
    if (!r.m_detail.empty())
        body["detail"] = r.m_detail;
    http2_response response;
    response.m_status = entry.m_status;
    response.m_headers = {{"content-type", "application/json"}};
    response.m_body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

std::string_view bearer_key(const header_list& headers) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = find_header(headers, "authorization");
    if (!value.starts_with(scheme))
        return {};
    return value.substr(scheme.size());
}

}
