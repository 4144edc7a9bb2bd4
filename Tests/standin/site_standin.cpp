#include <array>
#include <cstdio>
#include <exception>
#include <span>

#include <options/options.hpp>
#include <standin/site_group.hpp>
#include <standin/site_store.hpp>
#include <standin/usage_service.hpp>

namespace
{

using namespace bluebellspoke;
using nlohmann::json;

constexpr int ok = 200;
constexpr int missing = 404;
constexpr int conflict = 409;

// Each endpoint registers itself when it starts; a test changes its entry.
void register_endpoint(standin::site_store& s, const standin::line_endpoint& e)
{
    put_object(s, "servers", e.m_id,
               {{"service", e.m_group->m_service},
                {"address", to_string(e.m_address)},
                {"zone", "zone-1"},
                {"version", "v1"},
                {"capacity", 4},
                {"state", e.m_draining ? "draining" : "ready"},
                {"db-role", e.m_primary ? "primary" : "replica"},
                {"sequence", 1},
                {"born", 1}});
}

int start_endpoint(standin::site_group& g, const json& body)
{
    const std::string id = body.at("id").get<std::string>();
    if (standin::find_endpoint(g, id) != nullptr)
        return conflict;
    add_endpoint(g, id, parse_address(body.at("address").get<std::string>()));
    return ok;
}

int change_endpoint(standin::site_store& s, standin::site_group& g,
                    const json& body)
{
    standin::line_endpoint* const e =
        standin::find_endpoint(g, body.at("id").get<std::string>());
    if (e == nullptr)
        return missing;
    if (body.contains("mute"))
        e->m_mute = body["mute"].get<bool>();
    if (body.contains("full"))
        e->m_full = body["full"].get<bool>();
    if (body.contains("dark"))
        standin::set_dark(*e, body["dark"].get<bool>());
    if (body.contains("deaf"))
        standin::set_deaf(*e, body["deaf"].get<bool>());
    if (body.contains("limit"))
        e->m_limit = body["limit"].get<std::size_t>();
    if (body.contains("up"))
        standin::set_up(*e, body["up"].get<bool>());
    if (body.contains("draining"))
    {
        e->m_draining = body["draining"].get<bool>();
        register_endpoint(s, *e);
    }
    if (!body.contains("listed"))
        return ok;
    if (body["listed"].get<bool>())
        register_endpoint(s, *e);
    else
        remove_object(s, "servers", e->m_id);
    return ok;
}

// The platform's order, and what tests do to the stand-in.
int take_other(standin::site_store& s, standin::site_group& g,
               const std::string& path, const json& body)
{
    if (path == "/promote")
        return standin::order_promotion(g, body.at("id").get<std::string>())
                   ? ok
                   : conflict;
    if (path == "/standin/promotion")
        return standin::is_promotion_pending(g) ? ok : missing;
    if (path == "/standin/promotion-delay")
    {
        g.m_promotion_delay =
            std::chrono::milliseconds(body.at("ms").get<unsigned>());
        return ok;
    }
    if (path == "/standin/store")
    {
        s.m_down = body.at("down").get<bool>();
        return ok;
    }
    if (path == "/standin/write")
        return standin::write_directly(g, body.at("item").get<std::string>(),
                                       body.at("data").get<std::string>())
                   ? ok
                   : conflict;
    if (path == "/standin/new-endpoint")
        return start_endpoint(g, body);
    return path == "/standin/endpoint" ? change_endpoint(s, g, body) : missing;
}

}

int main(int argc, char** argv)
{
    constexpr std::array options{
        option_spec{"listen", option_type::address, "", "address", "", 0, 0},
        option_spec{"service", option_type::text, "", "service", "", 0, 0}};
    try
    {
        const std::span<const char* const> arguments(
            argv, static_cast<std::size_t>(argc));
        const option_values values =
            parse_options({"site_standin", "Stand-in of the users' platform",
                           "0", "endpoints"},
                          options, arguments, process_environment());
        loop l = make_loop();
        standin::site_group g{&l, values.text("service"), {}};
        standin::site_store s(l);
        standin::usage_service usage;
        s.m_own = [&](evhttp_request* request, const std::string& path,
                      const std::string& body)
        {
            return standin::take_usage(usage, request, path, body);
        };
        s.m_other = [&](const std::string& path, const json& body)
        {
            return take_other(s, g, path, body);
        };
        int number = 0;
        for (const std::string& word : values.words())
        {
            register_endpoint(
                s, standin::add_endpoint(g, "i-" + std::to_string(++number),
                                         parse_address(word)));
        }
        serve_store(s, parse_address(values.text("listen")));
        std::puts("serving");
        std::fflush(stdout);
        run(l);
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
    return 0;
}
