#include <csignal>

#include <catch2/catch.hpp>
#include <ctl/run_line.hpp>
#include <ctl/settings_edit.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

printed run_words(operator_session& s, std::vector<std::string> line)
{
    return run_line(s, line, false);
}

}

TEST_CASE("An edit is settled whatever becomes of its answer")
{
    const fleet f({.m_daemons = 0, .m_endpoints = 0});
    operator_session s({f.m_platform_address, {}, {}, std::chrono::seconds(1)});

    SECTION("an answer is lost after the change took effect")
    {
        set_platform_fault(f, {{"mode", "lose_answers"}});
        const printed run = run_words(s, {"put", "depot", R"({"rate":7})"});
        REQUIRE(run.m_code == exit_code::ok);
        THEN("the change stands once")
        {
            set_platform_fault(f, {{"mode", "up"}});
            const stored_tree tree = read_tree(s);
            REQUIRE(find_node(tree, "depot").m_own.m_rate == 7);
        }
    }
    SECTION("the platform is down")
    {
        set_platform_fault(f, {{"mode", "down"}});
        const printed run = run_words(s, {"put", "depot", R"({"rate":7})"});
        REQUIRE(run.m_code == exit_code::failed);
        REQUIRE(run.m_errors.starts_with("platform_unavailable"));
        set_platform_fault(f, {{"mode", "up"}});
        REQUIRE(is_absent(read_tree(s), "depot"));
    }
    SECTION("another operator's edit comes between")
    {
        operator_session other(
            {f.m_platform_address, {}, {}, std::chrono::seconds(1)});
        REQUIRE(run_words(other, {"put", "depot", R"({"rate":7})"}).m_code ==
                exit_code::ok);
        const settings_edit late{
            "depot", std::nullopt,
            [&](node_settings& own)
            {
                // Read by now, not written yet.
                run_words(other, {"set", "depot", "rate", "9"});
                own.m_rate = 11;
            }};
        THEN("the loser is shown the other's change, and nothing is lost")
        {
            try
            {
                apply_edit(s, late);
                FAIL("the edit went over the other's");
            }
            catch (const ctl_error& e)
            {
                REQUIRE(e.m_fault == ctl_fault::edit_conflict);
                REQUIRE(e.m_detail.find("rate: 7.0 -> 9.0") !=
                        std::string::npos);
            }
            REQUIRE(find_node(read_tree(s), "depot").m_own.m_rate == 9);
        }
    }
}

TEST_CASE("An edit is in force when all daemons go by it")
{
    const fleet f({.m_daemons = 3, .m_endpoints = 1});
    operator_session s({f.m_platform_address, {}, {}, std::chrono::seconds(8)});

    SECTION("all answer")
    {
        REQUIRE(run_words(s, {"put", "depot", R"({"rate":7})"}).m_code ==
                exit_code::ok);
        for (const daemon_status& m : ask_fleet(s))
            REQUIRE(m.m_status->m_applied_version ==
                    m.m_status->m_known_version);
    }
    SECTION("one sleeps: a majority has it and the sleeper's right has ended")
    {
        f.m_daemons[2].m_process->send_signal(SIGSTOP);
        const printed run = run_words(s, {"put", "depot", R"({"rate":7})"});
        REQUIRE(run.m_code == exit_code::ok);
        REQUIRE(run.m_output.find("without the right to serve: vm-3") !=
                std::string::npos);
    }
    SECTION("most sleep: the client says whom it waits for")
    {
        f.m_daemons[1].m_process->send_signal(SIGSTOP);
        f.m_daemons[2].m_process->send_signal(SIGSTOP);
        const printed run = run_words(s, {"put", "depot", R"({"rate":7})"});
        REQUIRE(run.m_code == exit_code::not_in_force);
        REQUIRE(run.m_output.find("waiting for: vm-2, vm-3") !=
                std::string::npos);
    }
    SECTION("a tree that doesn't hold together is written past the client")
    {
        caller platform(f.m_platform_address);
        platform.send({"PUT",
                       "/v1/objects/settings/ward?if_version=0",
                       {},
                       R"({"kind":"workspace","service":"nowhere"})"});
        REQUIRE(eventually(
            [&]
            {
                const auto fleet_now = ask_fleet(s);
                return fleet_now[0].m_status->m_rejected_nodes ==
                       std::vector<std::string>{"ward"};
            }));
        THEN("the last good settings stay in force, and are named as such")
        {
            const daemon_status m = ask_fleet(s)[0];
            REQUIRE(m.m_status->m_applied_version <
                    m.m_status->m_known_version);
            REQUIRE(m.m_status->m_standing == "confirmed");
        }
        AND_WHEN("it is mended")
        {
            REQUIRE(run_words(s, {"put", "ward",
                                  R"({"kind":"workspace","service":"group"})"})
                        .m_code == exit_code::ok);
            THEN("nothing is refused any more")
            {
                REQUIRE(ask_fleet(s)[0].m_status->m_rejected_nodes.empty());
            }
        }
    }
}
