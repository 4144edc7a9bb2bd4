#ifndef BLUEBELLSPOKE_STANDIN_ENDPOINT_JOURNAL_HPP
#define BLUEBELLSPOKE_STANDIN_ENDPOINT_JOURNAL_HPP

#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

#include <standin/sql_store.hpp>

namespace bluebellspoke::standin
{

struct endpoint_server;

/// The journal can't be opened, read or written.
class journal_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// What an endpoint keeps across a restart: JSON lines, each one a change of
/// its log or of its place in the group, written before anyone is told of it.
struct endpoint_journal
{
    std::ofstream m_out; ///< Closed: the endpoint keeps nothing.
};

/// Brings back what the journal in the folder holds and opens it for more.
/// Returns false when it holds nothing yet. Throws journal_error.
bool open_journal(endpoint_server& s, const std::filesystem::path& folder);

/// Each throws journal_error.
void record_entry(endpoint_server& s, const log_entry& entry);
void record_truncation(endpoint_server& s, std::uint64_t length);
/// Fence, vote, role, and whom it follows.
void record_place(endpoint_server& s);

/// An entry as the journal and the replication write it.
nlohmann::json to_json(const log_entry& entry);
log_entry to_entry(const nlohmann::json& line);

}

#endif
