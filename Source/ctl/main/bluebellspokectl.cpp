#include <array>
#include <cstdio>
#include <exception>
#include <span>

#include <ctl/commands.hpp>
#include <ctl/operator_session.hpp>
#include <options/options.hpp>

namespace
{

using namespace bluebellspoke;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;

constexpr std::array options{
    option_spec{"platform", option_type::address, "",
                "address of the platform's service", "", 0, 0},
    option_spec{"platform-authorities", option_type::file, "",
                "authorities that signed the platform's certificate, PEM; "
                "turns TLS on towards the platform",
                "", 0, 0},
};

tls_context_ptr platform_tls(const option_values& values)
{
    if (!values.given("platform-authorities"))
        return {};
    tls_files files;
    files.m_authorities = values.text("platform-authorities");
    return load_client_tls(files);
}

int run(std::span<const char* const> arguments)
{
    const option_values values =
        parse_options({"bluebellspokectl", "Operators' client of bluebellspoke",
                       "0.1.0", "command"},
                      options, arguments, process_environment());
    operator_session session(parse_address(values.text("platform")),
                             platform_tls(values));
    std::fputs(run_command(session, values.words()).c_str(), stdout);
    return exit_ok;
}

int fail(const std::exception& e, int code)
{
    std::fputs(e.what(), stderr);
    std::fputc('\n', stderr);
    return code;
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
        return exit_ok;
    }
    catch (const options_error& e)
    {
        return fail(e, exit_usage);
    }
    catch (const usage_error& e)
    {
        return fail(e, exit_usage);
    }
    catch (const platform_error& e)
    {
        return fail(e, e.m_failure == platform_failure::conflict ? exit_conflict
                                                                 : exit_failed);
    }
    catch (const std::exception& e)
    {
        return fail(e, exit_failed);
    }
}
