#ifndef BLUEBELLSPOKE_LOAD_EXPERIMENT_HPP
#define BLUEBELLSPOKE_LOAD_EXPERIMENT_HPP

#include <cstdint>
#include <exception>
#include <filesystem>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <support/fleet.hpp>

namespace bluebellspoke::load
{

/// One workspace: what it may do and what it does. Rates are a second's.
struct workspace_load
{
    std::string m_name;
    double m_rate = 1000; ///< Limit over the whole fleet.
    double m_burst = 1000;
    double m_weight = 1;
    double m_load = 10;                   ///< Requests that arrive, on average.
    double m_writes = 0;                  ///< Share of them.
    std::optional<unsigned> m_max_age_ms; ///< Reads accept data this old.
    /// Each arrival is a transaction that is open for this long; absent: a
    /// statement of its own.
    std::optional<unsigned> m_transaction_ms;
    std::size_t m_sessions = 16;
    std::optional<std::size_t> m_daemon; ///< All go there; else in turn.
    double m_from = 0;                   ///< Seconds.
    double m_to = std::numeric_limits<double>::infinity();
};

enum class step_kind : std::uint8_t
{
    kill_endpoint,
    start_endpoint,
    kill_group, ///< All its endpoints.
    start_group,
    zone_out,
    zone_in,
    kill_daemon,
    start_daemon,
};

/// Something that happens to the system under load.
struct experiment_step
{
    double m_at = 0; ///< Seconds.
    step_kind m_kind{};
    std::size_t m_index = 0;
    std::string m_zone;
};

struct experiment
{
    std::string m_name;
    std::uint64_t m_seed = 1;
    double m_seconds = 10;
    unsigned m_time_limit_ms = 5000;
    support::fleet_options m_fleet;
    std::vector<workspace_load> m_workspaces;
    std::vector<experiment_step> m_steps;
};

/// An experiment file that can't be used; names the field.
class experiment_error : public std::exception
{
public:
    explicit experiment_error(std::string field);
    const char* what() const noexcept override;

private:
    std::string m_text;
};

/// Throws experiment_error.
experiment read_experiment(const nlohmann::json& text);
experiment read_experiment_file(const std::filesystem::path& file);

}

#endif
