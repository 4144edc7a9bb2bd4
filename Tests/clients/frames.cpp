#include <clients/frames.hpp>

namespace bluebellspoke::clients
{

void append_frame(std::string& out, frame_type type, char flags, unsigned id,
                  std::string_view payload)
{
    const auto append_number = [&](std::size_t number, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            out.push_back(static_cast<char>(number >> (8 * i) & 0xff));
    };
    append_number(payload.size(), 3);
    out.push_back(static_cast<char>(type));
    out.push_back(flags);
    append_number(id, 4);
    out.append(payload);
}

std::string begin_http2()
{
    std::string out = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    append_frame(out, frame_type::settings, 0, 0, {});
    return out;
}

}
