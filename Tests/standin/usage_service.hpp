#ifndef BLUEBELLSPOKE_STANDIN_USAGE_SERVICE_HPP
#define BLUEBELLSPOKE_STANDIN_USAGE_SERVICE_HPP

#include <string>

#include <event2/http.h>

#include <nlohmann/json.hpp>

namespace bluebellspoke::standin
{

/// The platform's service for usage reports, which keeps each call for the
/// test.
struct usage_service
{
    nlohmann::json m_calls = nlohmann::json::array();
    int m_status = 200;
    bool m_loses_answers = false; ///< Has the effect, but doesn't answer.
};

/// Answers POST /usage, and what a test asks of the service. Returns false if
/// the path isn't the service's.
bool take_usage(usage_service& s, evhttp_request* request,
                const std::string& path, const std::string& body);

}

#endif
