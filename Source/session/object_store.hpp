#ifndef BLUEBELLSPOKE_SESSION_OBJECT_STORE_HPP
#define BLUEBELLSPOKE_SESSION_OBJECT_STORE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <decide/duty_lease.hpp>
#include <model/clock.hpp>
#include <model/site.hpp>

namespace bluebellspoke
{

/// The kinds of objects in the platform's store that the daemon reads or
/// writes.
enum class stored_kind : std::uint8_t
{
    configuration,
    endpoints,
    evacuations,
    duties,
    usage_duties, ///< Of its own, as its record is long and changes often.
    members,
};

std::string_view to_string(stored_kind kind) noexcept;

/// One object, with the revision at which it was last written.
struct stored_object
{
    std::string m_name;
    std::uint64_t m_revision = 0; ///< 0 creates the object.
    std::string m_value; ///< Encoded as site_codec reads and writes it.
};

/// An object that was written or deleted.
struct stored_change
{
    stored_object m_object;
    bool m_deleted = false;
};

/// Why a call to the store failed.
enum class store_failure : std::uint8_t
{
    unreachable,  ///< No answer; a write may have taken effect, or do so later.
    unavailable,  ///< The call had no effect.
    conflict,     ///< The object is not at that revision.
    history_gone, ///< Changes since that revision are lost; list again.
    unreadable,
};

std::string_view to_string(store_failure failure) noexcept;

/// All objects of one kind, or the changes to them.
struct store_answer
{
    std::optional<store_failure> m_failure;
    std::vector<stored_change> m_changes;
    std::size_t m_unreadable = 0; ///< Objects without a readable name.
    std::uint64_t m_revision = 0; ///< Of the store; the next watch's start.
};

/// The result of a write or a removal.
struct write_answer
{
    std::optional<store_failure> m_failure;
    std::optional<stored_object> m_object; ///< Its current state, if known.
};

using store_callback = std::function<void(store_answer&)>;
using write_callback = std::function<void(write_answer&)>;

/// The operations of an object store. Each adapter supplies its own functions.
struct object_store
{
    /// Lists all objects of a kind. `allow_stale` permits an older answer,
    /// which is cheaper.
    std::function<void(stored_kind, bool allow_stale, store_callback)> m_list;
    /// Answers with the changes after `revision`, or with none after `wait`.
    std::function<void(stored_kind, std::uint64_t revision, duration wait,
                       store_callback)>
        m_watch;
    /// Creates the object, or replaces it if it is still at its revision.
    std::function<void(stored_kind, stored_object, write_callback)> m_write;
    /// Removes the object if it is still at its revision.
    std::function<void(stored_kind, stored_object, write_callback)> m_remove;
};

/// One of the processes that limits are divided among.
struct member_record
{
    std::string m_name;
    address m_address; ///< Where its peers reach it.
    std::string m_zone;
    double m_cores = 0; ///< CPU cores available to its VM; 0 if unknown.
    /// Where it accepts sessions of other processes; port 0: nowhere.
    address m_session_address{};

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

/// Reads and writes the values of stored objects. Readers return null or
/// nullopt for a value that they can't read.
struct site_codec
{
    site_config_ptr (*m_read_config)(std::string_view value);
    std::optional<site_endpoint> (*m_read_endpoint)(std::string_view id,
                                                    std::string_view value);
    std::optional<duty_record> (*m_read_duty)(std::string_view value);
    std::string (*m_write_duty)(const duty_record& record);
    std::optional<member_record> (*m_read_member)(std::string_view name,
                                                  std::string_view value);
    std::string (*m_write_member)(const member_record& record);
};

}

#endif
