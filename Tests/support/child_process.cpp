#include <support/child_process.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bluebellspoke::support
{

const char* spawn_error::what() const noexcept
{
    return "a program could not be started";
}

child_process::child_process(std::span<const std::string> command,
                             const std::string& log)
{
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        throw spawn_error();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    const char* errors = log.empty() ? "/dev/null" : log.c_str();
    constexpr int owner_may_write = 0600;
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors,
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     owner_may_write);
    // A relay's socket that a child also holds isn't closed when the relay
    // closes it: its far side never learns, and the loop goes on being woken.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    // When a group of processes loses its last parent outside, the kernel lets
    // those of its members go on that are stopped. A test's own group may lose
    // it at any time, that of the child has the test.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    posix_spawnattr_setpgroup(&attributes, 0);
    std::vector<char*> arguments;
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const int failed = posix_spawn(&m_id, arguments.front(), &actions,
                                   &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    m_output = pipe_ends[0];
    if (failed != 0)
    {
        close(m_output);
        throw spawn_error();
    }
}

child_process::~child_process()
{
    if (!m_reaped)
    {
        send_signal(SIGKILL);
        wait();
    }
    close(m_output);
}

std::string child_process::read_line()
{
    std::string line;
    char c = 0;
    while (read(m_output, &c, 1) == 1 && c != '\n')
        line.push_back(c);
    return line;
}

std::string child_process::read_rest()
{
    std::string text;
    std::array<char, 4096> bytes{};
    for (ssize_t got = 1; got > 0;)
    {
        got = read(m_output, bytes.data(), bytes.size());
        if (got > 0)
            text.append(bytes.data(), static_cast<std::size_t>(got));
    }
    return text;
}

void child_process::send_signal(int number) const
{
    if (!m_reaped)
        kill(m_id, number);
}

void child_process::take_status(int status)
{
    m_reaped = true;
    m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

int child_process::wait()
{
    int status = 0;
    if (!m_reaped && waitpid(m_id, &status, 0) == m_id)
        take_status(status);
    return m_code;
}

bool child_process::running()
{
    int status = 0;
    if (!m_reaped && waitpid(m_id, &status, WNOHANG) == m_id)
        take_status(status);
    return !m_reaped;
}

pid_t child_process::id() const noexcept
{
    return m_id;
}

finished_program run_program(std::span<const std::string> command)
{
    child_process program(command, {});
    finished_program finished;
    finished.m_output = program.read_rest();
    finished.m_code = program.wait();
    return finished;
}

}
