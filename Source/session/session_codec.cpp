#include <session/session_codec.hpp>

namespace bluebellspoke
{

const char* line_field_error::what() const noexcept
{
    return "a field that would end or split its line";
}

std::string_view to_string(session_fault fault) noexcept
{
    switch (fault)
    {
    case session_fault::no_database:
        return "no_database";
    case session_fault::unauthorized:
        return "unauthorized";
    case session_fault::busy:
        return "busy";
    case session_fault::aborted:
        return "aborted";
    case session_fault::lagging:
        return "lagging";
    case session_fault::readonly:
        return "readonly";
    case session_fault::misrouted:
        return "misrouted";
    case session_fault::too_many:
        return "too_many";
    case session_fault::no_statement:
        return "no_statement";
    case session_fault::unknown_outcome:
        return "unknown_outcome";
    case session_fault::timed_out:
        return "timed_out";
    case session_fault::failed:
        return "failed";
    case session_fault::malformed:
        return "malformed";
    case session_fault::other:
        break;
    }
    return "other";
}

bool guarantees_no_effect(session_fault fault) noexcept
{
    switch (fault)
    {
    case session_fault::busy:
    case session_fault::aborted:
    case session_fault::lagging:
    case session_fault::readonly:
    case session_fault::misrouted:
    case session_fault::too_many:
        return true;
    default:
        return false;
    }
}

}
