#include <peer/nesting_depth.hpp>

#include <string>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

// The parser calls these for each element and stops at the first false.
class nesting_counter final : public nlohmann::json_sax<json>
{
public:
    explicit nesting_counter(std::size_t levels) : m_levels(levels) {}

    bool is_exceeded() const noexcept
    {
        return m_exceeded;
    }

    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }
    bool string(string_t&) override
    {
        return true;
    }
    bool binary(binary_t&) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return enter();
    }
    bool key(string_t&) override
    {
        return true;
    }
    bool end_object() override
    {
        return leave();
    }
    bool start_array(std::size_t) override
    {
        return enter();
    }
    bool end_array() override
    {
        return leave();
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool enter()
    {
        m_exceeded = ++m_depth > m_levels;
        return !m_exceeded;
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_levels;
    std::size_t m_depth = 0;
    bool m_exceeded = false;
};

}

bool is_nested_beyond(std::string_view cbor, std::size_t levels)
{
    nesting_counter counter(levels);
    json::sax_parse(cbor, &counter, json::input_format_t::cbor);
    return counter.is_exceeded();
}

}
