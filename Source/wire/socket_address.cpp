#include <wire/socket_address.hpp>

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <netinet/in.h>

namespace bluebellspoke
{

socket_address to_socket_address(const address& a)
{
    socket_address result;
    sockaddr_in v4{};
    if (inet_pton(AF_INET, a.m_host.c_str(), &v4.sin_addr) == 1)
    {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(a.m_port);
        std::memcpy(&result.m_storage, &v4, sizeof(v4));
        result.m_length = sizeof(v4);
        return result;
    }
    sockaddr_in6 v6{};
    if (inet_pton(AF_INET6, a.m_host.c_str(), &v6.sin6_addr) != 1)
        throw address_error(a.m_host);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(a.m_port);
    std::memcpy(&result.m_storage, &v6, sizeof(v6));
    result.m_length = sizeof(v6);
    return result;
}

address local_address(int descriptor)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage),
                    &length) != 0)
        throw address_error("unbound socket");
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET)
    {
        sockaddr_in v4{};
        std::memcpy(&v4, &storage, sizeof(v4));
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4.sin_port)};
    }
    sockaddr_in6 v6{};
    std::memcpy(&v6, &storage, sizeof(v6));
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(v6.sin6_port)};
}

}
