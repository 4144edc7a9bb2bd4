#include <array>
#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <decide/session_token.hpp>

using namespace bluebellspoke;

TEST_CASE("A session token is valid only for what it was made for")
{
    const std::array<std::string, 2> secrets{"new secret", "old secret"};
    const log_position position{7, 1234};
    const std::string token =
        make_session_token({"haneul/ward", "teddy", position}, secrets[0]);

    SECTION("its own workspace and group get the position back")
    {
        REQUIRE(verify_session_token(token, "haneul/ward", "teddy", secrets) ==
                position);
    }
    SECTION("a token made with an older secret of the fleet is valid")
    {
        const std::string old =
            make_session_token({"haneul/ward", "teddy", position}, secrets[1]);
        REQUIRE(verify_session_token(old, "haneul/ward", "teddy", secrets) ==
                position);
    }
    SECTION("it is invalid for another workspace, group or fleet")
    {
        REQUIRE_FALSE(
            verify_session_token(token, "haneul/war", "dteddy", secrets));
        REQUIRE_FALSE(verify_session_token(token, "depot", "teddy", secrets));
        REQUIRE_FALSE(
            verify_session_token(token, "haneul/ward", "other", secrets));
        const std::array<std::string, 1> foreign{"their secret"};
        REQUIRE_FALSE(
            verify_session_token(token, "haneul/ward", "teddy", foreign));
        REQUIRE_FALSE(verify_session_token(token, "haneul/ward", "teddy", {}));
    }
    SECTION("it is invalid if any character is altered")
    {
        for (std::size_t i = 0; i < token.size(); ++i)
        {
            std::string altered = token;
            altered[i] = altered[i] == '0' ? '1' : '0';
            REQUIRE_FALSE(
                verify_session_token(altered, "haneul/ward", "teddy", secrets));
        }
    }
    SECTION("texts of another length and random texts are invalid")
    {
        REQUIRE_FALSE(
            verify_session_token("", "haneul/ward", "teddy", secrets));
        REQUIRE_FALSE(
            verify_session_token(token + "0", "haneul/ward", "teddy", secrets));
        std::mt19937 random(1);
        for (int i = 0; i < 1000; ++i)
        {
            std::string text(token.size(), '\0');
            for (char& c : text)
                c = static_cast<char>(random());
            REQUIRE_FALSE(
                verify_session_token(text, "haneul/ward", "teddy", secrets));
        }
    }
}
