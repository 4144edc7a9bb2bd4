#include <wire/http2_message.hpp>

namespace bluebellspoke
{

std::string_view find_header(const header_list& headers,
                             std::string_view name) noexcept
{
    for (const auto& [key, value] : headers)
        if (key == name)
            return value;
    return {};
}

std::string_view path_only(std::string_view path) noexcept
{
    return path.substr(0, path.find('?'));
}

std::string_view find_query(std::string_view path,
                            std::string_view name) noexcept
{
    const std::size_t mark = path.find('?');
    if (mark == std::string_view::npos)
        return {};
    std::string_view rest = path.substr(mark + 1);
    while (!rest.empty())
    {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return pair.substr(equals + 1);
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return {};
}

}
