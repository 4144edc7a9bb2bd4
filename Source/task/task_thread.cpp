#include <task/task_thread.hpp>

#include <pthread.h>
#include <utility>

namespace bluebellspoke
{

namespace
{

// The kernel keeps 15 characters of a thread's name.
constexpr std::size_t thread_name_length = 15;

}

task_thread::task_thread(std::string name, std::function<void()> body)
    : m_thread(
          [this, thread_name = std::move(name), run_body = std::move(body)]
          {
              pthread_setname_np(
                  pthread_self(),
                  thread_name.substr(0, thread_name_length).c_str());
              try
              {
                  run_body();
              }
              catch (...)
              {
                  m_failure = std::current_exception();
              }
          })
{
}

task_thread::~task_thread()
{
    if (m_thread.joinable())
        m_thread.join();
}

void task_thread::join()
{
    if (m_thread.joinable())
        m_thread.join();
    if (m_failure)
        std::rethrow_exception(std::exchange(m_failure, nullptr));
}

}
