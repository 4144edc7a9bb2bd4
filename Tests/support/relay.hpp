#ifndef BLUEBELLSPOKE_SUPPORT_RELAY_HPP
#define BLUEBELLSPOKE_SUPPORT_RELAY_HPP

#include <atomic>
#include <chrono>
#include <memory>
#include <string_view>

#include <model/address.hpp>

namespace bluebellspoke::support
{

/// A loopback relay to one address, with a one-way latency and cuts, on a
/// thread of its own. A cut way holds its bytes back, as a network partition
/// does, and loses none: they go on when it is healed.
class relay
{
public:
    explicit relay(const address& target,
                   std::chrono::microseconds latency = {});
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Where callers connect to.
    address local() const;
    /// Holds back what goes to the target, and what comes from it.
    void cut(bool to_target, bool from_target);
    void heal();
    /// True when these bytes have gone to the target in one piece. The last
    /// 32 MB are known.
    bool passed(std::string_view bytes) const;
    /// Closes every connection that runs through it.
    void drop_connections();
    /// The open connections carry nothing from now on, not even their end;
    /// new ones work.
    void silence_connections();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
