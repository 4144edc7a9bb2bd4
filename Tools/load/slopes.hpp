#ifndef BLUEBELLSPOKE_LOAD_SLOPES_HPP
#define BLUEBELLSPOKE_LOAD_SLOPES_HPP

#include <string>

#include <nlohmann/json.hpp>

namespace bluebellspoke::load
{

/// What a daemon costs at several sizes: connections, rates, daemons, settings
/// or groups; just one of them when `only` isn't empty.
nlohmann::json run_slopes(const std::string& only);

}

#endif
