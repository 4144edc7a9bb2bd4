#ifndef BLUEBELLSPOKE_WIRE_HTTP2_MESSAGE_HPP
#define BLUEBELLSPOKE_WIRE_HTTP2_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bluebellspoke
{

/// Header fields in order; names are lower case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// The first value of `name`, or an empty view.
std::string_view find_header(const header_list& headers,
                             std::string_view name) noexcept;

struct http2_request
{
    std::string m_method = "GET";
    std::string m_path;
    header_list m_headers;
    std::string m_body;
};

struct http2_response
{
    int m_status = 200;
    header_list m_headers;
    std::string m_body;
};

/// The value of `name` in the query of a request's path, or an empty view.
std::string_view find_query(std::string_view path,
                            std::string_view name) noexcept;
/// The path without its query.
std::string_view path_only(std::string_view path) noexcept;

}

#endif
