#include <string>

#include <catch2/catch.hpp>
#include <platform/json_text.hpp>

using namespace bluebellspoke;

SCENARIO("Parts of a JSON document are found without reading their values")
{
    GIVEN("an object")
    {
        constexpr std::string_view object =
            R"( {"a" : 1e999, "b\"}": "x", "c": {"a": [2, "]}"]}, "d":true} )";

        THEN("its members' texts are found by name")
        {
            CHECK(member_text(object, "a") == "1e999");
            CHECK(member_text(object, "c") == R"({"a": [2, "]}"]})");
            CHECK(member_text(object, "d") == "true");
        }
        THEN("a member that it doesn't have isn't found")
        {
            CHECK_FALSE(member_text(object, "e"));
            CHECK_FALSE(member_text("{}", "a"));
        }
    }
    GIVEN("an array")
    {
        const auto elements = element_texts(R"([1, "a,]", [2, 3], {"x": 4}])");
        REQUIRE(elements);

        THEN("each element has its text")
        {
            REQUIRE(elements->size() == 4);
            CHECK((*elements)[0] == "1");
            CHECK((*elements)[1] == R"("a,]")");
            CHECK((*elements)[2] == "[2, 3]");
            CHECK((*elements)[3] == R"({"x": 4})");
        }
        THEN("an empty one has none")
        {
            REQUIRE(element_texts("[ ]"));
            CHECK(element_texts("[ ]")->empty());
        }
    }
    GIVEN("text that is cut off, or is something else")
    {
        for (const char* text : {"", "[", "[1", "[1,", "{", R"({"a)", R"({"a\)",
                                 R"({"a":)", R"({"b":[)", "7"})
        {
            INFO(text);
            CHECK_FALSE(element_texts(text));
            CHECK_FALSE(member_text(text, "c"));
        }
    }
    GIVEN("a value that is nested a million times")
    {
        constexpr std::size_t depth = 1'000'000;
        const std::string deep =
            std::string(depth, '[') + std::string(depth, ']');
        const std::string object = R"({"deep":)" + deep + R"(,"after":1})";
        CHECK(member_text(object, "deep") == deep);
        CHECK(member_text(object, "after") == "1");
    }
}
