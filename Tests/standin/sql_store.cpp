#include <standin/sql_store.hpp>

#include <cctype>
#include <utility>

namespace bluebellspoke::standin
{

namespace
{

using tokens = std::vector<sql_token>;

bool is_word(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           c == '.';
}

std::size_t read_literal(std::string_view text, std::size_t at, bool escapes,
                         std::string& out)
{
    for (++at; at < text.size(); ++at)
    {
        const bool more = at + 1 < text.size();
        const bool escaped = text[at] == '\\' && escapes && more;
        const bool doubled = text[at] == '\'' && more && text[at + 1] == '\'';
        if (text[at] == '\'' && !doubled)
            return at + 1;
        if (escaped || doubled)
            ++at;
        out.push_back(text[at]);
    }
    throw sql_error("42601", "unterminated literal");
}

std::string lower(std::string_view text)
{
    std::string out;
    for (const char c : text)
        out.push_back(
            static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    return out;
}

bool matches(const tokens& t, std::initializer_list<std::string_view> pattern)
{
    if (t.size() != pattern.size())
        return false;
    std::size_t i = 0;
    for (const std::string_view want : pattern)
    {
        const sql_token& have = t[i++];
        const bool fits = want == "*?" ? !have.m_literal
                          : want == "'?"
                              ? have.m_literal
                              : !have.m_literal && have.m_text == want;
        if (!fits)
            return false;
    }
    return true;
}

sql_result changed(std::uint64_t rows, const char* verb)
{
    sql_result result;
    result.m_affected = rows;
    result.m_tag = verb + std::to_string(rows);
    return result;
}

sql_result run_change(sql_data& data, sql_change change,
                      std::vector<sql_change>& changes, const char* verb)
{
    const auto table = data.m_tables.find(change.m_table);
    const std::uint64_t rows = change.m_kind == sql_change::kind::insert ? 1
                               : table == data.m_tables.end()
                                   ? 0
                                   : table->second.count(change.m_key);
    apply(data, change);
    changes.push_back(std::move(change));
    return changed(rows, verb);
}

sql_result selected(std::string column, std::vector<sql_row> rows)
{
    sql_result result;
    result.m_columns.push_back(std::move(column));
    result.m_affected = rows.size();
    result.m_tag = "SELECT " + std::to_string(rows.size());
    result.m_rows = std::move(rows);
    return result;
}

sql_result select_values(const sql_data& data, const std::string& table,
                         const std::string& key)
{
    std::vector<sql_row> rows;
    const auto found = data.m_tables.find(table);
    if (found != data.m_tables.end())
    {
        const auto [first, last] = found->second.equal_range(key);
        for (auto row = first; row != last; ++row)
            rows.push_back({row->second});
    }
    return selected("value", std::move(rows));
}

sql_result select_count(const sql_data& data, const std::string& table,
                        const std::string* key)
{
    const auto found = data.m_tables.find(table);
    std::size_t count = 0;
    if (found != data.m_tables.end())
        count =
            key != nullptr ? found->second.count(*key) : found->second.size();
    return selected("count", {{std::to_string(count)}});
}

}

sql_error::sql_error(std::string sqlstate, std::string message)
    : m_sqlstate(std::move(sqlstate)), m_message(std::move(message))
{
}

const char* sql_error::what() const noexcept
{
    return m_message.c_str();
}

void apply(sql_data& data, const sql_change& change)
{
    if (change.m_kind == sql_change::kind::outcome)
    {
        data.m_outcomes[change.m_key] = change.m_value;
        return;
    }
    auto& table = data.m_tables[change.m_table];
    switch (change.m_kind)
    {
    case sql_change::kind::insert:
        table.emplace(change.m_key, change.m_value);
        break;
    case sql_change::kind::update:
    {
        const auto [first, last] = table.equal_range(change.m_key);
        for (auto row = first; row != last; ++row)
            row->second = change.m_value;
        break;
    }
    case sql_change::kind::remove:
        table.erase(change.m_key);
        break;
    case sql_change::kind::outcome:
        break;
    }
}

void apply(sql_data& data, const log_entry& entry)
{
    for (const sql_change& change : entry.m_changes)
        apply(data, change);
}

std::vector<sql_token> tokenize(std::string_view text)
{
    tokens out;
    for (std::size_t at = 0; at < text.size();)
    {
        const char c = text[at];
        const bool escapes = (c == 'E' || c == 'e') && at + 1 < text.size() &&
                             text[at + 1] == '\'';
        if (std::isspace(static_cast<unsigned char>(c)) != 0)
            ++at;
        else if (c == '\'' || escapes)
        {
            sql_token literal{"", true};
            at = read_literal(text, escapes ? at + 1 : at, escapes,
                              literal.m_text);
            out.push_back(std::move(literal));
        }
        else if (is_word(c))
        {
            const std::size_t start = at;
            while (at < text.size() && is_word(text[at]))
                ++at;
            out.push_back({lower(text.substr(start, at - start)), false});
        }
        else
        {
            out.push_back({std::string(1, c), false});
            ++at;
        }
    }
    return out;
}

sql_result run_statement(sql_data& data, std::string_view text,
                         std::vector<sql_change>& changes)
{
    using kind = sql_change::kind;
    const tokens t = tokenize(text);
    if (matches(t, {"select", "1"}))
        return selected("?column?", {{"1"}});
    if (matches(t,
                {"insert", "into", "*?", "values", "(", "'?", ",", "'?", ")"}))
        return run_change(data,
                          {kind::insert, t[2].m_text, t[5].m_text, t[7].m_text},
                          changes, "INSERT 0 ");
    if (matches(t, {"insert", "into", "*?", "(", "key", ",", "value", ")",
                    "values", "(", "'?", ",", "'?", ")"}))
        return run_change(
            data, {kind::insert, t[2].m_text, t[10].m_text, t[12].m_text},
            changes, "INSERT 0 ");
    if (matches(t, {"update", "*?", "set", "value", "=", "'?", "where", "key",
                    "=", "'?"}))
        return run_change(data,
                          {kind::update, t[1].m_text, t[9].m_text, t[5].m_text},
                          changes, "UPDATE ");
    if (matches(t, {"delete", "from", "*?", "where", "key", "=", "'?"}))
        return run_change(data, {kind::remove, t[2].m_text, t[6].m_text, ""},
                          changes, "DELETE ");
    if (matches(t,
                {"select", "value", "from", "*?", "where", "key", "=", "'?"}))
        return select_values(data, t[3].m_text, t[7].m_text);
    if (matches(t, {"select", "count", "(", "*", ")", "from", "*?"}))
        return select_count(data, t[6].m_text, nullptr);
    if (matches(t, {"select", "count", "(", "*", ")", "from", "*?", "where",
                    "key", "=", "'?"}))
        return select_count(data, t[6].m_text, &t[10].m_text);
    throw sql_error("42601", "the stand-in doesn't know this statement");
}

}
