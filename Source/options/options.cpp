#include <options/options.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <utility>

#include <tclap/CmdLine.h>

#include <model/address.hpp>

namespace bluebellspoke
{

namespace
{

std::string allowed_text(const option_spec& spec)
{
    switch (spec.m_type)
    {
    case option_type::address:
    case option_type::optional_address:
        return "IP:port";
    case option_type::count:
        return std::to_string(spec.m_least) + " to " +
               std::to_string(spec.m_most) + " " + std::string(spec.m_unit);
    case option_type::folder:
        return "an existing folder";
    case option_type::file:
        return "an existing file";
    case option_type::text:
    case option_type::flag:
        break;
    }
    return "text";
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<option_fault_kind> check_value(const option_spec& spec,
                                             const std::string& value)
{
    if (value.empty() && (spec.m_type == option_type::file ||
                          spec.m_type == option_type::optional_address))
        return std::nullopt;
    if (value.empty())
        return option_fault_kind::missing;
    if (spec.m_type == option_type::file &&
        !std::filesystem::is_regular_file(value))
        return option_fault_kind::no_such_file;
    if (spec.m_type == option_type::folder &&
        !std::filesystem::is_directory(value))
        return option_fault_kind::no_such_folder;
    if (spec.m_type == option_type::count)
    {
        const auto number = to_number(value);
        if (!number)
            return option_fault_kind::not_a_number;
        if (*number < spec.m_least || *number > spec.m_most)
            return option_fault_kind::out_of_range;
    }
    if (spec.m_type == option_type::address ||
        spec.m_type == option_type::optional_address)
    {
        try
        {
            parse_address(value);
        }
        catch (const address_error&)
        {
            return option_fault_kind::not_an_address;
        }
    }
    return std::nullopt;
}

std::string help_text(const option_spec& spec)
{
    std::string text(spec.m_meaning);
    text.append(" (").append(allowed_text(spec));
    if (!spec.m_default.empty())
        text.append("; default ").append(spec.m_default);
    return text.append("; ").append(variable_name(spec.m_name)).append(")");
}

struct command_line
{
    TCLAP::CmdLine m_line;
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> m_values;
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> m_flags;
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> m_words;

    explicit command_line(const program_description& program)
        : m_line(std::string(program.m_summary), ' ',
                 std::string(program.m_version))
    {
        m_line.setExceptionHandling(false);
    }
};

void declare(command_line& line, const option_spec& spec)
{
    const std::string name(spec.m_name);
    if (spec.m_type == option_type::flag)
    {
        line.m_flags.push_back(std::make_unique<TCLAP::SwitchArg>(
            "", name, help_text(spec), line.m_line));
        return;
    }
    line.m_values.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
        "", name, help_text(spec), false, "",
        std::string(spec.m_unit.empty() ? "value" : spec.m_unit), line.m_line));
}

void parse_line(command_line& line, std::span<const char* const> arguments)
{
    std::vector<std::string> copy(arguments.begin(), arguments.end());
    try
    {
        line.m_line.parse(copy);
    }
    catch (const TCLAP::ExitException&)
    {
        throw options_exit();
    }
    catch (const TCLAP::ArgException& e)
    {
        throw options_error({{option_fault_kind::bad_command_line, e.argId(),
                              e.error(), "see --help"}});
    }
}

std::string given_value(const command_line& line, const option_spec& spec)
{
    for (const auto& value : line.m_values)
        if (value->getName() == spec.m_name && value->isSet())
            return value->getValue();
    for (const auto& flag : line.m_flags)
        if (flag->getName() == spec.m_name && flag->getValue())
            return "1";
    return {};
}

}

std::string_view to_string(option_fault_kind kind) noexcept
{
    switch (kind)
    {
    case option_fault_kind::missing:
        return "missing";
    case option_fault_kind::not_an_address:
        return "not_an_address";
    case option_fault_kind::not_a_number:
        return "not_a_number";
    case option_fault_kind::out_of_range:
        return "out_of_range";
    case option_fault_kind::no_such_folder:
        return "no_such_folder";
    case option_fault_kind::no_such_file:
        return "no_such_file";
    case option_fault_kind::bad_command_line:
        return "bad_command_line";
    }
    return "bad_command_line";
}

options_error::options_error(std::vector<option_fault> faults)
    : m_faults(std::move(faults))
{
    for (const option_fault& fault : m_faults)
    {
        m_text.append(fault.m_name).append(": ");
        m_text.append(to_string(fault.m_kind));
        if (!fault.m_value.empty())
            m_text.append(": '").append(fault.m_value).append("'");
        m_text.append(" (allowed: ").append(fault.m_allowed).append(")\n");
    }
}

const char* options_error::what() const noexcept
{
    return m_text.c_str();
}

option_values::option_values(std::map<std::string, std::string, std::less<>> v)
    : m_values(std::move(v))
{
}

const std::string& option_values::text(std::string_view name) const
{
    return m_values.find(name)->second;
}

std::uint64_t option_values::count(std::string_view name) const
{
    return to_number(text(name)).value_or(0);
}

bool option_values::given(std::string_view name) const
{
    const auto found = m_values.find(name);
    return found != m_values.end() && !found->second.empty();
}

const std::vector<std::string>& option_values::words() const noexcept
{
    return m_words;
}

environment process_environment()
{
    return [](std::string_view name) -> std::optional<std::string>
    {
        const char* value = std::getenv(std::string(name).c_str());
        if (value == nullptr)
            return std::nullopt;
        return value;
    };
}

std::string variable_name(std::string_view option)
{
    std::string name = "BLUEBELLSPOKE_";
    for (const char c : option)
        name.push_back(c == '-' ? '_'
                                : static_cast<char>(std::toupper(
                                      static_cast<unsigned char>(c))));
    return name;
}

option_values parse_options(const program_description& program,
                            std::span<const option_spec> specs,
                            std::span<const char* const> arguments,
                            const environment& variables)
{
    command_line line(program);
    for (const option_spec& spec : specs)
        declare(line, spec);
    if (!program.m_words.empty())
        line.m_words = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
            std::string(program.m_words), "what to do", false,
            std::string(program.m_words), line.m_line);
    parse_line(line, arguments);
    std::map<std::string, std::string, std::less<>> values;
    std::vector<option_fault> faults;
    for (const option_spec& spec : specs)
    {
        std::string value = given_value(line, spec);
        if (value.empty())
            value = variables(variable_name(spec.m_name)).value_or("");
        if (value.empty())
            value = spec.m_default;
        const bool is_flag = spec.m_type == option_type::flag;
        const auto fault = is_flag ? std::nullopt : check_value(spec, value);
        if (fault)
            faults.push_back(
                {*fault, std::string(spec.m_name), value, allowed_text(spec)});
        values.emplace(spec.m_name, std::move(value));
    }
    if (!faults.empty())
        throw options_error(std::move(faults));
    option_values result(std::move(values));
    if (line.m_words)
        result.m_words = line.m_words->getValue();
    return result;
}

void check_together(const option_values& values,
                    std::span<const option_spec> specs,
                    std::span<const std::string_view> names)
{
    const auto is_given = [&](std::string_view name)
    {
        return values.given(name);
    };
    if (std::none_of(names.begin(), names.end(), is_given))
        return;
    std::vector<option_fault> faults;
    for (const option_spec& spec : specs)
        if (std::find(names.begin(), names.end(), spec.m_name) != names.end() &&
            !is_given(spec.m_name))
            faults.push_back({option_fault_kind::missing,
                              std::string(spec.m_name), "",
                              allowed_text(spec)});
    if (!faults.empty())
        throw options_error(std::move(faults));
}

}
