#ifndef BLUEBELLSPOKE_SESSION_DUTY_CLIENT_HPP
#define BLUEBELLSPOKE_SESSION_DUTY_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include <decide/duty_lease.hpp>
#include <model/clock.hpp>
#include <model/site.hpp>
#include <session/object_store.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

/// What a task does when its duty changes hands or its record is stored.
struct duty_handlers
{
    /// This process has acquired the duty; the record is the stored one.
    std::function<void(const duty_record&)> m_on_gained;
    std::function<void()> m_on_lost;
    /// Puts what the task has decided into a record that is about to be
    /// written.
    std::function<void(duty_record&)> m_fill;
    /// All that the task has decided is stored.
    std::function<void()> m_on_recorded;
};

/// A renewal that was sent. The `m_renewals` of a record tells which one of
/// this process's writes it is.
struct sent_duty_write
{
    std::uint64_t m_renewals = 0;
    std::uint64_t m_revision = 0; ///< Of the record that it follows.
    time_point m_sent_at{};
    std::uint64_t m_changes = 0; ///< Those that it carries.
};

/// The client of one duty: competes for it, renews it and stores its record.
struct duty_client
{
    std::string_view m_name; ///< Of the duty and of its object in the store.
    stored_kind m_kind = stored_kind::duties;
    const site_settings& m_settings;
    const site_codec& m_codec;
    const object_store& m_store;
    duty_handlers m_handlers;

    std::uint64_t m_incarnation = 0;
    std::function<time_point()> m_now = boot_now;
    std::optional<duty_observation> m_seen{}; ///< Empty: not read yet.
    time_point m_renewed_at{}; ///< Zero unless this process holds the duty.
    /// The task has the record of the holder before it. Until then what the
    /// task itself would store must not replace that.
    bool m_has_taken_over = false;
    /// When this process first saw the record that it acquired the duty by.
    time_point m_predecessor_seen_at{};
    std::size_t m_writes_in_flight = 0;
    bool m_read_pending = false;
    time_point m_read_sent_at{};
    time_point m_last_write_at{};
    /// A write was sent that neither its answer nor a read has told of yet.
    bool m_is_unchecked = false;
    time_point m_unanswered_at{}; ///< When a write was last given up.
    /// The renewals that may prove this process's right when they are seen.
    std::vector<sent_duty_write> m_sent{};
    std::uint64_t m_last_renewals = 0; ///< Of the last record written.
    store_pace m_pace{};
    time_point m_next_call_at{}; ///< When the next call is due.
    time_point
        m_avoid_stale_until{}; ///< Until then lists don't allow stale answers.
    std::uint64_t m_changes = 0;       ///< Times that record_duty was called.
    bool m_record_is_outdated = false; ///< The stored record is out of date.
    /// False: the duty isn't acquired, and is released if it is held.
    bool m_may_hold = true;
    bool m_stopping = false;
    std::uint64_t m_calls = 0; ///< Calls to the store.
    /// Writes without an answer since the last one that succeeded.
    std::uint64_t m_unanswered_writes = 0;
};

/// Returns true if the last record that was seen names this process; it may be
/// too old to act on.
bool is_recorded_holder(const duty_client& d);
/// Returns true while this process may act as the holder.
bool holds_duty(const duty_client& d, time_point now);
/// Makes the call to the store that is due, and ends an expired duty.
void advance_duty(duty_client& d, time_point now);
/// Stores what the task has decided, at once if no write awaits its answer;
/// m_on_recorded tells when it is stored.
void record_duty(duty_client& d);
/// Releases the duty because the process stops, and calls `done`.
void release_duty(duty_client& d, std::function<void()> done);

}

#endif
