#ifndef BLUEBELLSPOKE_SUPPORT_BACKGROUND_WRITER_HPP
#define BLUEBELLSPOKE_SUPPORT_BACKGROUND_WRITER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <model/address.hpp>

namespace bluebellspoke::support
{

struct background_options
{
    std::vector<address> m_daemons;          ///< In turn.
    std::string m_key;                       ///< The caller's.
    std::string m_table;                     ///< Written to.
    std::chrono::milliseconds m_period{5};   ///< Between two writes.
    std::chrono::milliseconds m_limit{5000}; ///< For each answer.
    bool m_request_ids = true; ///< Each write has one and is repeated.
    bool m_read_back = true;   ///< At the next daemon, once acknowledged.
};

enum class write_fate : std::uint8_t
{
    waiting,
    acknowledged,
    not_run, ///< Said so by a refusal.
    unknown, ///< Said so by a refusal, or no answer came.
};

/// What became of one write: a row of its own, named by m_row.
struct recorded_write
{
    std::string m_row;
    write_fate m_fate = write_fate::waiting;
    bool m_stale = false; ///< Read back in its session, and not seen.
    bool m_mixed = false; ///< Read back, and another row's value came.
    bool m_cut = false;   ///< Its connection ended before the answer.
};

/// Writes rows at a steady pace, whatever becomes of those before, and records
/// what each was answered. A write with a request id whose outcome is unknown
/// is repeated at another daemon.
class background_writer
{
public:
    explicit background_writer(background_options options);
    ~background_writer();
    background_writer(const background_writer&) = delete;
    background_writer& operator=(const background_writer&) = delete;

    /// Waits for what is under way and returns the record.
    std::vector<recorded_write> finish();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
