#include <support/scarce_memory.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <limits>
#include <new>

#include <pthread.h>

namespace
{

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
// The kernel keeps 15 characters of a thread's name, and a zero.
constexpr std::size_t thread_name_size = 16;

std::atomic<std::size_t> refused_from = unlimited;
std::array<char, thread_name_size> refused_thread{};

bool is_refused(std::size_t size)
{
    if (size < refused_from)
        return false;
    std::array<char, thread_name_size> name{};
    pthread_getname_np(pthread_self(), name.data(), name.size());
    return name == refused_thread;
}

}

// Replaces that of the whole test program.
void* operator new(std::size_t size)
{
    if (is_refused(size))
        throw std::bad_alloc();
    void* const memory = std::malloc(size > 0 ? size : 1);
    if (memory == nullptr)
        throw std::bad_alloc();
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace bluebellspoke::support
{

scarce_memory::scarce_memory(std::string_view thread, std::size_t from)
{
    refused_thread = {};
    thread.copy(refused_thread.data(), thread_name_size - 1);
    refused_from = from;
}

scarce_memory::~scarce_memory()
{
    refused_from = unlimited;
}

}
