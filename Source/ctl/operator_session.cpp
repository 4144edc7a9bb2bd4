#include <ctl/operator_session.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds call_limit{5};

template <class Value>
Value take(std::optional<platform_result<Value>>& result)
{
    if (const auto* failure = std::get_if<platform_failure>(&*result))
        throw platform_error(*failure);
    return std::move(std::get<Value>(*result));
}

template <class Value, class Call>
Value wait_for(operator_session& s, Call call)
{
    std::optional<platform_result<Value>> kept;
    call(
        [&](platform_result<Value>& result)
        {
            kept = std::move(result);
            stop(s.m_loop);
        });
    while (!kept)
        run(s.m_loop);
    return take<Value>(kept);
}

}

platform_error::platform_error(platform_failure failure) : m_failure(failure) {}

const char* platform_error::what() const noexcept
{
    return to_string(m_failure).data();
}

operator_session::operator_session(const address& platform, tls_context_ptr tls)
    : m_loop(make_loop()), m_platform(m_loop, platform, std::move(tls))
{
}

platform_listing list_objects(operator_session& s, std::string_view prefix)
{
    return wait_for<platform_listing>(s,
                                      [&](platform_done<platform_listing> done)
                                      {
                                          s.m_platform.list(prefix, call_limit,
                                                            std::move(done));
                                      });
}

platform_object get_object(operator_session& s, std::string_view name)
{
    return wait_for<platform_object>(s,
                                     [&](platform_done<platform_object> done)
                                     {
                                         s.m_platform.get(name, call_limit,
                                                          std::move(done));
                                     });
}

platform_object put_object(operator_session& s, std::string_view name,
                           const std::string& value, std::uint64_t if_version)
{
    return wait_for<platform_object>(s,
                                     [&](platform_done<platform_object> done)
                                     {
                                         s.m_platform.put(
                                             name, value, if_version,
                                             call_limit, std::move(done));
                                     });
}

}
