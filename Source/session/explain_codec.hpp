#ifndef BLUEBELLSPOKE_SESSION_EXPLAIN_CODEC_HPP
#define BLUEBELLSPOKE_SESSION_EXPLAIN_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

#include <decide/explanation.hpp>

namespace bluebellspoke
{

/// How questions where a request would go are read and answered.
struct explain_codec
{
    /// Reads the query of the request's path, without the path and the question
    /// mark. Returns nothing if it is malformed.
    std::optional<explain_query> (*m_read)(std::string_view query) = nullptr;
    std::string (*m_write)(const explanation& e) = nullptr;
    std::string (*m_write_fault)(explain_fault fault) = nullptr;
};

}

#endif
