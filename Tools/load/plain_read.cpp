#include <load/plain_read.hpp>

namespace bluebellspoke::load
{

http2_request make_proxied_read(const support::fleet& f)
{
    support::put_node(f, "load",
                      {{"kind", "workspace"},
                       {"service", "group"},
                       {"rate", 1'000'000},
                       {"burst", 1'000'000}});
    const support::session s{support::grant_key(f, "load", "load"), {}};
    http2_request request =
        support::statement_request(s, {{"statement", plain_read}});
    support::caller c(f.m_daemons.front().m_callers);
    if (!support::eventually(
            [&]
            {
                return c.send(request).m_status == 200;
            }))
        throw support::spawn_error();
    return request;
}

}
