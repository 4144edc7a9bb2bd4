#include <daemon/pool_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <decide/acknowledgement.hpp>
#include <decide/queue_admission.hpp>
#include <endpoint/statement_text.hpp>

namespace bluebellspoke
{

namespace
{

std::chrono::microseconds until(time_point when)
{
    const duration left =
        std::max(when - monotonic_clock::now(), duration::zero());
    return std::chrono::duration_cast<std::chrono::microseconds>(left);
}

void send_outcome(pool_state& p, pool_request& arrived,
                  std::variant<answer, refusal_error> result,
                  std::string transaction)
{
    p.m_boxes.m_front.post(request_outcome{
        std::move(arrived.m_context), arrived.m_operation, std::move(result),
        arrived.m_session, std::move(transaction)});
}

// Ending a request destroys it; nothing may touch it afterwards.
void forget(request& r)
{
    if (r.m_connection != nullptr)
        r.m_connection->m_request = nullptr;
    r.m_pool.m_requests.erase(r.m_arrived.m_context.m_exchange);
}

// A begin that was refused leaves no transaction behind.
void drop_begun_transaction(request& r)
{
    if (r.m_arrived.m_operation == request_operation::begin &&
        r.m_transaction != nullptr)
        fire(*r.m_transaction, transaction_event::expired);
}

void end_with(request& r, std::variant<answer, refusal_error> result)
{
    std::string transaction;
    if (std::holds_alternative<refusal_error>(result))
        drop_begun_transaction(r);
    else if (r.m_arrived.m_operation == request_operation::begin)
        transaction = r.m_transaction->m_id;
    send_outcome(r.m_pool, r.m_arrived, std::move(result),
                 std::move(transaction));
    forget(r);
}

// An attempt before this one may have taken effect, or may yet.
refusal_error as_known(const request& r, refusal_error refusal)
{
    if (r.m_in_doubt)
        refusal.m_outcome = refusal_outcome::outcome_unknown;
    return refusal;
}

refusal_error queue_refusal(const request& r)
{
    if (r.m_refusal)
        return as_known(r, *r.m_refusal);
    const bool leaderless = !find_primary(endpoint_views(r.m_group));
    return as_known(r, refusal_error(leaderless ? refusal::no_primary
                                                : refusal::deadline_exceeded));
}

// Once its position is known, the write was committed at the primary.
refusal_error doubt_refusal(const request& r)
{
    const bool committed = r.m_answer.m_position != log_position();
    return refusal_error(committed ? refusal::not_confirmed
                                   : refusal::deadline_exceeded,
                         refusal_outcome::outcome_unknown);
}

void enqueue_request(request& r)
{
    const queue_flow_key key = flow_key(r.m_pool, r.m_arrived);
    enqueue(queue_for(r.m_group, r.m_arrived), key.m_name, key.m_weight, r);
    record_enqueue(r, monotonic_clock::now());
}

void drop_connection(request& r)
{
    if (r.m_connection == nullptr)
        return;
    pooled_connection& c = *std::exchange(r.m_connection, nullptr);
    c.m_request = nullptr;
    c.m_pg->close();
}

void act(request& r, request_action action)
{
    switch (action)
    {
    case request_action::deliver:
        count_answer(r.m_pool.m_counts, r);
        note_served(r);
        end_with(r, std::move(r.m_answer));
        break;
    case request_action::await_replica:
        remove_from_queue(r);
        r.m_group.m_catching_up.push_back(r);
        break;
    case request_action::await_majority:
        r.m_group.m_confirming.push_back(r);
        r.m_deadline.start_once(
            std::min(until(r.m_arrived.m_deadline),
                     std::chrono::duration_cast<std::chrono::microseconds>(
                         r.m_arrived.m_context.m_workspace->m_confirm)));
        break;
    case request_action::requeue:
        r.m_deadline.start_once(until(r.m_arrived.m_deadline));
        enqueue_request(r);
        break;
    case request_action::stop_waiting:
        r.group_hook::unlink();
        break;
    case request_action::refuse_not_run:
        end_with(r, queue_refusal(r));
        break;
    case request_action::refuse_as_reported:
        end_with(r, as_known(r, *r.m_refusal));
        break;
    case request_action::refuse_unknown:
        end_with(r, doubt_refusal(r));
        break;
    case request_action::drop_connection:
        drop_connection(r);
        break;
    case request_action::forget:
        drop_begun_transaction(r);
        forget(r);
        break;
    }
}

routing_requirements need_of(const pool_request& arrived)
{
    routing_requirements need;
    need.m_kind = arrived.m_statement.m_kind;
    need.m_session_position = arrived.m_session;
    need.m_max_age = arrived.m_statement.m_max_age;
    need.m_primary_only = !stands_alone(arrived);
    const duration patience = arrived.m_context.m_workspace->m_lag_wait;
    if (need.m_session_position && patience > duration::zero())
        need.m_replica_wait_until = monotonic_clock::now() + patience;
    return need;
}

void prepare(request& r)
{
    const pool_request& arrived = r.m_arrived;
    r.m_need = need_of(arrived);
    if (r.m_pool.m_daemon.m_reads_at_primary)
        r.m_need.m_primary_only = true;
    if (arrived.m_operation == request_operation::statement)
        r.m_bound = bind_parameters(arrived.m_statement.m_text,
                                    arrived.m_statement.m_parameters);
    if (!arrived.m_statement.m_transaction.empty())
        r.m_transaction = &find_transaction(r.m_pool, arrived);
    if (arrived.m_operation == request_operation::begin)
        r.m_transaction = &begin_transaction(r.m_pool, r);
}

// Such a read stands aside: in the queue it would hold up others of its
// workspace that can run now.
bool waits_for_replica(const request& r)
{
    if (!r.m_need.m_session_position || !stands_alone(r.m_arrived))
        return false;
    const route chosen = choose_endpoint(endpoint_views(r.m_group), r.m_need,
                                         monotonic_clock::now());
    return chosen.m_outcome == route_outcome::wait_state;
}

pool_group& group_of(pool_state& p, const pool_request& arrived)
{
    const auto group =
        p.m_groups.find(arrived.m_context.m_workspace->m_service);
    if (group == p.m_groups.end())
        throw refusal_error(refusal::no_endpoint);
    return *group->second;
}

}

void accept_request(pool_state& p, pool_request&& arrived)
{
    try
    {
        check_key(p, arrived);
        pool_group& group = group_of(p, arrived);
        note_use(group);
        check_queue(group, arrived);
        const exchange_id exchange = arrived.m_context.m_exchange;
        auto made = std::make_unique<request>(p, group, std::move(arrived));
        request& r = *made;
        try
        {
            prepare(r);
        }
        catch (const refusal_error&)
        {
            arrived = std::move(r.m_arrived);
            throw;
        }
        p.m_requests.emplace(exchange, std::move(made));
        r.m_deadline.start_once(until(r.m_arrived.m_deadline));
        enqueue_request(r);
        if (waits_for_replica(r))
            fire(r, request_event::parked);
        else
            dispatch(group);
    }
    catch (const refusal_error& r)
    {
        send_outcome(p, arrived, r, {});
    }
}

void abandon_request(pool_state& p, exchange_id exchange)
{
    const auto found = p.m_requests.find(exchange);
    if (found != p.m_requests.end())
        fire(*found->second, request_event::abandoned);
}

void wake_reads(pool_group& g)
{
    for (auto next = g.m_catching_up.begin(); next != g.m_catching_up.end();)
    {
        request& r = *next++;
        if (waits_for_replica(r))
            continue;
        r.m_need.m_replica_wait_until.reset();
        fire(r, request_event::resumed);
    }
}

bool stands_alone(const pool_request& r) noexcept
{
    return r.m_operation == request_operation::statement &&
           r.m_statement.m_transaction.empty();
}

void fire(request& r, request_event event)
{
    pool_group& group = r.m_group;
    r.m_pool.m_charts.m_request.fire(r.m_state, event,
                                     [&r](request_action action)
                                     {
                                         act(r, action);
                                     });
    dispatch(group);
    report_if_drained(group.m_pool);
}

void fail(request& r, refusal code, refusal_outcome what_became,
          std::string detail)
{
    r.m_refusal = refusal_error(code, what_became, std::move(detail));
    fire(r, request_event::failed);
}

void confirm_requests(pool_group& g)
{
    if (g.m_confirming.empty())
        return;
    const std::vector<endpoint_view> views = endpoint_views(g);
    for (auto next = g.m_confirming.begin(); next != g.m_confirming.end();)
    {
        request& r = *next++;
        const log_position position = r.m_answer.m_position;
        if (is_confirmed(views, position))
            fire(r, request_event::confirmed);
        else if (is_superseded(views, position))
            settle_superseded(r);
    }
}

}
