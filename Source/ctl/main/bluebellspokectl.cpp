#include <array>
#include <chrono>
#include <cstdio>
#include <exception>
#include <span>

#include <ctl/commands.hpp>
#include <ctl/operator_session.hpp>
#include <ctl/run_line.hpp>
#include <options/options.hpp>

namespace
{

using namespace bluebellspoke;

constexpr std::array options{
    option_spec{"platform", option_type::optional_address, "",
                "address of the platform's service; all commands but explain "
                "need it",
                "", 0, 0},
    option_spec{"platform-authorities", option_type::file, "",
                "authorities that signed the platform's certificate, PEM; "
                "turns TLS on towards the platform",
                "", 0, 0},
    option_spec{"tls-certificate", option_type::file, "",
                "certificate to show to daemons, PEM; turns TLS on towards "
                "them",
                "", 0, 0},
    option_spec{"tls-key", option_type::file, "",
                "private key of the certificate, PEM", "", 0, 0},
    option_spec{"tls-authorities", option_type::file, "",
                "authorities that signed the daemons' certificates, PEM", "", 0,
                0},
    option_spec{"wait-ms", option_type::count, "10000",
                "longest wait for an edit to be in force", "ms", 0, 600'000},
    option_spec{"json", option_type::flag, "", "print JSON, for scripts", "", 0,
                0},
};

// Half a set of certificates would leave one side in the clear unnoticed.
constexpr std::array<std::string_view, 3> tls_set{"tls-certificate", "tls-key",
                                                  "tls-authorities"};

operator_settings read_settings(const option_values& values)
{
    check_together(values, options, tls_set);
    operator_settings s;
    if (values.given("platform"))
        s.m_platform = parse_address(values.text("platform"));
    else if (needs_platform(values.words()))
        throw options_error(
            {{option_fault_kind::missing, "platform", "", "IP:port"}});
    s.m_wait = std::chrono::milliseconds(values.count("wait-ms"));
    if (values.given("platform-authorities"))
        s.m_platform_tls =
            load_client_tls({{}, {}, values.text("platform-authorities")});
    if (values.given("tls-certificate"))
        s.m_peer_tls = load_client_tls({values.text("tls-certificate"),
                                        values.text("tls-key"),
                                        values.text("tls-authorities")});
    return s;
}

int run(std::span<const char* const> arguments)
{
    const option_values values =
        parse_options({"bluebellspokectl", "Operators' client of bluebellspoke",
                       BLUEBELLSPOKE_VERSION, "command"},
                      options, arguments, process_environment());
    operator_session session(read_settings(values));
    const printed run = run_line(session, values.words(), values.given("json"));
    std::fputs(run.m_output.c_str(), stdout);
    std::fputs(run.m_errors.c_str(), stderr);
    return static_cast<int>(run.m_code);
}

int fail(const std::exception& e, exit_code code)
{
    std::fputs(e.what(), stderr);
    std::fputc('\n', stderr);
    return static_cast<int>(code);
}

}

int main(int argc, char** argv)
{
    try
    {
        return run({argv, static_cast<std::size_t>(argc)});
    }
    catch (const options_exit&)
    {
        return static_cast<int>(exit_code::ok);
    }
    catch (const options_error& e)
    {
        return fail(e, exit_code::usage);
    }
    catch (const std::exception& e)
    {
        return fail(e, exit_code::failed);
    }
}
