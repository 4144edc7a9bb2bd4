#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>
#include <model/name_check.hpp>
#include <platform/json_text.hpp>
#include <platform/line_codec.hpp>
#include <platform/store_value_codec.hpp>

using namespace bluebellspoke;

// The seed is that of the test run (--rng-seed); CAPTURE prints it on failure.
namespace
{

constexpr int rounds = 3000;

std::mt19937_64 make_generator()
{
    return std::mt19937_64(Catch::rngSeed());
}

std::vector<std::string> valid_entries()
{
    return {
        R"({"version":7,"routes":[{"name":"r","host":"ledger","type":"primary",
          "timeout-ms":3000,"service":"s","allowed-regions":["a"]}],
          "services":[{"name":"s","max-connections":3,"sync-replicas":1}],
          "limits":{"tx-idle-ms":3000},"tenants":[{"name":"ward",
          "api-keys":["k"],"rate-per-s":117,"burst":58.5}]})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
          "born":1700,"capacity":5,"db-role":"primary"})",
        R"({"holder":"vm-1","incarnation":1,"token":3,"renewals":9,
          "places":{"s":3},"ordered":{"s":{"endpoint":"i-1","term":4}},
          "report":{"window":3,"counts":{"ward":4},"accepted":true}})",
        R"({"peer":"10.0.0.1:1","place":"z","cores":2.5,
          "sessions":"10.0.0.1:2"})"};
}

// Replaces, inserts and removes pieces of a valid entry.
std::string mutate(std::string text, std::mt19937_64& random)
{
    constexpr std::string_view pieces[] = {
        "-1",  "1e300", "null",    "[",
        "}",   "\"",    "\\u0000", "\\r\\n",
        " ",   "\xff",  "true",    "{",
        "\\n", ",",     "0.5",     "99999999999999999999"};
    for (auto changes = 1 + random() % 3; changes > 0; --changes)
    {
        const std::size_t from = random() % text.size();
        const std::size_t length = random() % 4;
        text.replace(from, length, pieces[random() % std::size(pieces)]);
    }
    return text;
}

void check_config(const site_config_ptr& c)
{
    if (!c)
        return;
    for (const auto& [database, r] : c->m_routes)
    {
        REQUIRE(is_name(database));
        REQUIRE(is_name(r.m_service));
        REQUIRE(r.m_statement_timeout >= duration());
    }
    for (const auto& [name, s] : c->m_services)
        REQUIRE(is_name(name));
    for (const auto& [key, name] : c->m_keys)
    {
        REQUIRE(is_key(key));
        REQUIRE(is_name(name));
    }
    for (const auto& [name, w] : c->m_workspaces)
        REQUIRE(w.m_rate >= 0);
}

void check_entry(const site_codec& codec, std::string_view text)
{
    check_config(codec.m_read_config(text));
    if (const auto e = codec.m_read_endpoint("i-1", text))
        REQUIRE((is_name(e->m_service) && is_name(e->m_zone) &&
                 e->m_address.m_port != 0));
    // What was read can be written again, as a new holder does.
    if (const auto d = codec.m_read_duty(text))
        REQUIRE(codec.m_read_duty(codec.m_write_duty(*d)));
    if (const auto m = codec.m_read_member("vm-1", text))
        REQUIRE(codec.m_read_member("vm-1", codec.m_write_member(*m)) == m);
}

}

SCENARIO("Entries of the store that are changed at random fit or are refused")
{
    CAPTURE(Catch::rngSeed());
    std::mt19937_64 random = make_generator();

    for (const std::string& valid : valid_entries())
        for (int i = 0; i < rounds; ++i)
        {
            const std::string text = mutate(valid, random);
            CAPTURE(text);
            check_entry(store_value_codec(), text);
            member_text(text, "routes");
            element_texts(text);
        }
}

SCENARIO("A line of random fields stays one line, or is refused")
{
    CAPTURE(Catch::rngSeed());
    std::mt19937_64 random = make_generator();
    const session_codec& codec = line_codec();
    constexpr std::string_view bytes = "aB1-. \r\n\t\xff";
    const auto any = [&]
    {
        std::string text;
        for (auto length = random() % 6; length > 0; --length)
            text.push_back(bytes[random() % bytes.size()]);
        return text;
    };
    const auto check = [](const auto& write)
    {
        std::string out = "earlier\r\n";
        try
        {
            write(out);
            REQUIRE(out.find_first_of("\r\n", 9) == out.size() - 2);
        }
        catch (const line_field_error&)
        {
            REQUIRE(out == "earlier\r\n");
        }
    };

    for (int i = 0; i < rounds; ++i)
    {
        const std::string a = any();
        const std::string b = any();
        const std::string c = any();
        CAPTURE(a, b, c);
        check(
            [&](std::string& out)
            {
                codec.m_write_startup(out, a, b, c);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_query(out, a, std::nullopt, b);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_execute(out, a, log_position{}, b, c);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_set(out, a, b);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_prepare(out, a, true, b);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_session(out, a, b);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_resume(out, a, b, std::nullopt, 1);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_deallocate(out, a);
            });
        check(
            [&](std::string& out)
            {
                codec.m_write_error(out, session_fault::busy, a);
            });
    }
}

// A caller must not be able to make a writer fail: what a reader accepts is
// written later, where nobody expects an error.
SCENARIO("What was read from a caller can be written")
{
    CAPTURE(Catch::rngSeed());
    std::mt19937_64 random = make_generator();
    const session_codec& codec = line_codec();
    constexpr std::string_view words[] = {
        "STARTUP", "QUERY", "-",  "PREPARE", "EXECUTE", "SET",       "READ",
        "WRITE",   "a",     "\r", "b\nc",    "",        "DEALLOCATE"};

    for (int i = 0; i < rounds * 3; ++i)
    {
        std::string line = words[random() % 2].data();
        for (auto w = random() % 6; w > 0; --w)
            line.append(" ").append(words[random() % std::size(words)]);
        CAPTURE(line);
        const caller_message m = codec.m_read_caller(line);
        const session_statement& s = m.m_statement;
        std::string out;
        if (m.m_kind == caller_message_kind::startup)
            REQUIRE_NOTHROW(codec.m_write_session(out, m.m_database, m.m_key));
        if (m.m_kind != caller_message_kind::query ||
            s.m_kind == statement_kind::unknown)
            continue;
        REQUIRE_NOTHROW(
            codec.m_write_query(out, m.m_id, std::nullopt, s.m_text));
        if (s.m_kind == statement_kind::set)
            REQUIRE_NOTHROW(codec.m_write_set(out, s.m_name, s.m_value));
        if (s.m_kind == statement_kind::prepare_write)
            REQUIRE_NOTHROW(codec.m_write_prepare(
                out, "w_" + std::string(s.m_value), true, s.m_value));
        if (s.m_kind == statement_kind::execute)
            REQUIRE_NOTHROW(codec.m_write_execute(out, m.m_id, std::nullopt,
                                                  s.m_name, s.m_arguments));
    }
}
