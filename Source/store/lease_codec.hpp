#ifndef BLUEBELLSPOKE_STORE_LEASE_CODEC_HPP
#define BLUEBELLSPOKE_STORE_LEASE_CODEC_HPP

#include <string>
#include <string_view>

#include <decide/group_lease.hpp>

namespace bluebellspoke
{

/// Name of the platform's object that holds the promotion lease of a group.
std::string lease_object_name(std::string_view group);

/// Decodes a lease from JSON. Malformed JSON counts as a released lease, which
/// is safe: the lease only keeps daemons from obstructing each other.
group_lease_record decode_lease(std::string_view json);
std::string encode_lease(const group_lease_record& record);

}

#endif
