#ifndef BLUEBELLSPOKE_OPTIONS_OPTIONS_HPP
#define BLUEBELLSPOKE_OPTIONS_OPTIONS_HPP

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

enum class option_type : std::uint8_t
{
    text,
    address,          ///< IP:port.
    optional_address, ///< IP:port; may be left out.
    count,            ///< A whole number in a range.
    folder,           ///< An existing folder.
    file,             ///< An existing file; may be left out.
    flag,             ///< Given or not; takes no value.
};

/// One setting of a program: the flag `--name` and the environment variable
/// `BLUEBELLSPOKE_NAME`; the flag goes first.
struct option_spec
{
    std::string_view m_name;
    option_type m_type = option_type::text;
    std::string_view m_default; ///< Empty: it must be given, but for flags.
    std::string_view m_meaning;
    std::string_view m_unit;
    std::uint64_t m_least = 0;
    std::uint64_t m_most = 0;
};

enum class option_fault_kind : std::uint8_t
{
    missing,
    not_an_address,
    not_a_number,
    out_of_range,
    no_such_folder,
    no_such_file,
    bad_command_line,
};

std::string_view to_string(option_fault_kind kind) noexcept;

struct option_fault
{
    option_fault_kind m_kind;
    std::string m_name;
    std::string m_value;
    std::string m_allowed; ///< What it may be, with its unit.
};

/// Settings were refused; names every fault at once.
class options_error : public std::exception
{
public:
    explicit options_error(std::vector<option_fault> faults);
    const char* what() const noexcept override;

    std::vector<option_fault> m_faults;

private:
    std::string m_text;
};

/// The program was asked for its help or version, which has been printed.
class options_exit : public std::exception
{
};

/// Checked values by name.
class option_values
{
public:
    explicit option_values(std::map<std::string, std::string, std::less<>> v);

    const std::string& text(std::string_view name) const;
    std::uint64_t count(std::string_view name) const;
    bool given(std::string_view name) const;
    const std::vector<std::string>& words() const noexcept;

    std::vector<std::string> m_words; ///< Arguments that are no settings.

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

using environment = std::function<std::optional<std::string>(std::string_view)>;

/// The process's own environment.
environment process_environment();

/// Name of the environment variable for a setting.
std::string variable_name(std::string_view option);

struct program_description
{
    std::string_view m_name;
    std::string_view m_summary;
    std::string_view m_version;
    std::string_view m_words; ///< Name of further arguments; empty: none.
};

/// Throws options_error when some of these settings, but not all of them, were
/// given.
void check_together(const option_values& values,
                    std::span<const option_spec> specs,
                    std::span<const std::string_view> names);

/// Reads and checks all settings. Throws options_error, options_exit.
option_values parse_options(const program_description& program,
                            std::span<const option_spec> specs,
                            std::span<const char* const> arguments,
                            const environment& variables);

}

#endif
