#ifndef BLUEBELLSPOKE_STORE_EPOCH_CODEC_HPP
#define BLUEBELLSPOKE_STORE_EPOCH_CODEC_HPP

#include <exception>
#include <string>
#include <string_view>

#include <decide/fleet_epoch.hpp>

namespace bluebellspoke
{

/// Name of the platform's object that holds the fleet epoch.
inline constexpr std::string_view epoch_object = "fleet/epoch";

/// The object's value isn't a valid fleet epoch.
class epoch_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// Encodes an epoch as the object's value. The value omits the epoch's number,
/// which is the object's version and is assigned by the platform.
std::string encode_epoch(const fleet_epoch& epoch);
/// Decodes the object's value; `version` becomes the epoch's number. Throws
/// epoch_error.
fleet_epoch decode_epoch(std::uint64_t version, std::string_view value);

}

#endif
