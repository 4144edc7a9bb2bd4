#ifndef BLUEBELLSPOKE_LOAD_LOAD_PLAYER_HPP
#define BLUEBELLSPOKE_LOAD_LOAD_PLAYER_HPP

#include <load/experiment.hpp>
#include <load/load_result.hpp>

namespace bluebellspoke::load
{

/// Starts the system that the experiment describes, plays its arrivals and
/// steps, and ends the system. Throws spawn_error.
load_result play(const experiment& e);

}

#endif
