#include <front/statement_codec.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::uint64_t max_milliseconds = 600'000;

[[noreturn]] void malformed(std::string_view field)
{
    throw refused(refusal::malformed_request, fate::not_run,
                  std::string(field));
}

sql_value to_value(const json& value)
{
    if (value.is_null())
        return std::monostate();
    if (value.is_boolean())
        return value.get<bool>();
    if (value.is_number_unsigned() &&
        value.get<std::uint64_t>() >
            static_cast<std::uint64_t>(
                std::numeric_limits<std::int64_t>::max()))
        malformed("parameters");
    if (value.is_number_integer())
        return value.get<std::int64_t>();
    if (value.is_number_float())
        return value.get<double>();
    if (value.is_string())
        return value.get<std::string>();
    malformed("parameters");
}

const std::string& text_of(const json& value, std::string_view field)
{
    if (!value.is_string())
        malformed(field);
    return value.get_ref<const std::string&>();
}

duration milliseconds_of(const json& value, std::string_view field)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > max_milliseconds)
        malformed(field);
    return std::chrono::milliseconds(value.get<std::uint64_t>());
}

statement_kind kind_of(const json& value)
{
    const std::string& text = text_of(value, "kind");
    if (text == "read")
        return statement_kind::read;
    if (text == "write")
        return statement_kind::write;
    malformed("kind");
}

void read_field(statement& s, const std::string& field, const json& value)
{
    if (field == "statement")
        s.m_text = text_of(value, field);
    else if (field == "kind")
        s.m_kind = kind_of(value);
    else if (field == "request_id")
        s.m_request_id = text_of(value, field);
    else if (field == "transaction")
        s.m_transaction = text_of(value, field);
    else if (field == "repeatable" && value.is_boolean())
        s.m_repeatable = value.get<bool>();
    else if (field == "max_age_ms")
        s.m_max_age = milliseconds_of(value, field);
    else if (field == "time_limit_ms")
        s.m_time_limit = milliseconds_of(value, field);
    else if (field == "parameters" && value.is_array())
        for (const json& parameter : value)
            s.m_parameters.push_back(to_value(parameter));
    else
        malformed(field);
}

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
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        malformed("body");
    statement s;
    for (const auto& [field, value] : body.items())
        read_field(s, field, value);
    if (s.m_text.empty())
        malformed("statement");
    if (s.m_request_id.size() > max_request_id_bytes)
        malformed("request_id");
    return s;
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

http2_response encode_refusal(const refused& r)
{
    const refusal_entry& entry = describe(r.m_code);
    json body{{"error", entry.m_name},
              {"outcome", to_string(r.m_fate)},
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
