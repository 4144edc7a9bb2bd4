#include <string>

#include <catch2/catch.hpp>
#include <peer/text_delta.hpp>

using namespace bluebellspoke;

namespace
{

std::string list_of(std::size_t objects)
{
    std::string text = "[";
    for (std::size_t i = 0; i < objects; ++i)
        text += R"({"name":"route )" + std::to_string(i) + R"("},)";
    return text + "]";
}

std::size_t new_bytes(const text_delta& delta)
{
    std::size_t bytes = 0;
    for (const text_edit& e : delta.m_edits)
        bytes += e.m_text.size();
    return bytes;
}

}

SCENARIO("A text is sent as a difference")
{
    const std::string base = list_of(500);

    GIVEN("a text in which objects were changed, added and removed")
    {
        std::string text = base;
        text.replace(text.find("route 20\""), 8, "moved 20");
        text.insert(text.find(R"({"name":"route 300)"), R"({"name":"added"},)");
        text.erase(text.find(R"({"name":"route 400)"),
                   std::string_view(R"({"name":"route 400"},)").size());

        WHEN("the difference is applied")
        {
            const auto delta = make_text_delta(base, text);
            REQUIRE(delta);

            THEN("the text results, and little of it was sent")
            {
                CHECK(apply_text_delta(base, *delta) == text);
                CHECK(new_bytes(*delta) < 100);
            }
            THEN("it can't be applied to another base")
            {
                CHECK_FALSE(apply_text_delta(text, *delta));
            }
        }
    }
    GIVEN("a text that has little in common with the base")
    {
        THEN("there is no difference worth sending")
        {
            CHECK_FALSE(make_text_delta(base, std::string(5000, 'x')));
            CHECK_FALSE(make_text_delta({}, base));
        }
    }
    GIVEN("a difference that a faulty peer sent")
    {
        text_delta delta = make_text_delta(base, base).value();

        THEN("an edit outside of the base is refused")
        {
            delta.m_edits = {{base.size(), 1, {}}};
            CHECK_FALSE(apply_text_delta(base, delta));
            delta.m_edits = {{1, ~std::uint64_t{0}, {}}};
            CHECK_FALSE(apply_text_delta(base, delta));
        }
        THEN("so is one whose result doesn't end")
        {
            delta.m_edits.assign(10'000, {0, base.size(), {}});
            CHECK_FALSE(apply_text_delta(base, delta));
        }
    }
}
