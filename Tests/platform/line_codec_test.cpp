#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <platform/line_codec.hpp>

using namespace bluebellspoke;

SCENARIO("Lines from callers are decoded")
{
    const session_codec& codec = line_codec();

    GIVEN("a startup line")
    {
        const caller_message m = codec.m_read_caller("STARTUP lepu270 u3f1");
        REQUIRE(m.m_kind == caller_message_kind::startup);
        REQUIRE(m.m_database == "lepu270");
        REQUIRE(m.m_key == "u3f1");

        THEN("the key may be absent, for public routes")
        {
            REQUIRE(codec.m_read_caller("STARTUP lepu270 -").m_key.empty());
            REQUIRE(codec.m_read_caller("STARTUP lepu270").m_kind ==
                    caller_message_kind::startup);
        }
    }
    GIVEN("statements")
    {
        const auto read = [&](std::string_view text)
        {
            return codec.m_read_caller("QUERY 5c0e " + std::string(text))
                .m_statement.m_kind;
        };
        REQUIRE(read("BEGIN") == statement_kind::begin);
        REQUIRE(read("BEGIN READ") == statement_kind::begin_read);
        REQUIRE(read("COMMIT") == statement_kind::commit);
        REQUIRE(read("ROLLBACK") == statement_kind::rollback);
        REQUIRE(read("READ 1a4") == statement_kind::read);
        REQUIRE(read("WRITE 1a4 data with blanks") == statement_kind::write);
        REQUIRE(read("SET a b") == statement_kind::set);
        REQUIRE(read("PREPARE s1 WRITE q2c") == statement_kind::prepare_write);
        REQUIRE(read("EXECUTE s1 1a4") == statement_kind::execute);
        REQUIRE(read("DEALLOCATE s1") == statement_kind::deallocate);

        THEN("invalid statements are marked unknown")
        {
            REQUIRE(read("") == statement_kind::unknown);
            REQUIRE(read("READ") == statement_kind::unknown);
            REQUIRE(read("BEGIN WRITE") == statement_kind::unknown);
            REQUIRE(read("PREPARE s1 DROP q") == statement_kind::unknown);
            REQUIRE(read("AFTER 1.2 READ a") == statement_kind::unknown);
        }
    }
    GIVEN("the id that is reserved for the proxy")
    {
        REQUIRE(codec.m_read_caller("QUERY - READ 1a4").m_kind ==
                caller_message_kind::malformed);
    }
}

SCENARIO("Lines from endpoints are decoded")
{
    const session_codec& codec = line_codec();

    GIVEN("replies")
    {
        const endpoint_reply ready = codec.m_read_endpoint("READY T 3.1207");
        REQUIRE(ready.m_kind == endpoint_reply_kind::ready);
        REQUIRE(ready.m_state == transaction_status::open);
        REQUIRE(ready.m_position == log_position{3, 1207});
        REQUIRE_FALSE(codec.m_read_endpoint("READY I -").m_position);
        REQUIRE(codec.m_read_endpoint("ROW qhzk wm").m_row == "qhzk wm");
        REQUIRE(codec.m_read_endpoint("ERROR LAGGING i-1").m_fault ==
                session_fault::lagging);
        REQUIRE(codec.m_read_endpoint("ERROR NEWCODE x").m_fault ==
                session_fault::other);
    }
    GIVEN("a status row")
    {
        const auto s = codec.m_read_status("replica 3 3.1209 4 12 2 17");
        REQUIRE(s);
        REQUIRE(s->m_role == endpoint_role::replica);
        REQUIRE(s->m_term == 3);
        REQUIRE(s->m_position == log_position{3, 1209});
        REQUIRE(s->m_paused_term == 4);
        REQUIRE_FALSE(codec.m_read_status("witness 3 3.1209 0 12 2 17"));
        REQUIRE_FALSE(codec.m_read_status(""));
        for (const char* lag : {"inf", "nan", "1e300", "1e999"})
            REQUIRE_FALSE(codec.m_read_status("replica 3 3.1209 4 " +
                                              std::string(lag) + " 2 17"));
    }
    GIVEN("random lines")
    {
        constexpr int lines = 20000;
        std::mt19937 generator(99);
        const std::string words[] = {"READY", "ROW",   "ERROR", "COMPLETE",
                                     "QUERY", "BEGIN", "3.",    ".9",
                                     "-",     " ",     "\xff",  "STARTUP"};
        for (int i = 0; i < lines; ++i)
        {
            std::string line;
            for (unsigned w = generator() % 6; w > 0; --w)
                line.append(words[generator() % std::size(words)]).append(" ");
            codec.m_read_caller(line);
            codec.m_read_relayed(line);
            codec.m_read_endpoint(line);
            codec.m_read_status(line);
        }
    }
}

