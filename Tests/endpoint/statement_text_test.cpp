#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <endpoint/statement_text.hpp>
#include <model/refusal.hpp>

using namespace bluebellspoke;

namespace
{

using values = std::vector<sql_value>;

std::string bound(const std::string& text, const values& parameters = {})
{
    return bind_parameters(text, parameters);
}

bool is_refused(const std::string& text, const values& parameters = {})
{
    try
    {
        bound(text, parameters);
    }
    catch (const refusal_error& r)
    {
        REQUIRE(r.m_code == refusal::statement_not_allowed);
        REQUIRE(r.m_outcome == refusal_outcome::not_run);
        return true;
    }
    return false;
}

}

TEST_CASE("Parameters take the place of their numbers")
{
    SECTION("each kind of value has its literal")
    {
        REQUIRE(bound("select $1, $2, $3, $4",
                      {std::monostate(), true, std::int64_t{-3}, "it's"}) ==
                "select null, true, (-3), 'it''s'");
    }
    SECTION("a minus before a negative number begins no comment")
    {
        REQUIRE(bound("select 1 -$1", {std::int64_t{-1}}) == "select 1 -(-1)");
    }
    SECTION("$10 is not $1 and a zero")
    {
        values ten(9, std::int64_t{0});
        ten.emplace_back("last");
        REQUIRE(
            bound("select $1$2$3$4$5$6$7$8$9 $10", ten).ends_with("'last'"));
    }
    SECTION("missing and unused ones are refused")
    {
        REQUIRE(is_refused("select $1"));
        REQUIRE(is_refused("select $0", {true}));
        REQUIRE(is_refused("select 1", {true}));
        REQUIRE(is_refused("select $99999999999999999999", {true}));
    }
    SECTION("a value can't leave its quotes")
    {
        REQUIRE(bound("select $1", {"'; drop table bears; --"}) ==
                "select '''; drop table bears; --'");
        REQUIRE(bound("select $1", {"\\'; drop"}) == "select  E'\\\\''; drop'");
        REQUIRE(is_refused("select $1", {std::string("a\0b", 3)}));
    }
    SECTION("a value that looks like a parameter stays a value")
    {
        REQUIRE(bound("select $1, $2", {"$2", "$1"}) == "select '$2', '$1'");
    }
}

TEST_CASE("Quotes and comments are not looked into")
{
    REQUIRE(bound("select '$1; commit'") == "select '$1; commit'");
    REQUIRE(bound("select \"a;$1\"") == "select \"a;$1\"");
    REQUIRE(bound("select E'\\';$1'") == "select E'\\';$1'");
    REQUIRE(bound("select $$ a; $1 $$") == "select $$ a; $1 $$");
    REQUIRE(bound("select $q$ $$; $1 $q$") == "select $q$ $$; $1 $q$");
    REQUIRE(bound("select 1 -- ; drop $1") == "select 1  ");
    REQUIRE(bound("select /* ; /* $1 */ ; */ 1") == "select   1");
    for (const char* open :
         {"select '", "select \"a", "select E'\\'", "select $$ a",
          "select $q$ $$", "select /* a /* b */"})
        REQUIRE(is_refused(open));
}

TEST_CASE("A statement stays one statement and ends no transaction")
{
    SECTION("one at a time")
    {
        REQUIRE(bound("select 1;") == "select 1");
        REQUIRE(bound("select 1; -- done") == "select 1  ");
        REQUIRE(is_refused("select 1; select 2"));
        REQUIRE(is_refused("select 1;; commit"));
        REQUIRE(is_refused("select 1 /* */; /* */ drop table bears"));
    }
    SECTION("no control of transactions or of the connection")
    {
        for (const char* control :
             {"commit", "COMMIT", " /* */ rollback", "-- x\nbegin", "(begin)",
              "set role x", "; commit", "start transaction", "abort", "end",
              "listen a", "prepare transaction 'x'", "savepoint a",
              "discard all", "copy bears to stdout", "lock bears"})
            REQUIRE(is_refused(control));
        REQUIRE(is_refused(""));
        REQUIRE(is_refused(" -- nothing"));
        REQUIRE(is_refused(std::string("select 1\0", 9)));
    }
    SECTION("words that only begin alike are taken")
    {
        REQUIRE(bound("select committed from setters") ==
                "select committed from setters");
    }
}
