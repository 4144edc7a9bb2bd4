#ifndef BLUEBELLSPOKE_SUPPORT_SCARCE_MEMORY_HPP
#define BLUEBELLSPOKE_SUPPORT_SCARCE_MEMORY_HPP

#include <cstddef>
#include <string_view>

namespace bluebellspoke::support
{

/// While it exists, allocations of `from` bytes or more throw std::bad_alloc in
/// the threads of this name. At most one exists.
class scarce_memory
{
public:
    scarce_memory(std::string_view thread, std::size_t from);
    ~scarce_memory();
    scarce_memory(const scarce_memory&) = delete;
    scarce_memory& operator=(const scarce_memory&) = delete;
};

}

#endif
