#include <array>
#include <cstdio>
#include <exception>
#include <span>

#include <options/options.hpp>
#include <standin/platform_server.hpp>

int main(int argc, char** argv)
{
    using namespace bluebellspoke;
    constexpr std::array options{
        option_spec{"listen", option_type::address, "", "address", "", 0, 0},
        option_spec{"tls-certificate", option_type::file, "", "certificate", "",
                    0, 0},
        option_spec{"tls-key", option_type::file, "", "its key", "", 0, 0}};
    try
    {
        const std::span<const char* const> arguments(
            argv, static_cast<std::size_t>(argc));
        const option_values values =
            parse_options({"platform_standin", "Platform stand-in", "0", ""},
                          options, arguments, process_environment());
        loop l = make_loop();
        const standin::platform_server server(
            l, parse_address(values.text("listen")));
        if (values.given("tls-certificate"))
            server.m_server->set_tls(load_server_tls(
                {values.text("tls-certificate"), values.text("tls-key"), {}},
                tls_peer_check::none));
        std::printf("%s\n", to_string(server.m_server->local()).c_str());
        std::fflush(stdout);
        run(l);
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
    return 0;
}
