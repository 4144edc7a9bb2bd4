#ifndef BLUEBELLSPOKE_SESSION_PROMOTION_ORDERS_HPP
#define BLUEBELLSPOKE_SESSION_PROMOTION_ORDERS_HPP

#include <cstdint>
#include <functional>
#include <string>

namespace bluebellspoke
{

/// An order to make an endpoint the primary of its group.
struct promotion_order
{
    std::string m_service;
    std::string m_endpoint;
    std::string m_holder;      ///< The node that holds the failover duty.
    std::uint64_t m_token = 0; ///< The holder's fencing token.
};

/// The result of sending a promotion order.
enum class promotion_order_result : std::uint8_t
{
    accepted,
    not_running, ///< The endpoint can't be promoted.
    refused,     ///< It had no effect and may be sent again.
    unknown,     ///< No answer; it may have taken effect, or do so later.
};

using promotion_callback = std::function<void(promotion_order_result)>;
/// Sends one order, and calls back with its result.
using send_promotion_function =
    std::function<void(const promotion_order&, promotion_callback)>;

}

#endif
