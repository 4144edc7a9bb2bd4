#include <model/site.hpp>

namespace bluebellspoke
{

std::string_view to_string(read_consistency c) noexcept
{
    switch (c)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded:
        return "bounded";
    case read_consistency::own_writes:
        break;
    }
    return "own_writes";
}

}
