#include <session/object_store.hpp>

namespace bluebellspoke
{

std::string_view to_string(stored_kind kind) noexcept
{
    switch (kind)
    {
    case stored_kind::configuration:
        return "configuration";
    case stored_kind::endpoints:
        return "endpoints";
    case stored_kind::evacuations:
        return "evacuations";
    case stored_kind::duties:
        return "duties";
    case stored_kind::usage_duties:
        return "usage_duties";
    case stored_kind::members:
        break;
    }
    return "members";
}

std::string_view to_string(store_failure failure) noexcept
{
    switch (failure)
    {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::unavailable:
        return "unavailable";
    case store_failure::conflict:
        return "conflict";
    case store_failure::history_gone:
        return "history_gone";
    case store_failure::unreadable:
        break;
    }
    return "unreadable";
}

}
