#ifndef BLUEBELLSPOKE_CLIENTS_FRAMES_HPP
#define BLUEBELLSPOKE_CLIENTS_FRAMES_HPP

#include <string>
#include <string_view>

namespace bluebellspoke::clients
{

enum class frame_type : char
{
    data = 0,
    headers = 1,
    settings = 4,
};

inline constexpr char end_of_stream = 1;
inline constexpr char end_of_headers = 4;

/// Appends an HTTP/2 frame.
void append_frame(std::string& out, frame_type type, char flags, unsigned id,
                  std::string_view payload);
/// What a client sends first.
std::string begin_http2();

/// POST http /, by their numbers in the static table; the authority is "x".
inline constexpr std::string_view post_header = "\x83\x86\x84\x41\x01x";

}

#endif
