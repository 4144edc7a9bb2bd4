#ifndef BLUEBELLSPOKE_SESSION_SESSION_EXPLAIN_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_EXPLAIN_HPP

#include <decide/explanation.hpp>
#include <session/session_task_state.hpp>

namespace bluebellspoke
{

/// Returns where the request would go now, and why, by the decisions that
/// statements use; docs/design/explain.md. Changes nothing.
explain_result explain(session_task_state& t, const explain_query& query);

}

#endif
