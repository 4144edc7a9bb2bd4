#include <endpoint/statement_text.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <model/refusal.hpp>

namespace bluebellspoke
{

namespace
{

[[noreturn]] void refuse(const char* why)
{
    throw refusal_error(refusal::statement_not_allowed,
                        refusal_outcome::not_run, why);
}

struct scanner
{
    std::string_view m_text;
    std::size_t m_at = 0;

    bool done() const
    {
        return m_at >= m_text.size();
    }
    std::string_view rest() const
    {
        return m_text.substr(m_at);
    }
};

bool is_word(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           static_cast<unsigned char>(c) >= 0x80;
}

bool is_blank(char c)
{
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

std::size_t quoted_length(std::string_view rest)
{
    const char quote = rest.front();
    const std::size_t end = rest.find(quote, 1);
    if (end == std::string_view::npos)
        refuse("unterminated quote");
    return end + 1;
}

// E'...' reads backslashes; its closing quote is the first one not escaped.
std::size_t escape_string_length(std::string_view rest)
{
    for (std::size_t i = 2; i < rest.size(); ++i)
    {
        if (rest[i] == '\\')
            ++i;
        else if (rest[i] == '\'')
            return i + 1;
    }
    refuse("unterminated quote");
}

std::size_t block_comment_length(std::string_view rest)
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i + 1 < rest.size(); ++i)
    {
        const std::string_view pair = rest.substr(i, 2);
        if (pair == "/*")
        {
            ++depth;
            ++i;
        }
        else if (pair == "*/")
        {
            ++i;
            if (--depth == 0)
                return i + 1;
        }
    }
    refuse("unterminated comment");
}

/// The length of $tag$...$tag$ at the start, or 0 when there is none.
std::size_t dollar_quote_length(std::string_view rest)
{
    std::size_t end = 1;
    while (end < rest.size() && is_word(rest[end]))
        ++end;
    const bool opens = end < rest.size() && rest[end] == '$' &&
                       !(end > 1 && is_digit(rest[1]));
    if (!opens)
        return 0;
    const std::string_view tag = rest.substr(0, end + 1);
    const std::size_t close = rest.find(tag, tag.size());
    if (close == std::string_view::npos)
        refuse("unterminated quote");
    return close + tag.size();
}

bool may_begin_opaque(char c)
{
    switch (c)
    {
    case '\'':
    case '"':
    case 'e':
    case 'E':
    case '-':
    case '/':
    case '$':
        return true;
    default:
        return false;
    }
}

/// The length of a quote or comment at the start, or 0 when there is none.
std::size_t opaque_length(const scanner& s)
{
    const std::string_view rest = s.rest();
    const char c = rest.front();
    // Most characters begin nothing; they need no look at the one before.
    if (!may_begin_opaque(c))
        return 0;
    const bool in_word = s.m_at > 0 && is_word(s.m_text[s.m_at - 1]);
    if (c == '\'' || c == '"')
        return quoted_length(rest);
    if ((c == 'e' || c == 'E') && !in_word && rest.size() > 1 &&
        rest[1] == '\'')
        return escape_string_length(rest);
    if (rest.starts_with("--"))
        return std::min(rest.find('\n'), rest.size());
    if (rest.starts_with("/*"))
        return block_comment_length(rest);
    if (c == '$' && !in_word)
        return dollar_quote_length(rest);
    return 0;
}

std::string value_text(const sql_value& value)
{
    struct writer
    {
        std::string operator()(std::monostate) const
        {
            return "null";
        }
        std::string operator()(bool b) const
        {
            return b ? "true" : "false";
        }
        // In brackets: "-1" after a minus sign would begin a comment.
        std::string operator()(std::int64_t i) const
        {
            std::string out(1, '(');
            return out.append(std::to_string(i)).append(1, ')');
        }
        std::string operator()(double d) const
        {
            std::array<char, 64> digits{};
            const auto end =
                std::to_chars(digits.data(), digits.data() + digits.size(), d);
            std::string out(1, '(');
            return out.append(digits.data(), end.ptr).append(1, ')');
        }
        std::string operator()(const std::string& s) const
        {
            return quote_literal(s);
        }
    };
    return std::visit(writer(), value);
}

void append_parameter(scanner& s, std::string& out,
                      std::span<const sql_value> parameters,
                      std::size_t& highest)
{
    std::size_t number = 0;
    const std::string_view rest = s.rest().substr(1);
    const auto [end, error] =
        std::from_chars(rest.data(), rest.data() + rest.size(), number);
    if (error != std::errc() || number == 0 || number > parameters.size())
        refuse("a parameter is missing");
    highest = std::max(highest, number);
    out.append(value_text(parameters[number - 1]));
    s.m_at += 1 + static_cast<std::size_t>(end - rest.data());
}

std::string first_word(std::string_view text)
{
    std::string word;
    scanner s{text};
    while (!s.done())
    {
        const char c = s.rest().front();
        if (const std::size_t skip = opaque_length(s); skip > 0)
            s.m_at += skip;
        else if (is_word(c))
            break;
        else
            ++s.m_at;
    }
    while (!s.done() && is_word(s.rest().front()))
        word.push_back(static_cast<char>(
            std::tolower(static_cast<unsigned char>(s.m_text[s.m_at++]))));
    return word;
}

// Statements that would outlive their turn on a shared connection or end the
// transaction around them.
void refuse_session_control(std::string_view text)
{
    constexpr std::array<std::string_view, 19> refused_words{
        "begin",   "start",      "commit",  "end",      "rollback",
        "abort",   "savepoint",  "release", "prepare",  "set",
        "reset",   "discard",    "listen",  "unlisten", "notify",
        "declare", "deallocate", "copy",    "lock"};
    const std::string word = first_word(text);
    if (word.empty())
        refuse("no statement");
    if (std::find(refused_words.begin(), refused_words.end(), word) !=
        refused_words.end())
        refuse("session and transaction control is not allowed");
}

}

std::string quote_literal(std::string_view text)
{
    const bool escaped = text.find('\\') != std::string_view::npos;
    std::string out = escaped ? " E'" : "'";
    for (const char c : text)
    {
        if (c == '\0')
            refuse("a parameter holds a null character");
        if (c == '\'' || c == '\\')
            out.push_back(c);
        out.push_back(c);
    }
    out.push_back('\'');
    return out;
}

std::string bind_parameters(std::string_view text,
                            std::span<const sql_value> parameters)
{
    if (text.find('\0') != std::string_view::npos)
        refuse("the statement holds a null character");
    refuse_session_control(text);
    std::string out;
    out.reserve(text.size());
    std::size_t highest = 0;
    bool ended = false;
    scanner s{text};
    while (!s.done())
    {
        const std::string_view rest = s.rest();
        const char c = rest.front();
        const std::size_t opaque = opaque_length(s);
        const bool comment =
            opaque > 0 && (rest.starts_with("--") || rest.starts_with("/*"));
        if (ended && !comment && !is_blank(c))
            refuse("one statement at a time");
        if (comment)
        {
            // Dropped, so that one at the end can't swallow what follows.
            out.push_back(' ');
            s.m_at += opaque;
        }
        else if (opaque > 0)
        {
            out.append(rest.substr(0, opaque));
            s.m_at += opaque;
        }
        else if (c == '$' && rest.size() > 1 && is_digit(rest[1]))
            append_parameter(s, out, parameters, highest);
        else
        {
            ended = ended || c == ';';
            if (c != ';')
                out.push_back(c);
            ++s.m_at;
        }
    }
    if (highest != parameters.size())
        refuse("a parameter is not used");
    return out;
}

}
