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

/// The kinds of objects that the product reads or writes.
enum class stored_kind : std::uint8_t
{
    configuration,
    endpoints,
    evacuations,
    duties,
    members,
};

std::string_view to_string(stored_kind kind) noexcept;

struct stored_object
{
    std::string m_name;
    std::uint64_t m_revision = 0; ///< 0: to be created.
    std::string m_value;          ///< As site_codec reads it.
};

struct stored_change
{
    stored_object m_object;
    bool m_deleted = false;
};

enum class store_failure : std::uint8_t
{
    unreachable,  ///< No answer; a write may have been done, or be done later.
    unavailable,  ///< Nothing was done.
    conflict,     ///< The object is not at that revision.
    history_gone, ///< A watch has to begin anew with a list.
    unreadable,
};

std::string_view to_string(store_failure failure) noexcept;

/// Objects of one kind, or what has changed among them.
struct store_answer
{
    std::optional<store_failure> m_failure;
    std::vector<stored_change> m_changes;
    std::uint64_t m_revision = 0; ///< Of the store, for the next watch.
};

struct write_answer
{
    std::optional<store_failure> m_failure;
    std::optional<stored_object> m_object; ///< As it is now, where it's known.
};

using store_done = std::function<void(store_answer&)>;
using write_done = std::function<void(write_answer&)>;

/// The calls of an object store; an adapter gives its own set of functions.
struct object_store
{
    /// All objects of a kind. `stale_ok` takes an older and cheaper answer.
    std::function<void(stored_kind, bool stale_ok, store_done)> m_list;
    /// What changes after `revision`, or nothing within `wait`.
    std::function<void(stored_kind, std::uint64_t revision, duration wait,
                       store_done)>
        m_watch;
    /// Creates the object, or replaces it at its revision.
    std::function<void(stored_kind, stored_object, write_done)> m_write;
    /// Removes the object if it is still at its revision.
    std::function<void(stored_kind, stored_object, write_done)> m_remove;
};

/// A process that limits are divided among.
struct member_record
{
    std::string m_name;
    address m_address; ///< For its peers.
    std::string m_zone;
    double m_processor = 0; ///< Cores that its VM may use; 0: unknown.

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

/// What stored values hold. Readers return nothing for a value that can't be
/// read.
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
