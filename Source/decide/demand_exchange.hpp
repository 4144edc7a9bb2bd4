#ifndef BLUEBELLSPOKE_DECIDE_DEMAND_EXCHANGE_HPP
#define BLUEBELLSPOKE_DECIDE_DEMAND_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <decide/demand_share.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// The weights that this process announces, and the version at which each
/// changed last.
struct demand_history
{
    std::uint64_t m_version = 0;
    demand_weights m_weights;
    std::map<std::string, std::uint64_t, std::less<>> m_changed_at;
};

/// The weights that differ between version m_since and m_version, with their
/// values at m_version; a weight of 0 among them was removed. All weights if
/// m_since is 0.
struct demand_delta
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_since = 0;
    demand_weights m_weights;
};

/// What a message says of the weights that its sender received.
struct demand_ack
{
    std::uint64_t m_incarnation = 0; ///< Of the receiver's weights.
    std::uint64_t m_version = 0;
    bool m_takes_deltas = false; ///< False for earlier builds.
    std::string m_address;       ///< Of the sender.
    time_point m_received_at{};  ///< Zero: there was no message.
};

/// What one process exchanged with one other, which announces its weights under
/// one incarnation after the other.
struct demand_exchange
{
    std::uint64_t m_incarnation = 0; ///< Of m_weights.
    std::uint64_t m_version = 0;     ///< Of m_weights, which are complete.
    demand_weights m_weights;
    /// The incarnation before; what arrives of it is late.
    std::uint64_t m_replaced_incarnation = 0;
    demand_ack m_ack;
};

enum class delta_result : std::uint8_t
{
    held,       ///< The exchange holds these weights, or newer ones.
    replaced,   ///< They are of an incarnation that has been replaced.
    lacks_base, ///< They change weights that this process doesn't have.
};

/// Takes over an announcement that replaces the one before.
void record_announcement(demand_history& h, const demand_announcement& a);
/// Returns what changed since a version; everything if that is 0 or isn't one
/// of these weights.
demand_delta make_delta(const demand_history& h, std::uint64_t incarnation,
                        std::uint64_t since);
/// Applies a delta. Unless the result is delta_result::held, the exchange is
/// unchanged, and the message counts as one that didn't arrive: neither its
/// weights nor its acknowledgement are used.
delta_result apply_delta(demand_exchange& x, const demand_delta& d);
/// Forgets the weights and acknowledgements of a process that has ended.
void end_exchange(demand_exchange& x);

bool is_acked(const demand_exchange& x, std::uint64_t incarnation,
              std::uint64_t version);
/// Returns the version since which a message to this address lists the changes;
/// 0: it lists all weights.
std::uint64_t delta_base(const demand_exchange& x, std::uint64_t incarnation,
                         std::string_view address, time_point now);

}

#endif
