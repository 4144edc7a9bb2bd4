#ifndef BLUEBELLSPOKE_DECIDE_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_SHARE_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <decide/fleet_epoch.hpp>

namespace bluebellspoke
{

/// The right of one daemon to its shares of the fleet-wide limits.
struct share_right
{
    fleet_epoch m_epoch;
    fleet_member m_self;
    bool m_settled = false;  ///< Larger shares than the former epoch's hold.
    bool m_new_name = false; ///< No process before it was a member.
    time_point m_from{};     ///< Not before: loans of the process before it.
    time_point m_until{};    ///< Not after: its standing ends.
    std::vector<std::string> m_peers; ///< Who may be asked for loans.
};

/// One immutable copy for all resources that a task divides by it.
struct shared_right
    : boost::intrusive_ref_counter<shared_right, boost::thread_unsafe_counter>
{
    explicit shared_right(share_right right) : m_right(std::move(right)) {}

    const share_right m_right;
};

using shared_right_ptr = boost::intrusive_ptr<const shared_right>;

shared_right_ptr share(share_right right);
/// True when both give the same shares, whatever the time.
bool divides_alike(const share_right& a, const share_right& b);

/// One member's part of a limit. The parts of all members add up to the limit;
/// which members get the remainder differs by resource.
std::uint32_t divide_limit(std::uint32_t limit,
                           std::span<const fleet_member> members,
                           const fleet_member& self, std::string_view resource);

/// What the daemon may use of a limit by right, whatever the time.
std::uint32_t share_by_right(const share_right& right, std::uint32_t limit,
                             std::string_view resource);

/// The same as of now: nothing before m_from or after m_until.
std::uint32_t share_now(const share_right& right, std::uint32_t limit,
                        std::string_view resource, time_point now);

/// The order in which `self` asks the others for a resource, different for
/// each daemon, so that not all ask the same one first.
std::vector<std::string> lenders_in_order(const share_right& right,
                                          std::string_view resource);

}

#endif
