#ifndef BLUEBELLSPOKE_STORE_LEASE_CODEC_HPP
#define BLUEBELLSPOKE_STORE_LEASE_CODEC_HPP

#include <string>
#include <string_view>

#include <decide/group_lease.hpp>

namespace bluebellspoke
{

/// The platform's object that says who may promote in a group.
std::string lease_object_name(std::string_view group);

/// Reads a lease's JSON. What isn't one reads as released: the lease only
/// saves daemons from getting in each other's way.
lease_record decode_lease(std::string_view json);
std::string encode_lease(const lease_record& record);

}

#endif
