#ifndef BLUEBELLSPOKE_STORE_EPOCH_CODEC_HPP
#define BLUEBELLSPOKE_STORE_EPOCH_CODEC_HPP

#include <exception>
#include <string>
#include <string_view>

#include <decide/fleet_epoch.hpp>

namespace bluebellspoke
{

inline constexpr std::string_view epoch_object = "fleet/epoch";

/// An object that holds no epoch.
class epoch_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// An epoch as the object's value. Its number is the object's version, which
/// only the platform gives out.
std::string encode_epoch(const fleet_epoch& epoch);
/// Throws epoch_error.
fleet_epoch decode_epoch(std::uint64_t version, std::string_view value);

}

#endif
