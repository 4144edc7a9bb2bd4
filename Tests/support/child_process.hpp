#ifndef BLUEBELLSPOKE_SUPPORT_CHILD_PROCESS_HPP
#define BLUEBELLSPOKE_SUPPORT_CHILD_PROCESS_HPP

#include <exception>
#include <span>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bluebellspoke::support
{

/// A program could not be started.
class spawn_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// A program that a test started; killed and reaped at the end.
class child_process
{
public:
    /// Its standard error goes to the file `log`, or nowhere when empty.
    /// Throws spawn_error.
    child_process(std::span<const std::string> command, const std::string& log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// The next line of its standard output; empty at the end.
    std::string read_line();
    /// Everything it still prints until its end.
    std::string read_rest();
    void send_signal(int number) const;
    /// Waits for its end. Returns its exit code, or minus a signal's number.
    int wait();
    bool running();
    pid_t id() const noexcept;

private:
    void take_status(int status);

    pid_t m_id = -1;
    int m_output = -1;
    bool m_reaped = false;
    int m_code = 0;
};

/// Runs a program to its end; its output and exit code.
struct finished_program
{
    int m_code = 0;
    std::string m_output;
};
finished_program run_program(std::span<const std::string> command);

}

#endif
