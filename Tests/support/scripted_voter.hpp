#ifndef BLUEBELLSPOKE_SUPPORT_SCRIPTED_VOTER_HPP
#define BLUEBELLSPOKE_SUPPORT_SCRIPTED_VOTER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <model/address.hpp>

namespace bluebellspoke::support
{

/// A member of a cell that votes as a test tells it to, and is never a
/// candidate itself, on a thread of its own.
class scripted_voter
{
public:
    explicit scripted_voter(std::string name);
    ~scripted_voter();
    scripted_voter(const scripted_voter&) = delete;
    scripted_voter& operator=(const scripted_voter&) = delete;

    /// Where a candidate reaches it.
    address local() const;
    /// Whether it grants its vote from now on. At first it doesn't.
    void set_granting(bool grants);
    /// What it says of its own start from now on: its incarnation, and whether
    /// it has asked for no votes. At first it says nothing.
    void set_restart(std::uint64_t incarnation, bool is_unused);
    /// The incarnation that the last request of a candidate confirms; nothing
    /// before one has arrived since set_restart().
    std::optional<std::uint64_t> confirmed_incarnation() const;
    /// Whether the sender of the last request didn't lead the cell.
    bool is_asked_by_candidate() const;
    /// The time from its last vote before the first request in which the
    /// candidate names itself the leader to that request; nothing before one
    /// has arrived since it was last told whether to grant votes.
    std::optional<std::chrono::milliseconds> announcement_delay() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
