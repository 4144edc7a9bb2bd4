#include <decide/explanation.hpp>

namespace bluebellspoke
{

std::string_view to_string(explain_fault fault) noexcept
{
    switch (fault)
    {
    case explain_fault::malformed:
        return "malformed";
    case explain_fault::no_configuration:
        return "no_configuration";
    case explain_fault::unknown_database:
        return "unknown_database";
    case explain_fault::unknown_workspace:
        return "unknown_workspace";
    case explain_fault::unauthorized:
        return "unauthorized";
    case explain_fault::overloaded:
        return "overloaded";
    }
    return "malformed";
}

std::string_view to_string(request_outcome outcome) noexcept
{
    switch (outcome)
    {
    case request_outcome::passed_on:
        return "passed on";
    case request_outcome::sent:
        return "sent";
    case request_outcome::queued:
        return "queued";
    case request_outcome::hopeless:
        return "hopeless";
    case request_outcome::no_group:
        return "no endpoints";
    }
    return "sent";
}

std::string_view to_string(wait_estimate estimate) noexcept
{
    switch (estimate)
    {
    case wait_estimate::estimated:
        return "estimated";
    case wait_estimate::no_priorities:
        return "no priorities";
    case wait_estimate::nothing_waits:
        return "nothing waits";
    case wait_estimate::rate_unknown:
        return "rate unknown";
    }
    return "estimated";
}

std::string_view to_string(choice_verdict verdict) noexcept
{
    switch (verdict)
    {
    case choice_verdict::would_be_chosen:
        return "would be chosen";
    case choice_verdict::could_be_chosen:
        return "could be chosen";
    case choice_verdict::not_allowed:
        return "not allowed";
    }
    return "not allowed";
}

}
