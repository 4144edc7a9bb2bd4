#ifndef BLUEBELLSPOKE_DECIDE_ACCEPTANCE_HPP
#define BLUEBELLSPOKE_DECIDE_ACCEPTANCE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// What one daemon said when it was asked how it stands.
struct member_report
{
    std::string_view m_name;
    bool m_answered = false;
    std::uint64_t m_known = 0;    ///< Newest settings version it knows of.
    std::uint64_t m_in_force = 0; ///< Version that it goes by.
    bool m_refuses = false;       ///< Some node could not be taken.
    bool m_in_epoch = false;      ///< The fleet's epoch names it.
};

struct acceptance_view
{
    std::uint64_t m_version = 0; ///< Of the edit, which is in the platform.
    std::span<const member_report> m_members;
    /// Since a majority was first seen to have it in force.
    std::optional<duration> m_since_majority;
};

enum class acceptance : std::uint8_t
{
    accepted, ///< In force everywhere, or where it isn't nobody serves.
    spreading,
    refused, ///< A daemon knows it and could not take it.
};

/// True when the daemon goes by the version.
bool has_in_force(const member_report& report, std::uint64_t version) noexcept;
/// A majority of all, and of those that the fleet's epoch names, goes by it.
bool has_majority(const acceptance_view& view) noexcept;
/// Whether an edit holds for good. docs/design/configuration.md says why.
acceptance judge_acceptance(const acceptance_view& view) noexcept;

}

#endif
