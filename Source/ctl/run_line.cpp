#include <ctl/run_line.hpp>

namespace bluebellspoke
{

namespace
{

printed fail(const std::exception& e, exit_code code)
{
    return {{}, std::string(e.what()) + "\n", code};
}

}

printed run_line(operator_session& s, words line, bool as_json)
{
    try
    {
        const command_result result = run_command(s, line);
        return {as_json ? result.m_json.dump(2) + "\n" : result.m_text,
                {},
                result.m_code};
    }
    catch (const usage_error& e)
    {
        return fail(e, exit_code::usage);
    }
    catch (const settings_error& e)
    {
        return fail(ctl_error(ctl_fault::settings_refused, e.what()),
                    exit_code::refused);
    }
    catch (const ctl_error& e)
    {
        return fail(e, describe(e.m_fault).m_code);
    }
}

}
