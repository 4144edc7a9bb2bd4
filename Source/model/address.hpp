#ifndef BLUEBELLSPOKE_MODEL_ADDRESS_HPP
#define BLUEBELLSPOKE_MODEL_ADDRESS_HPP

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace bluebellspoke
{

/// A TCP address: an IP address and a port. Host names are never resolved.
struct address
{
    std::string m_host;
    std::uint16_t m_port = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

/// Thrown for text that is not of the form `IP:port`.
class address_error : public std::exception
{
public:
    explicit address_error(std::string_view text);
    const char* what() const noexcept override;

private:
    std::string m_text;
};

/// Parses `127.0.0.1:80` or `[::1]:80`. Throws address_error.
address parse_address(std::string_view text);
std::string to_string(const address& a);

}

#endif
