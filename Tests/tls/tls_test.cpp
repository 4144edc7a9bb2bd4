#include <csignal>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

tls_fault fault_of(const tls_files& files)
{
    try
    {
        load_server_tls(files, tls_peer_check::required);
    }
    catch (const tls_error& e)
    {
        return e.m_fault;
    }
    FAIL("the certificates were taken");
    return tls_fault::unavailable;
}

const json plain_read{{"statement", "select 1"}};

bool hears_peers(const daemon_node& d)
{
    const json peers =
        admin_get(d, "/dump").json()["tasks"]["control"]["peers"];
    for (const json& peer : peers)
        if (!peer.contains("heard_ms_ago"))
            return false;
    return !peers.empty();
}

}

TEST_CASE("Certificates that can't be used are told apart")
{
    const scratch_folder folder;
    const test_authority authority(folder.m_path, "authority");
    const tls_files good = authority.issue("vm-1");
    const tls_files other = authority.issue("vm-2");
    REQUIRE_NOTHROW(load_server_tls(good, tls_peer_check::required));

    SECTION("no certificate")
    {
        REQUIRE(fault_of({folder.m_path / "none", good.m_key,
                          good.m_authorities}) == tls_fault::bad_certificate);
    }
    SECTION("another certificate's key")
    {
        REQUIRE(fault_of({good.m_certificate, other.m_key,
                          good.m_authorities}) == tls_fault::bad_key);
    }
    SECTION("no authorities")
    {
        REQUIRE(fault_of(
                    {good.m_certificate, good.m_key, folder.m_path / "none"}) ==
                tls_fault::bad_authorities);
    }
}

TEST_CASE("Every side of a daemon speaks TLS when it has certificates")
{
    const scratch_folder folder;
    const test_authority authority(folder.m_path, "authority");
    const fleet f({.m_daemons = 2, .m_authority = &authority});
    put_node(f, "ward", {{"kind", "workspace"}, {"service", "group"}});
    session clerk{grant_key(f, "ward", "clerk"), {}};
    const tls_files trusted{{}, {}, authority.authorities()};
    const address& callers = f.m_daemons[0].m_callers;

    SECTION("a caller that trusts the authority is served")
    {
        caller c(callers, load_client_tls(trusted));
        REQUIRE(eventually(
            [&]
            {
                return c.send(statement_request(clerk, plain_read)).m_status ==
                       200;
            }));

        SECTION("and still is after the certificates are replaced")
        {
            authority.issue("vm-1");
            f.m_daemons[0].m_process->send_signal(SIGHUP);
            caller fresh(callers, load_client_tls(trusted));
            REQUIRE(fresh.send(statement_request(clerk, plain_read)).m_status ==
                    200);
            REQUIRE(c.send(statement_request(clerk, plain_read)).m_status ==
                    200);
        }
        SECTION("and still is after a bad file was put in their place")
        {
            std::ofstream(folder.m_path / "vm-1.pem") << "no certificate";
            f.m_daemons[0].m_process->send_signal(SIGHUP);
            caller fresh(callers, load_client_tls(trusted));
            REQUIRE(fresh.send(statement_request(clerk, plain_read)).m_status ==
                    200);
        }
    }
    SECTION("a caller in the clear gets nothing")
    {
        caller c(callers);
        REQUIRE(c.send(statement_request(clerk, plain_read)).m_status == 0);
    }
    SECTION("a caller that trusts another authority sends nothing")
    {
        const test_authority stranger(folder.m_path, "stranger");
        caller c(callers, load_client_tls({{}, {}, stranger.authorities()}));
        const reply r = c.send(statement_request(clerk, plain_read));
        REQUIRE(r.m_failure == http2_failure::not_sent);
    }
    SECTION("the daemons hear each other")
    {
        REQUIRE(eventually(
            [&]
            {
                return hears_peers(f.m_daemons[0]) &&
                       hears_peers(f.m_daemons[1]);
            }));
    }
    SECTION("a peer without a certificate is not listened to")
    {
        caller c(f.m_daemons[0].m_peers, load_client_tls(trusted));
        REQUIRE(c.send({"POST", "/peer", {}, "x"}).m_status == 0);
    }
}
