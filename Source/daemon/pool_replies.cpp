#include <daemon/pool_state.hpp>

#include <chrono>
#include <utility>

#include <decide/acknowledgement.hpp>
#include <endpoint/endpoint_sql.hpp>

namespace bluebellspoke
{

namespace
{

void release(pooled_connection& c)
{
    c.m_request = nullptr;
    c.m_running = false;
    c.m_heard_at = monotonic_clock::now();
    --c.m_endpoint.m_view.m_running;
}

bool is_lone_write(const request& r)
{
    return stands_alone(r.m_arrived) &&
           r.m_arrived.m_statement.m_kind == statement_kind::write;
}

/// True when running the request once more can do no harm.
bool may_retry(const request& r)
{
    constexpr unsigned most_attempts = 3;
    const statement& s = r.m_arrived.m_statement;
    const bool harmless = s.m_kind == statement_kind::read || s.m_idempotent ||
                          !s.m_request_id.empty();
    return harmless && stands_alone(r.m_arrived) &&
           r.m_attempts < most_attempts;
}

bool pay_for_retry(request& r)
{
    const bool paid =
        try_take_retry(r.m_group.m_retries, monotonic_clock::now());
    if (!paid)
        ++r.m_pool.m_counts.m_retries_refused;
    return paid;
}

// Whatever is refused later, the first attempt may have taken effect.
void retry_in_doubt(request& r)
{
    r.m_in_doubt = r.m_in_doubt || is_lone_write(r);
    r.m_answer = {};
    fire(r, request_event::retried);
}

// What was not committed is rolled back with its connection.
void take_lost(request& r)
{
    const bool uncommitted =
        !stands_alone(r.m_arrived) &&
        r.m_arrived.m_operation != request_operation::commit;
    if (may_retry(r) && pay_for_retry(r))
        retry_in_doubt(r);
    else
        fail(r, refusal::endpoint_lost,
             uncommitted ? refusal_outcome::not_run
                         : refusal_outcome::outcome_unknown);
}

// It was committed, or nearly, by a primary that has been replaced since.
void take_superseded(request& r)
{
    if (may_retry(r) && pay_for_retry(r))
        retry_in_doubt(r);
    else
        fail(r, refusal::not_confirmed, refusal_outcome::outcome_unknown);
}

// The endpoint's state is unknown until it is asked again.
void distrust(pool_endpoint& e)
{
    e.m_view.m_state.reset();
    hasten_poll(e);
}

// Nothing ran before the term was checked, so another try is safe whatever the
// statement. A begin's first transaction went with its refusal.
bool try_elsewhere(request& r)
{
    const bool begins = r.m_arrived.m_operation == request_operation::begin;
    const bool may = begins || stands_alone(r.m_arrived);
    if (!may || !pay_for_retry(r))
        return false;
    if (begins)
        r.m_transaction = &begin_transaction(r.m_pool, r);
    fire(r, request_event::retried);
    return true;
}

// The endpoint rolled the statement back, so an error means that it did not
// run; only a commit's error leaves that open.
void take_error(request& r, pool_endpoint& e, const pg_error& error)
{
    const bool commits = r.m_arrived.m_operation == request_operation::commit;
    const bool wrong_term = error.m_sqlstate == wrong_term_sqlstate;
    if (wrong_term)
        distrust(e);
    if (wrong_term && try_elsewhere(r))
        return;
    fail(r, wrong_term ? refusal::no_primary : refusal::endpoint_error,
         commits ? refusal_outcome::outcome_unknown : refusal_outcome::not_run,
         error.m_sqlstate + ": " + error.m_message);
}

bool needs_majority(const request& r)
{
    return is_lone_write(r) ||
           r.m_arrived.m_operation == request_operation::commit;
}

void read_answer(request& r, pg_reply& reply, const endpoint_state& state)
{
    constexpr std::size_t statement_table = 1; // After "begin".
    if (is_lone_write(r))
    {
        write_outcome outcome = parse_write(reply.m_tables.at(statement_table));
        r.m_answer.m_table = std::move(outcome.m_table);
        r.m_answer.m_first_outcome = outcome.m_first_outcome;
    }
    else if (r.m_arrived.m_operation == request_operation::statement)
    {
        r.m_answer.m_table = std::move(reply.m_tables.at(statement_table));
    }
    r.m_answer.m_from_replica = state.m_role == endpoint_role::replica;
}

// Inside a transaction the state is not asked for: only its commit moves the
// session on.
bool carries_state(const request& r)
{
    return stands_alone(r.m_arrived) ||
           r.m_arrived.m_operation == request_operation::commit;
}

// The endpoint may have been replaced or restarted since it was chosen.
bool is_behind(const request& r, const endpoint_state& state)
{
    const auto& mark = r.m_need.m_session_position;
    return mark && !has_replayed(state, *mark) && !primary_covers(state, *mark);
}

void take_stale(request& r, pool_endpoint& e)
{
    distrust(e);
    if (may_retry(r) && pay_for_retry(r))
        fire(r, request_event::retried);
    else
        fail(r, refusal::no_endpoint, refusal_outcome::not_run);
}

void take_answer(request& r, pool_endpoint& e, pg_reply& reply)
{
    if (!carries_state(r))
    {
        if (r.m_arrived.m_operation == request_operation::statement)
            r.m_answer.m_table = std::move(reply.m_tables.at(0));
        fire(r, request_event::answered);
        return;
    }
    const endpoint_state state =
        parse_state(reply.m_tables.back(), r.m_handed_over_at);
    read_answer(r, reply, state);
    if (!needs_majority(r))
    {
        if (is_behind(r, state))
            take_stale(r, e);
        else
            fire(r, request_event::answered);
        return;
    }
    const auto position = committed_position(state, r.m_term);
    if (!position)
        take_superseded(r);
    else
    {
        r.m_answer.m_position = *position;
        fire(r, request_event::committed);
    }
    learn_state(e, state);
    hasten_polls(e.m_group);
}

void tell_transaction(transaction& t, const request& r, bool sound)
{
    const bool ends = r.m_arrived.m_operation == request_operation::commit ||
                      r.m_arrived.m_operation == request_operation::rollback;
    if (!sound && r.m_arrived.m_operation == request_operation::begin)
        fire(t, transaction_event::expired);
    else
        fire(t, ends ? transaction_event::end_done
                     : transaction_event::statement_done);
}

// An endpoint answers the commit of a transaction in which a statement failed
// with success, and rolls it back.
bool is_undone_commit(const request& r, const pg_reply& reply)
{
    return r.m_arrived.m_operation == request_operation::commit &&
           reply.m_rolled_back;
}

void take_for_request(request& r, pool_endpoint& e, pg_reply& reply)
{
    if (!reply.m_lost)
        count_endpoint_answer(e.m_group.m_pool.m_counts, r);
    try
    {
        if (reply.m_lost)
            take_lost(r);
        else if (is_undone_commit(r, reply))
            fail(r, refusal::endpoint_error, refusal_outcome::not_run);
        else if (reply.m_error)
            take_error(r, e, *reply.m_error);
        else
            take_answer(r, e, reply);
    }
    catch (const std::exception&)
    {
        // An answer that can't be read may still have taken effect.
        fail(r, refusal::endpoint_lost, refusal_outcome::outcome_unknown);
    }
}

}

void settle_superseded(request& r)
{
    take_superseded(r);
}

void take_reply(pooled_connection& c, pg_reply& reply)
{
    pool_endpoint& e = c.m_endpoint;
    request* r = std::exchange(c.m_request, nullptr);
    transaction* t = c.m_transaction;
    release(c);
    if (r != nullptr)
        r->m_connection = nullptr;
    if (t != nullptr && r != nullptr && !reply.m_lost)
        tell_transaction(*t, *r, !reply.m_error);
    // An error inside "begin; …" leaves the connection in a failed
    // transaction, which only a rollback ends.
    else if (t == nullptr && !reply.m_lost && c.m_pg->in_transaction())
        c.m_pg->submit(rollback_query(),
                       [&e](pg_reply&)
                       {
                           dispatch(e.m_group);
                       });
    if (r != nullptr)
        take_for_request(*r, e, reply);
    if (!fits_share(e))
    {
        return_connections(e);
        report_applied(e.m_group.m_pool);
    }
    dispatch(e.m_group);
}

}
