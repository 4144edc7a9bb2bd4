#include <string>

#include <catch2/catch.hpp>
#include <model/name_check.hpp>

using namespace bluebellspoke;

SCENARIO("Names are single fields of a line")
{
    GIVEN("names in use, and others of printable characters")
    {
        for (const char* name : {"ledger-db", "r/1:a_b.c", "i-7f", "\xc3\xa4",
                                 "\xed\x95\x9c", "\xf0\x9f\x94\x91", "%\"\\"})
            CHECK(is_name(name));
    }
    GIVEN("texts with separators, control characters or no characters")
    {
        using namespace std::string_literals;
        for (const std::string& text :
             {""s, " "s, "a b"s, "a\r\nb"s, "a\n"s, "a\tb"s, "a\0b"s, "\x7f"s,
              "a\xc2\x85"s})
            CHECK_FALSE(is_name(text));
    }
    GIVEN("bytes that aren't UTF-8")
    {
        for (const char* text :
             {"\xff", "\x80", "a\xc3", "\xc0\x8a", "\xe0\x80\x8a",
              "\xed\xa0\x80", "\xf4\x90\x80\x80"})
            CHECK_FALSE(is_name(text));
    }
    GIVEN("a name that is too long")
    {
        CHECK(is_name(std::string(max_name_length, 'x')));
        CHECK_FALSE(is_name(std::string(max_name_length + 1, 'x')));
        CHECK(is_key(std::string(max_name_length + 1, 'x')));
        CHECK_FALSE(is_key(std::string(max_key_length + 1, 'x')));
    }
}
