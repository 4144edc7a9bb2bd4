#ifndef BLUEBELLSPOKE_STANDIN_SQL_STORE_HPP
#define BLUEBELLSPOKE_STANDIN_SQL_STORE_HPP

#include <cstdint>
#include <exception>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <standin/pg_wire.hpp>

namespace bluebellspoke::standin
{

/// An error that the endpoint answers.
class sql_error : public std::exception
{
public:
    sql_error(std::string sqlstate, std::string message);
    const char* what() const noexcept override;

    std::string m_sqlstate;
    std::string m_message;
};

struct sql_result
{
    std::vector<std::string> m_columns;
    std::vector<sql_row> m_rows;
    std::uint64_t m_affected = 0;
    std::string m_tag;
};

/// One change of the data, as the log holds it.
struct sql_change
{
    enum class kind : std::uint8_t
    {
        insert,
        update,
        remove,
        outcome, ///< A request id's stored outcome.
    };
    kind m_kind = kind::insert;
    std::string m_table;
    std::string m_key;
    std::string m_value;
};

/// One committed transaction, or a new primary's first entry, which is empty.
struct log_entry
{
    std::uint64_t m_term = 0;
    std::vector<sql_change> m_changes;
};

/// Tables of (key, value) rows.
struct sql_data
{
    std::map<std::string, std::multimap<std::string, std::string>> m_tables;
    std::map<std::string, std::string> m_outcomes;
};

void apply(sql_data& data, const sql_change& change);
void apply(sql_data& data, const log_entry& entry);

/// Statements that the stand-in knows, by lower-case words:
///   insert into TABLE [(key, value)] values ('K', 'V')
///   update TABLE set value = 'V' where key = 'K'
///   delete from TABLE where key = 'K'
///   select value from TABLE where key = 'K'
///   select count(*) from TABLE [where key = 'K']
///   select 1
/// Changes are made in `data` and added to `changes`. Throws sql_error.
sql_result run_statement(sql_data& data, std::string_view text,
                         std::vector<sql_change>& changes);

/// Splits a statement or call into words, literals and marks; a literal comes
/// with its quotes taken off and `m_literal` set.
struct sql_token
{
    std::string m_text;
    bool m_literal = false;
};
std::vector<sql_token> tokenize(std::string_view text);

}

#endif
