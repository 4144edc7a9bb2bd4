#ifndef BLUEBELLSPOKE_TASK_TASK_THREAD_HPP
#define BLUEBELLSPOKE_TASK_TASK_THREAD_HPP

#include <exception>
#include <functional>
#include <string>
#include <thread>

namespace bluebellspoke
{

/// Runs one task's body on a thread of its own and joins it at the end.
/// A failure that leaves the body is kept and rethrown by join().
class task_thread
{
public:
    task_thread(std::string name, std::function<void()> body);
    ~task_thread();
    task_thread(const task_thread&) = delete;
    task_thread& operator=(const task_thread&) = delete;

    /// Waits for the body's end. Rethrows its failure.
    void join();

private:
    std::exception_ptr m_failure;
    std::thread m_thread;
};

}

#endif
