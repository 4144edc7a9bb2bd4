#ifndef BLUEBELLSPOKE_LOAD_MEASURES_HPP
#define BLUEBELLSPOKE_LOAD_MEASURES_HPP

#include <string>

#include <nlohmann/json.hpp>

namespace bluebellspoke::load
{

/// The users' five measures, each with its baseline in the same run; only the
/// one named, when `only` isn't empty. Throws experiment_error, spawn_error.
nlohmann::json run_measures(const std::string& only);
/// The rows of docs/MEASURES.md.
std::string measures_table(const nlohmann::json& measures);

}

#endif
