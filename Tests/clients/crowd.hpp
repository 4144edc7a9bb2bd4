#ifndef BLUEBELLSPOKE_CLIENTS_CROWD_HPP
#define BLUEBELLSPOKE_CLIENTS_CROWD_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

#include <model/address.hpp>
#include <support/site.hpp>

namespace bluebellspoke::clients
{

/// Limits that the settings file of the tests' daemons names. The memory is
/// that of the smallest VM of the deployments described. The descriptors leave
/// 200 for sockets, as 200 are reserved for files.
inline constexpr std::size_t memory_mb = 112;
inline constexpr std::size_t max_descriptors = 400;
inline constexpr std::size_t max_open = 200;

/// One daemon under these limits.
support::site_size small_site(unsigned rate = 100'000);

/// Client connections that never wait for the other side.
class crowd
{
public:
    crowd(const address& at, std::size_t count);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends the bytes on every connection, in pieces of this size, as far as
    /// the other side takes them: until all is sent, or nothing moves for a
    /// second.
    void send(std::string_view bytes, std::size_t piece = 1U << 16U);
    /// Sends as above, and drops what arrives until nothing moves for this
    /// long.
    void send_and_drain(std::string_view bytes, int still_ms);
    /// Reads one byte on each connection that has some.
    void read_a_byte();
    /// Resets every connection.
    void reset();

private:
    void exchange(std::string_view bytes, std::size_t piece, bool drains,
                  int still_ms);

    std::vector<int> m_sockets;
};

/// The largest resident memory that the process has had so far, in MB.
std::size_t peak_memory_mb(pid_t process);
/// Waits until the process's peak hasn't changed for half a second.
void await_peak(pid_t process);
std::size_t open_descriptors(pid_t process);

/// The value of a metric of the first daemon; its labels are part of its name.
/// 0 if there is none.
double metric_value(const support::site& s, const std::string& name);

/// Is a session of an ordinary caller answered, now or soon?
bool serves(const support::site& s);

}

#endif
