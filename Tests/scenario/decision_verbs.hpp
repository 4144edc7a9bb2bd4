#ifndef BLUEBELLSPOKE_SCENARIO_DECISION_VERBS_HPP
#define BLUEBELLSPOKE_SCENARIO_DECISION_VERBS_HPP

#include <scenario/lua_host.hpp>

namespace bluebellspoke::scenario
{

/// Adds the decisions of Source/decide as the table `decide`. Each takes and
/// gives plain values; times are milliseconds of a logical clock.
void add_decision_verbs(lua_host& host);

}

#endif
