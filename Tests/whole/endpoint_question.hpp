#ifndef BLUEBELLSPOKE_WHOLE_ENDPOINT_QUESTION_HPP
#define BLUEBELLSPOKE_WHOLE_ENDPOINT_QUESTION_HPP

#include <string>

#include <support/fleet.hpp>

namespace bluebellspoke::support
{

/// Asks an endpoint stand-in how many connections it has refused; nothing when
/// it has no room even for the question.
std::string refused_connections(const endpoint_node& e);

}

#endif
