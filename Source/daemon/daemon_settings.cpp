#include <daemon/daemon_settings.hpp>

#include <array>
#include <chrono>

namespace bluebellspoke
{

namespace
{

constexpr std::array options{
    option_spec{"name", option_type::text, "", "name of this process's VM", "",
                0, 0},
    option_spec{"zone", option_type::text, "",
                "availability zone of this process's VM", "", 0, 0},
    option_spec{"listen", option_type::address, "", "address for callers", "",
                0, 0},
    option_spec{"peer-listen", option_type::address, "",
                "address for the other daemons", "", 0, 0},
    option_spec{"admin-listen", option_type::address, "",
                "address for health, metrics and dumps", "", 0, 0},
    option_spec{"platform", option_type::address, "",
                "address of the platform's service", "", 0, 0},
    option_spec{"charts", option_type::folder, BLUEBELLSPOKE_CHART_FOLDER,
                "folder of the state charts", "", 0, 0},
    option_spec{"drain-grace-ms", option_type::count, "2000",
                "time between not ready and the begin of a graceful shutdown",
                "ms", 0, 60'000},
    option_spec{"drain-limit-ms", option_type::count, "30000",
                "longest graceful shutdown, from its begin", "ms", 100,
                600'000},
    option_spec{"mailbox", option_type::count, "4096",
                "requests that wait for a task before more are refused",
                "messages", 16, 1'000'000},
    option_spec{"tls-certificate", option_type::file, "",
                "this VM's certificate, PEM; turns TLS on for callers and "
                "peers",
                "", 0, 0},
    option_spec{"tls-key", option_type::file, "",
                "private key of the certificate, PEM", "", 0, 0},
    option_spec{"tls-authorities", option_type::file, "",
                "authorities that signed the peers' certificates, PEM", "", 0,
                0},
    option_spec{"platform-authorities", option_type::file, "",
                "authorities that signed the platform's certificate, PEM; "
                "turns TLS on towards the platform",
                "", 0, 0},
    option_spec{"reads-at-primary", option_type::flag, "",
                "for experiments: no read runs at a replica", "", 0, 0},
    option_spec{"queue-by-arrival", option_type::flag, "",
                "for experiments: workspaces share one queue, first come first "
                "served",
                "", 0, 0},
    option_spec{"queue-unbounded", option_type::flag, "",
                "for experiments: every request waits until its time limit, "
                "however long the queue",
                "", 0, 0},
    option_spec{"even-shares", option_type::flag, "",
                "for experiments: shares are split evenly and never lent", "",
                0, 0},
    option_spec{"check", option_type::flag, "",
                "check settings and charts, then end", "", 0, 0},
};

// Half a set of certificates would leave one side in the clear unnoticed.
constexpr std::array<std::string_view, 3> tls_set{"tls-certificate", "tls-key",
                                                  "tls-authorities"};

}

std::span<const option_spec> daemon_options() noexcept
{
    return options;
}

daemon_settings read_daemon_settings(std::span<const char* const> arguments,
                                     const environment& variables)
{
    const option_values values = parse_options(
        {"bluebellspoked", "Database proxy with session consistency",
         BLUEBELLSPOKE_VERSION, ""},
        options, arguments, variables);
    check_together(values, options, tls_set);
    daemon_settings s;
    s.m_name = values.text("name");
    s.m_zone = values.text("zone");
    s.m_listen = parse_address(values.text("listen"));
    s.m_peer_listen = parse_address(values.text("peer-listen"));
    s.m_admin_listen = parse_address(values.text("admin-listen"));
    s.m_platform = parse_address(values.text("platform"));
    s.m_charts = values.text("charts");
    s.m_drain_grace = std::chrono::milliseconds(values.count("drain-grace-ms"));
    s.m_drain_limit = std::chrono::milliseconds(values.count("drain-limit-ms"));
    s.m_mailbox = values.count("mailbox");
    s.m_tls = {values.text("tls-certificate"), values.text("tls-key"),
               values.text("tls-authorities")};
    s.m_platform_tls.m_authorities = values.text("platform-authorities");
    s.m_reads_at_primary = values.given("reads-at-primary");
    s.m_queue_by_arrival = values.given("queue-by-arrival");
    s.m_queue_unbounded = values.given("queue-unbounded");
    s.m_even_shares = values.given("even-shares");
    s.m_check_only = values.given("check");
    return s;
}

}