SCENARIO("Lines are encoded")
{
    const session_codec& codec = line_codec();
    std::string out;

    GIVEN("a read that requires a log position")
    {
        codec.m_write_query(out, "5c0e", log_position{3, 1207}, "READ 1a4");
        REQUIRE(out == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    }
    GIVEN("statements that the proxy sends itself")
    {
        codec.m_write_set(out, "a", "b c");
        codec.m_write_prepare(out, "w_q2c", true, "q2c");
        codec.m_write_order(out, group_order::pause, 4);
        REQUIRE(out == "QUERY - SET a b c\r\n"
                       "QUERY - PREPARE w_q2c WRITE q2c\r\n"
                       "QUERY - PAUSE 4\r\n");
    }
    GIVEN("a prepared statement under its shared name")
    {
        codec.m_write_execute(out, "5c0e", std::nullopt, "w_q2c", "1a4 xk qp");
        REQUIRE(out == "QUERY 5c0e EXECUTE w_q2c 1a4 xk qp\r\n");
    }
    GIVEN("replies to a caller")
    {
        codec.m_write_error(out, session_fault::busy, "");
        codec.m_write_ready(out, transaction_status::failed);
        REQUIRE(out == "ERROR BUSY -\r\nREADY E -\r\n");
    }
    GIVEN("a session that is passed on to its home")
    {
        codec.m_write_session(out, "ledger", "ward-key");
        codec.m_write_session(out, "ledger", "");
        codec.m_write_resume(out, "vm-1", "17", log_position{3, 1207}, 42);
        codec.m_write_resume(out, "vm-1", "17", std::nullopt, 43);
        codec.m_write_deallocate(out, "q");
        codec.m_write_position(out, transaction_status::idle,
                               log_position{3, 1207});
        codec.m_write_release(out);
        REQUIRE(out == "STARTUP ledger ward-key\r\n"
                       "STARTUP ledger -\r\n"
                       "RESUME vm-1 17 3.1207 42\r\n"
                       "RESUME vm-1 17 - 43\r\n"
                       "QUERY - DEALLOCATE q\r\n"
                       "READY I 3.1207\r\n"
                       "RELEASED\r\n");
        REQUIRE(codec.m_is_release("RELEASED"));
        REQUIRE_FALSE(codec.m_is_release("READY I -"));

        THEN("the home reads what the session had")
        {
            const auto m = codec.m_read_relayed("RESUME vm-1 17 3.1207 42");
            REQUIRE(m.m_kind == caller_message_kind::resume);
            REQUIRE(m.m_process == "vm-1");
            REQUIRE(m.m_id == "17");
            REQUIRE(m.m_position == log_position{3, 1207});
            REQUIRE(m.m_config_version == 42);
            REQUIRE_FALSE(
                codec.m_read_relayed("RESUME vm-1 17 - 43").m_position);
            REQUIRE(codec.m_read_relayed("RESUME vm-1 17 - x").m_kind ==
                    caller_message_kind::malformed);
            REQUIRE(codec.m_read_relayed("RESUME vm-1").m_kind ==
                    caller_message_kind::malformed);
            REQUIRE(codec.m_read_relayed("QUERY - BEGIN").m_kind ==
                    caller_message_kind::setup);
            REQUIRE(codec.m_read_relayed("QUERY 5c0e READ a").m_kind ==
                    caller_message_kind::query);
        }
        THEN("callers can't send it")
        {
            REQUIRE(codec.m_read_caller("RESUME vm-1 17 3.1207 42").m_kind ==
                    caller_message_kind::malformed);
        }
    }
    GIVEN("startup lines for an endpoint")
    {
        codec.m_write_startup(out, "huvo11a", "ward", "i-7f");
        codec.m_write_startup(out, "huvo11a", "", "i-7f");
        REQUIRE(out == "STARTUP huvo11a ward i-7f\r\n"
                       "STARTUP huvo11a - i-7f\r\n");
    }
}
