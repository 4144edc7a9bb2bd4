#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <daemon/daemon_settings.hpp>
#include <report/event.hpp>
#include <report/metric.hpp>

using namespace bluebellspoke;

namespace
{

// The rows of a page's first table.
std::vector<std::string> rows_of(const std::string& page)
{
    std::ifstream in(TEST_DOCS "/" + page);
    REQUIRE(in);
    std::string line;
    while (std::getline(in, line) && !line.starts_with("|---"))
    {
    }
    std::vector<std::string> rows;
    while (std::getline(in, line) && line.starts_with("|"))
        rows.push_back(line);
    return rows;
}

std::string row(const std::vector<std::string>& cells)
{
    std::string text = "|";
    for (const std::string& cell : cells)
        text.append(cell.empty() ? " |" : " " + cell + " |");
    return text;
}

std::string code(std::string_view text)
{
    return text.empty() ? std::string() : "`" + std::string(text) + "`";
}

std::string_view level_name(event_level level)
{
    switch (level)
    {
    case event_level::warning:
        return "warning";
    case event_level::error:
        return "error";
    case event_level::detail:
        return "detail";
    case event_level::info:
        break;
    }
    return "info";
}

std::vector<std::string> event_rows()
{
    std::vector<std::string> rows;
    for (const event_entry& e : event_catalogue())
        rows.push_back(row({std::to_string(static_cast<unsigned>(e.m_id)),
                            code(e.m_name), std::string(level_name(e.m_level)),
                            std::string(e.m_meaning)}));
    return rows;
}

std::vector<std::string> metric_rows()
{
    std::vector<std::string> rows;
    for (const metric_entry& m : metric_catalogue())
        rows.push_back(row({code(m.m_name), std::string(to_string(m.m_type)),
                            code(m.m_labels), std::string(m.m_meaning)}));
    return rows;
}

std::string range_of(const option_spec& o)
{
    switch (o.m_type)
    {
    case option_type::count:
        return std::to_string(o.m_least) + " to " + std::to_string(o.m_most);
    case option_type::address:
    case option_type::optional_address:
        return "IP:port";
    case option_type::file:
        return "an existing file";
    case option_type::folder:
        return "an existing folder";
    case option_type::flag:
        return "given or not";
    case option_type::text:
        break;
    }
    return "text";
}

bool is_optional(const option_spec& o)
{
    return o.m_type == option_type::flag || o.m_type == option_type::file ||
           o.m_type == option_type::optional_address;
}

// The charts' default is a path of the build and differs between machines.
std::string default_of(const option_spec& o)
{
    if (o.m_type == option_type::folder)
        return "the installed one";
    if (o.m_default.empty())
        return is_optional(o) ? "" : "must be given";
    return code(o.m_default);
}

std::vector<std::string> option_rows()
{
    std::vector<std::string> rows;
    for (const option_spec& o : daemon_options())
        rows.push_back(row({code("--" + std::string(o.m_name)),
                            code(variable_name(o.m_name)), range_of(o),
                            std::string(o.m_unit), default_of(o),
                            std::string(o.m_meaning)}));
    return rows;
}

void check_page(const std::string& page, const std::vector<std::string>& wanted)
{
    const std::vector<std::string> found = rows_of(page);
    for (const std::string& line : wanted)
    {
        INFO("docs/" << page << " lacks this row; add it:\n" << line);
        CHECK(std::find(found.begin(), found.end(), line) != found.end());
    }
    for (const std::string& line : found)
    {
        INFO("docs/" << page << " has a row that the code hasn't:\n" << line);
        CHECK(std::find(wanted.begin(), wanted.end(), line) != wanted.end());
    }
}

}

TEST_CASE("The pages agree with the catalogues in the code")
{
    SECTION("events have numbers and names of their own")
    {
        std::set<event_id> numbers;
        std::set<std::string_view> names;
        for (const event_entry& e : event_catalogue())
        {
            INFO(e.m_name);
            CHECK(numbers.insert(e.m_id).second);
            CHECK(names.insert(e.m_name).second);
        }
        SECTION("and stand on their page")
        {
            check_page("EVENTS.md", event_rows());
        }
    }
    SECTION("metrics stand in the order of their numbers")
    {
        std::size_t index = 0;
        for (const metric_entry& m : metric_catalogue())
            CHECK(static_cast<std::size_t>(m.m_id) == index++);
        SECTION("and on their page")
        {
            check_page("METRICS.md", metric_rows());
        }
    }
    SECTION("the daemon's settings stand on their page")
    {
        check_page("bluebellspoked.md", option_rows());
    }
}
