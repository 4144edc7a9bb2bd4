#ifndef BLUEBELLSPOKE_SITE_SCRIPTED_ENDPOINT_HPP
#define BLUEBELLSPOKE_SITE_SCRIPTED_ENDPOINT_HPP

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <model/address.hpp>
#include <model/clock.hpp>

namespace bluebellspoke::support
{

/// What an endpoint answers to orders.
struct endpoint_script
{
    std::string m_status;                ///< The row that answers an order.
    std::chrono::milliseconds m_delay{}; ///< Before each answer.
    bool m_answers = true;               ///< False: it keeps silent.
    bool m_closes_on_status = false;     ///< Closes instead of an answer.
};

struct received_order
{
    std::string m_order; ///< Such as `PAUSE 4`.
    time_point m_at{};
};

/// An endpoint that answers orders as a test tells it to, on a thread of its
/// own.
class scripted_endpoint
{
public:
    explicit scripted_endpoint(const endpoint_script& script);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    const address& local() const;
    /// From the next order on.
    void follow(const endpoint_script& script);
    std::vector<received_order> orders() const;
    /// True if it has received such an order.
    bool has_received(const std::string& order) const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
