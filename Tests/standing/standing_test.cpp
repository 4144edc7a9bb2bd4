#include <csignal>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

bool all_have_standing(const ward& w, const std::string& standing)
{
    for (const daemon_node& d : w.m_fleet.m_daemons)
        if (standing_of(d) != standing)
            return false;
    return true;
}

bool is_ready(const ward& w, std::size_t daemon)
{
    return admin_get(w.m_fleet.m_daemons[daemon], "/ready").m_status == 200;
}

bool is_refused(const reply& r)
{
    const bool is_expected_error =
        r.error() == "configuration_stale" || r.error() == "key_withdrawn";
    return is_expected_error && r.outcome() == "not_run";
}

}

TEST_CASE("A daemon serves while it knows that its settings are current")
{
    ward w({.m_daemons = 3, .m_zones = 2, .m_relays = true});
    fleet& f = w.m_fleet;

    SECTION("the whole fleet loses the platform")
    {
        const auto mode = GENERATE(as<std::string>(), "down", "silent");
        set_platform_fault(f, {{"mode", mode}});

        THEN("a majority witnesses the outage and all daemons serve")
        {
            REQUIRE(eventually(
                [&]
                {
                    return all_have_standing(w, "witnessed");
                }));
            REQUIRE(all_serve(w));

            AND_WHEN("a daemon is replaced during the outage")
            {
                daemon_node& replaced = f.m_daemons[0];
                replaced.m_process.reset();
                start_daemon(replaced);
                THEN("it learns the settings from its peers and serves")
                {
                    REQUIRE(eventually(
                        [&]
                        {
                            return read_through(w, 0).m_status == 200;
                        }));
                }
            }
            AND_WHEN("the platform is back")
            {
                set_platform_fault(f, {{"mode", "up"}});
                THEN("every daemon is confirmed again")
                {
                    REQUIRE(eventually(
                        [&]
                        {
                            return all_have_standing(w, "confirmed");
                        }));
                    REQUIRE(all_serve(w));
                }
            }
        }
    }

    SECTION("one daemon is cut off from the platform and from its peers")
    {
        f.m_daemons[0].m_platform->cut(true, true);
        f.m_daemons[1].m_process->send_signal(SIGSTOP);
        f.m_daemons[2].m_process->send_signal(SIGSTOP);

        THEN("it refuses statements and reports them as not run")
        {
            // An answer sent before the partition may arrive after a first
            // refusal and extend the standing again.
            reply last;
            bool ready = true;
            const bool refused = eventually(
                [&]
                {
                    last = read_through(w, 0);
                    ready = is_ready(w, 0);
                    return is_refused(last) && !ready;
                });
            CAPTURE(last.m_status, last.m_body, ready,
                    dump_of(f.m_daemons[0]).dump());
            REQUIRE(refused);
            for (int i = 0; i < 20; ++i)
            {
                REQUIRE(is_refused(read_through(w, 0)));
                REQUIRE_FALSE(is_ready(w, 0));
            }

            AND_WHEN("its connections are restored")
            {
                f.m_daemons[1].m_process->send_signal(SIGCONT);
                f.m_daemons[2].m_process->send_signal(SIGCONT);
                f.m_daemons[0].m_platform->heal();
                THEN("all daemons serve")
                {
                    REQUIRE(eventually(
                        [&]
                        {
                            return all_serve(w);
                        }));
                }
            }
        }
    }

    SECTION("a daemon is suspended while a key is withdrawn")
    {
        f.m_daemons[0].m_process->send_signal(SIGSTOP);
        REQUIRE(ctl(f, {"withdraw", "ward", "clerk"}).m_code == 0);
        f.m_daemons[0].m_process->send_signal(SIGCONT);

        THEN("it refuses the key in its first answer after it resumes")
        {
            REQUIRE(is_refused(read_through(w, 0)));
        }
    }
}

TEST_CASE("The platform's list of VMs omits most of the fleet")
{
    ward w({.m_daemons = 5, .m_relays = true});
    fleet& f = w.m_fleet;
    REQUIRE(eventually(
        [&]
        {
            return dump_of(f.m_daemons[0]).at("control").at("epoch_members") ==
                       5 &&
                   dump_of(f.m_daemons[1]).at("control").at("epoch_members") ==
                       5;
        }));
    nlohmann::json vms = vm_list(f);
    vms.erase(vms.begin() + 2, vms.end());
    set_vms(f, vms);
    REQUIRE(eventually(
        [&]
        {
            return dump_of(f.m_daemons[0]).at("control").at("members") == 2 &&
                   dump_of(f.m_daemons[1]).at("control").at("members") == 2;
        }));

    WHEN("the two listed daemons are cut off from all others")
    {
        set_platform_fault(f, {{"mode", "down"}});
        for (const std::size_t other : {2U, 3U, 4U})
            f.m_daemons[other].m_process->send_signal(SIGSTOP);

        THEN("the two alone are no majority of witnesses")
        {
            // A daemon reports the end of its standing before it evaluates the
            // standing again.
            REQUIRE(eventually(
                [&]
                {
                    return standing_of(f.m_daemons[0]) == "lapsed" &&
                           standing_of(f.m_daemons[1]) == "lapsed";
                }));
            for (int i = 0; i < 20; ++i)
            {
                REQUIRE(is_refused(read_through(w, 0)));
                REQUIRE(is_refused(read_through(w, 1)));
            }

            AND_WHEN("a third daemon resumes")
            {
                f.m_daemons[2].m_process->send_signal(SIGCONT);
                THEN("three of five are a majority and serve")
                {
                    REQUIRE(eventually(
                        [&]
                        {
                            return standing_of(f.m_daemons[0]) == "witnessed" &&
                                   read_through(w, 0).m_status == 200;
                        }));
                }
            }
        }
    }
}

TEST_CASE("An older copy of the platform's store reverts no settings")
{
    ward w({.m_daemons = 3, .m_zones = 2, .m_relays = true});
    fleet& f = w.m_fleet;
    save_platform(f);
    REQUIRE(ctl(f, {"withdraw", "ward", "clerk"}).m_code == 0);
    const auto all_refuse = [&]
    {
        for (std::size_t i = 0; i < 3; ++i)
            if (read_through(w, i).error() != "key_withdrawn")
                return false;
        return true;
    };
    REQUIRE(eventually(all_refuse));

    WHEN("the platform is restored from the copy")
    {
        restore_platform(f);
        REQUIRE(eventually(
            [&]
            {
                return all_have_standing(w, "witnessed");
            }));

        THEN("the key stays withdrawn")
        {
            REQUIRE(all_refuse());
        }
        AND_WHEN("a daemon is restarted")
        {
            f.m_daemons[0].m_process.reset();
            start_daemon(f.m_daemons[0]);
            THEN("it applies the settings that its peers know")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        const std::string error = read_through(w, 0).error();
                        REQUIRE((error.empty() || error == "key_withdrawn" ||
                                 error == "configuration_stale"));
                        REQUIRE(read_through(w, 0).m_status != 200);
                        return error == "key_withdrawn";
                    }));
            }
        }
        AND_WHEN(
            "new edits raise the old store's revision past the newest version")
        {
            for (int i = 0; i < 9; ++i)
                put_node_unchecked(f, "depot", {{"rate", 100 + i}});
            THEN("the key still stays withdrawn")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        return all_refuse();
                    }));
                REQUIRE(all_have_standing(w, "witnessed"));
            }
        }
    }
}
