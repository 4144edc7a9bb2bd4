#include <clients/crowd.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <wire/reset_when_closed.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke::clients
{

namespace
{

constexpr int usual_still_ms = 1000;

int open_connection(const address& at)
{
    const socket_address to = to_socket_address(at);
    const int s = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (s < 0)
        throw std::runtime_error("the crowd has too few descriptors");
    // The connection is made while the bytes are sent.
    static_cast<void>(connect(
        s, reinterpret_cast<const sockaddr*>(&to.m_storage), to.m_length));
    return s;
}

// Waits until one of the sockets is ready. False if none is in time.
bool wait_for(std::vector<pollfd>& waiting, int still_ms)
{
    return std::ranges::any_of(waiting,
                               [](const pollfd& p)
                               {
                                   return p.fd >= 0;
                               }) &&
           poll(waiting.data(), waiting.size(), still_ms) > 0;
}

}

support::site_size small_site(unsigned rate)
{
    support::site_size size;
    size.m_rate = rate;
    size.m_memory_mb = memory_mb;
    size.m_descriptors = max_descriptors;
    return size;
}

crowd::crowd(const address& at, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        m_sockets.push_back(open_connection(at));
}

crowd::~crowd()
{
    for (const int s : m_sockets)
        close(s);
}

void crowd::exchange(std::string_view bytes, std::size_t piece, bool drains,
                     int still_ms)
{
    const short from = drains ? POLLIN : 0;
    std::vector<std::size_t> sent(m_sockets.size());
    std::vector<pollfd> waiting;
    for (const int s : m_sockets)
        waiting.push_back({s, static_cast<short>(from | POLLOUT), 0});
    std::array<char, 1U << 16U> dropped{};
    while (wait_for(waiting, still_ms))
        for (std::size_t i = 0; i < waiting.size(); ++i)
        {
            pollfd& p = waiting[i];
            if (p.fd < 0)
                continue;
            if ((p.revents & POLLIN) != 0 &&
                recv(p.fd, dropped.data(), dropped.size(), 0) <= 0)
                p.fd = -1;
            if ((p.revents & (POLLERR | POLLHUP)) != 0)
                p.fd = -1;
            if (p.fd < 0 || (p.revents & POLLOUT) == 0)
                continue;
            const std::string_view next = bytes.substr(sent[i], piece);
            const ssize_t count =
                ::send(p.fd, next.data(), next.size(), MSG_NOSIGNAL);
            sent[i] += count > 0 ? static_cast<std::size_t>(count) : 0;
            if (sent[i] == bytes.size())
                p.events = from;
            if (count < 0 || p.events == 0)
                p.fd = -1;
        }
}

void crowd::send(std::string_view bytes, std::size_t piece)
{
    exchange(bytes, piece, false, usual_still_ms);
}

void crowd::send_and_drain(std::string_view bytes, int still_ms)
{
    exchange(bytes, bytes.size(), true, still_ms);
}

void crowd::read_a_byte()
{
    char byte = 0;
    for (const int s : m_sockets)
        static_cast<void>(recv(s, &byte, 1, MSG_DONTWAIT));
}

void crowd::reset()
{
    for (const int s : m_sockets)
    {
        reset_when_closed(s);
        close(s);
    }
    m_sockets.clear();
}

std::size_t peak_memory_mb(pid_t process)
{
    constexpr std::size_t kb_per_mb = 1024;
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (in >> word)
        if (word == "VmHWM:")
        {
            std::size_t kb = 0;
            in >> kb;
            return kb / kb_per_mb;
        }
    throw std::runtime_error("the process has no status");
}

void await_peak(pid_t process)
{
    constexpr int unchanged_moments = 20;
    std::size_t peak = 0;
    int unchanged = 0;
    support::comes_true(
        [&]
        {
            const std::size_t now = peak_memory_mb(process);
            unchanged = now == peak ? unchanged + 1 : 0;
            peak = now;
            return unchanged >= unchanged_moments;
        });
}

std::size_t open_descriptors(pid_t process)
{
    const std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

double metric_value(const support::site& s, const std::string& name)
{
    const std::string text =
        "\n" + support::call_http(s.metrics_of(0), "GET", "/metrics").m_body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + name.size() + 2));
}

bool serves(const support::site& s)
{
    return support::comes_true(
        [&]
        {
            support::line_caller c(s.callers_of(0));
            return c.start("browse", "depot-key") == "READY" &&
                   c.ask("READ bear").starts_with("ROW ");
        });
}

}
