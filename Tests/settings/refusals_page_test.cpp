#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <model/refusal.hpp>

using namespace bluebellspoke;

namespace
{

// Returns the name and status columns of the page's table of refusals, in
// order.
std::vector<std::string> rows_of_page()
{
    std::ifstream page(TEST_DOCS "/OPERATIONS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);)
    {
        if (!line.starts_with("| `"))
            continue;
        const std::size_t name_end = line.find(" | ");
        rows.push_back(line.substr(0, line.find(" | ", name_end + 1)));
    }
    return rows;
}

}

TEST_CASE("The operators' page lists exactly the refusals of the catalogue")
{
    std::vector<std::string> expected;
    for (const refusal_entry& entry : refusal_catalogue())
        expected.push_back("| `" + std::string(entry.m_name) + "` | " +
                           std::to_string(entry.m_status));
    REQUIRE(rows_of_page() == expected);
}
