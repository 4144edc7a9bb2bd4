#ifndef BLUEBELLSPOKE_SUPPORT_SCRIPTED_MEMBER_HPP
#define BLUEBELLSPOKE_SUPPORT_SCRIPTED_MEMBER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <model/address.hpp>
#include <model/usage.hpp>

namespace bluebellspoke::support
{

/// A member of a fleet without cells that says of its clock and its requests
/// what a test tells it to, on a thread of its own.
class scripted_member
{
public:
    /// Its clock is off by `skew`.
    scripted_member(std::string name, const address& daemon,
                    std::chrono::milliseconds skew);
    ~scripted_member();
    scripted_member(const scripted_member&) = delete;
    scripted_member& operator=(const scripted_member&) = delete;

    /// Where the daemon reaches it.
    address local() const;
    /// Until it is told to say its counts, it declines questions for them. All
    /// windows are final.
    void say(const usage_windows& windows);
    /// Sends its counts unasked, as a message that arrives twice.
    void send_again();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
