#ifndef BLUEBELLSPOKE_DECIDE_DUTY_LEASE_HPP
#define BLUEBELLSPOKE_DECIDE_DUTY_LEASE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <model/clock.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// How often the holder of the duty renews it.
inline constexpr std::chrono::milliseconds duty_renewal{600};
/// How long the duty lasts from before the last renewal that was answered:
/// three renewals.
inline constexpr std::chrono::milliseconds duty_time{1800};
/// How long an order may still be under way after its sender gave it up.
inline constexpr std::chrono::milliseconds order_time{1000};
/// How long another process sees no renewal before it takes the duty:
/// duty_time, an order under way, and 1 % for the clocks.
inline constexpr std::chrono::milliseconds duty_lapse{2830};

/// A promotion that was decided on and may have been ordered.
struct ordered_promotion
{
    std::string m_endpoint;
    term_number m_term = 0;

    friend bool operator==(const ordered_promotion&,
                           const ordered_promotion&) = default;
};

/// The object that says who may promote.
struct duty_record
{
    std::string m_holder; ///< A node's name; empty: released.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_token = 0;    ///< Grows when the holder changes.
    std::uint64_t m_renewals = 0; ///< Makes each renewal a change.
    std::map<std::string, ordered_promotion, std::less<>>
        m_ordered; ///< By service; those that may be under way.
    /// By service: how many logs its commits may be on. A holder that has just
    /// started doesn't see those whose endpoints are away.
    std::map<std::string, std::uint32_t, std::less<>> m_places;
};

/// The record as this process first saw it at its revision.
struct duty_sighting
{
    std::uint64_t m_revision = 0; ///< 0: the object doesn't exist.
    duty_record m_record;
    time_point m_first_seen_at{};
};

/// Keeps the older sighting's time while the object hasn't changed.
duty_sighting note_duty(const std::optional<duty_sighting>& before,
                        std::uint64_t revision, duty_record record,
                        time_point now);

/// True when this process should try to become the holder.
bool may_take_duty(const duty_sighting& seen, std::string_view self,
                   std::uint64_t incarnation, time_point now);

/// The record by which this process becomes the holder.
duty_record take_duty(const duty_record& before, std::string_view self,
                      std::uint64_t incarnation);

/// True when the process may order by a renewal that was sent at `renewed_at`.
bool may_order(time_point renewed_at, time_point now) noexcept;

}

#endif
