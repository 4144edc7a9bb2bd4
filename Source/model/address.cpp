#include <model/address.hpp>

#include <arpa/inet.h>
#include <charconv>
#include <sys/socket.h>

namespace bluebellspoke
{

namespace
{

bool is_ip_address(const std::string& host)
{
    in6_addr buffer{};
    // inet_pton() reads up to the first zero byte only.
    if (host.find('\0') != std::string::npos)
        return false;
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

}

address_error::address_error(std::string_view text)
    : m_text(std::string("not an IP address and port: ").append(text))
{
}

const char* address_error::what() const noexcept
{
    return m_text.c_str();
}

address parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw address_error(text);
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    address result;
    result.m_host = host;
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), result.m_port);
    if (error != std::errc() || end != port.data() + port.size())
        throw address_error(text);
    if (!is_ip_address(result.m_host))
        throw address_error(text);
    return result;
}

std::string to_string(const address& a)
{
    std::string text;
    const bool is_ipv6 = a.m_host.find(':') != std::string::npos;
    if (is_ipv6)
        text.append("[").append(a.m_host).append("]");
    else
        text.append(a.m_host);
    return text.append(":").append(std::to_string(a.m_port));
}

}
