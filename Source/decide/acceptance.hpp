#ifndef BLUEBELLSPOKE_DECIDE_ACCEPTANCE_HPP
#define BLUEBELLSPOKE_DECIDE_ACCEPTANCE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A daemon's reply to a status query.
struct member_report
{
    std::string_view m_name;
    bool m_answered = false;
    std::uint64_t m_known = 0;    ///< Newest settings version known to it.
    std::uint64_t m_in_force = 0; ///< Settings version that it applies.
    bool m_refuses = false;       ///< It rejected a settings node.
    bool m_in_epoch = false;      ///< It is a member of the fleet's epoch.
};

/// Input of evaluate_acceptance().
struct acceptance_view
{
    std::uint64_t m_version = 0; ///< Of the edit, as stored by the platform.
    std::span<const member_report> m_members;
    /// Time since a majority was first observed to apply the edit.
    std::optional<duration> m_majority_age;
};

enum class acceptance : std::uint8_t
{
    accepted,    ///< Every daemon that may serve applies the edit.
    propagating, ///< A daemon may still serve with older settings.
    refused,     ///< A daemon received the edit and rejected it.
};

/// Returns true when the daemon applies `version` or a newer one and rejects no
/// node.
bool has_in_force(const member_report& report, std::uint64_t version) noexcept;
/// Returns true when the edit is in force at a majority of all daemons, and at
/// a majority of the members of the fleet's epoch if there are any.
bool has_majority(const acceptance_view& view) noexcept;
/// Determines whether an edit is final. docs/design/configuration.md gives the
/// reasoning.
acceptance evaluate_acceptance(const acceptance_view& view) noexcept;

}

#endif
