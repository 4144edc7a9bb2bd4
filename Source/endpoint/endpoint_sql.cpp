#include <endpoint/endpoint_sql.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

#include <nlohmann/json.hpp>

#include <endpoint/statement_text.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::string_view state_call = "select * from bluebellspoke.state()";

const std::optional<std::string>& cell(const result_table& table,
                                       std::string_view column)
{
    const auto found =
        std::find(table.m_columns.begin(), table.m_columns.end(), column);
    if (found == table.m_columns.end() || table.m_rows.size() != 1)
        throw endpoint_protocol_error();
    return table.m_rows
        .front()[static_cast<std::size_t>(found - table.m_columns.begin())];
}

bool has_column(const result_table& table, std::string_view column)
{
    return std::find(table.m_columns.begin(), table.m_columns.end(), column) !=
           table.m_columns.end();
}

std::uint64_t number(const result_table& table, std::string_view column)
{
    const std::optional<std::string>& text = cell(table, column);
    std::uint64_t value = 0;
    if (!text)
        throw endpoint_protocol_error();
    const auto [end, error] =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size())
        throw endpoint_protocol_error();
    return value;
}

bool truth(const result_table& table, std::string_view column)
{
    const std::optional<std::string>& text = cell(table, column);
    return text && *text == "t";
}

}

const char* endpoint_protocol_error::what() const noexcept
{
    return "unexpected answer from an endpoint";
}

std::string state_query()
{
    return std::string(state_call);
}

std::string await_query(const log_position& position, duration time_limit)
{
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
    std::string text = "select * from bluebellspoke.await(";
    text.append(std::to_string(position.m_term)).append(", ");
    text.append(std::to_string(position.m_offset)).append(", ");
    return text.append(std::to_string(limit.count())).append(")");
}

std::string read_query(std::string_view bound_statement)
{
    std::string text = "begin read only; ";
    text.append(bound_statement).append("; commit; ");
    return text.append(state_call);
}

std::string write_query(const write_order& order)
{
    std::string text =
        "begin; select first_outcome, outcome from bluebellspoke.write(";
    text.append(std::to_string(order.m_term)).append(", ");
    text.append(quote_literal(order.m_workspace)).append(", ");
    text.append(quote_literal(order.m_request_id)).append(", ");
    text.append(quote_literal(order.m_bound_statement));
    return text.append("); commit; ").append(state_call);
}

std::string begin_query(term_number term)
{
    return "begin; select bluebellspoke.check_term(" + std::to_string(term) +
           ")";
}

std::string commit_query()
{
    return std::string("commit; ").append(state_call);
}

std::string rollback_query()
{
    return "rollback";
}

std::string fence_query(term_number term, std::string_view candidate)
{
    std::string text = "select * from bluebellspoke.fence(";
    text.append(std::to_string(term)).append(", ");
    return text.append(quote_literal(candidate)).append(")");
}

std::string promote_query(term_number term)
{
    return "select * from bluebellspoke.promote(" + std::to_string(term) + ")";
}

std::string follow_query(term_number term, std::string_view primary_address)
{
    std::string text = "select * from bluebellspoke.follow(";
    text.append(std::to_string(term)).append(", ");
    return text.append(quote_literal(primary_address)).append(")");
}

endpoint_state parse_state(const result_table& table, time_point asked_at)
{
    endpoint_state state;
    const std::optional<std::string>& role = cell(table, "role");
    if (!role || (*role != "primary" && *role != "replica"))
        throw endpoint_protocol_error();
    state.m_role =
        *role == "primary" ? endpoint_role::primary : endpoint_role::replica;
    state.m_fence = number(table, "fence");
    state.m_received = {number(table, "received_term"),
                        number(table, "received")};
    state.m_replayed = {number(table, "replayed_term"),
                        number(table, "replayed")};
    if (cell(table, "age_ms"))
        state.m_age = std::chrono::milliseconds(number(table, "age_ms"));
    if (has_column(table, "silent_ms") && cell(table, "silent_ms"))
        state.m_primary_silence =
            std::chrono::milliseconds(number(table, "silent_ms"));
    state.m_asked_at = asked_at;
    return state;
}

bool parse_granted(const result_table& table)
{
    return truth(table, "granted");
}

write_outcome parse_write(const result_table& table)
{
    const std::optional<std::string>& text = cell(table, "outcome");
    if (!text)
        throw endpoint_protocol_error();
    const nlohmann::json json = nlohmann::json::parse(*text, nullptr, false);
    if (!json.is_object())
        throw endpoint_protocol_error();
    write_outcome outcome;
    outcome.m_first_outcome = truth(table, "first_outcome");
    result_table& result = outcome.m_table;
    try
    {
        result.m_affected = json.at("affected").get<std::uint64_t>();
        result.m_columns = json.at("columns").get<std::vector<std::string>>();
        for (const nlohmann::json& row : json.at("rows"))
        {
            auto& cells = result.m_rows.emplace_back();
            for (const nlohmann::json& value : row)
                cells.push_back(value.is_null() ? std::optional<std::string>()
                                                : value.get<std::string>());
        }
    }
    catch (const nlohmann::json::exception&)
    {
        throw endpoint_protocol_error();
    }
    return outcome;
}

}
