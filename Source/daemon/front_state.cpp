#include <daemon/front_state.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include <decide/access.hpp>
#include <decide/session_token.hpp>
#include <front/statement_codec.hpp>
#include <peer/loan_id.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::string_view statement_path = "/v1/statement";
constexpr std::string_view open_path = "/v1/open/";
constexpr std::string_view transactions_path = "/v1/transactions";
constexpr std::string_view transaction_prefix = "/v1/transactions/";

struct requested
{
    request_operation m_operation = request_operation::statement;
    statement m_statement;
    std::string_view m_open_workspace; ///< Empty: a key is needed.
};

requested parse_transaction_end(std::string_view rest)
{
    requested r;
    const std::size_t slash = rest.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
        throw refusal_error(refusal::not_found);
    const std::string_view verb = rest.substr(slash + 1);
    if (verb == "commit")
        r.m_operation = request_operation::commit;
    else if (verb == "rollback")
        r.m_operation = request_operation::rollback;
    else
        throw refusal_error(refusal::not_found);
    r.m_statement.m_kind = statement_kind::write;
    r.m_statement.m_transaction = rest.substr(0, slash);
    return r;
}

requested parse_request(const http2_request& request)
{
    if (request.m_method != "POST")
        throw refusal_error(refusal::not_found);
    const std::string_view path = path_only(request.m_path);
    requested r;
    if (path == statement_path)
    {
        r.m_statement = decode_statement(request.m_body);
    }
    else if (path.starts_with(open_path))
    {
        r.m_statement = decode_statement(request.m_body);
        r.m_open_workspace = path.substr(open_path.size());
    }
    else if (path == transactions_path)
    {
        r.m_operation = request_operation::begin;
        r.m_statement.m_kind = statement_kind::write;
    }
    else if (path.starts_with(transaction_prefix))
    {
        r = parse_transaction_end(path.substr(transaction_prefix.size()));
    }
    else
    {
        throw refusal_error(refusal::not_found);
    }
    return r;
}

access_grant check_access(const front_state& f, const requested& r,
                          const http2_request& request)
{
    if (!r.m_open_workspace.empty())
        return check_open_access(*f.m_settings, r.m_open_workspace,
                                 r.m_statement.m_kind);
    return check_key_access(*f.m_settings, bearer_key(request.m_headers));
}

std::optional<log_position> read_session(const front_state& f,
                                         const resolved_workspace& workspace,
                                         const http2_request& request)
{
    const std::string_view token =
        find_header(request.m_headers, session_header);
    if (token.empty())
        return std::nullopt;
    const auto position = verify_session_token(
        token, workspace.m_name, workspace.m_service, f.m_session_keys);
    if (!position)
        throw refusal_error(refusal::foreign_session);
    return position;
}

time_point deadline_of(const statement& s, const resolved_workspace& workspace,
                       time_point now)
{
    const bool asked = s.m_time_limit > duration::zero();
    const duration limit =
        asked ? std::min(s.m_time_limit, workspace.m_time_limit)
              : workspace.m_time_limit;
    return now + limit;
}

std::string seal_outcome(const front_state& f, const request_outcome& outcome,
                         const answer& a)
{
    log_position position = a.m_position;
    if (outcome.m_session)
        position = std::max(position, *outcome.m_session);
    const resolved_workspace& workspace = *outcome.m_context.m_workspace;
    return make_session_token({workspace.m_name, workspace.m_service, position},
                              f.m_session_keys);
}

http2_response encode_outcome(const front_state& f,
                              const request_outcome& outcome)
{
    if (const auto* r = std::get_if<refusal_error>(&outcome.m_result))
        return encode_refusal(*r);
    const answer& a = std::get<answer>(outcome.m_result);
    http2_response response;
    response.m_headers = {
        {"content-type", "application/json"},
        {std::string(session_header), seal_outcome(f, outcome, a)}};
    if (outcome.m_operation == request_operation::begin)
        response.m_body =
            nlohmann::json{{"transaction", outcome.m_transaction}}.dump();
    else
        response.m_body = encode_answer(a);
    return response;
}

}

front_state::front_state(const daemon_settings& daemon, mailboxes& boxes)
    : m_daemon(daemon), m_boxes(boxes), m_loop(make_loop()),
      m_tick(m_loop,
             [this]
             {
                 tick_rates(*this);
             })
{
    m_rates.m_first_loan = random_loan_id();
}

void admit(front_state& f, arrived_request& arrived, request_context& context)
{
    if (arrived.m_oversized)
        throw refusal_error(refusal::body_too_large);
    // The time decides, not the last message: the control task may be late.
    const time_point now = monotonic_clock::now();
    if (!f.m_settings || f.m_session_keys.m_contexts.empty() ||
        now > f.m_standing_until)
        throw refusal_error(refusal::configuration_stale);
    requested r = parse_request(arrived.m_request);
    // What belongs to a transaction under way is let through to its end.
    if (f.m_draining && r.m_statement.m_transaction.empty())
        throw refusal_error(refusal::draining);
    if (f.m_zone_out && r.m_statement.m_transaction.empty())
        throw refusal_error(refusal::zone_out);
    const access_grant grant = check_access(f, r, arrived.m_request);
    context = {arrived.m_exchange,
               f.m_settings,
               grant.m_workspace,
               {},
               monotonic_clock::now()};
    if (grant.m_key != nullptr)
        context.m_key = grant.m_key->m_digest;
    pool_request request;
    request.m_context = context;
    request.m_operation = r.m_operation;
    request.m_session = read_session(f, *grant.m_workspace, arrived.m_request);
    request.m_deadline = deadline_of(r.m_statement, *grant.m_workspace, now);
    request.m_statement = std::move(r.m_statement);
    const bool ends_transaction = r.m_operation == request_operation::commit ||
                                  r.m_operation == request_operation::rollback;
    if (!ends_transaction)
        admit_by_rate(f, std::move(request));
    else if (!f.m_boxes.m_pool.try_post(std::move(request)))
        throw refusal_error(refusal::overloaded);
}

void answer_request(front_state& f, request_outcome& outcome)
{
    const request_context& context = outcome.m_context;
    const std::string_view workspace = context.m_workspace->m_name;
    if (const auto* r = std::get_if<refusal_error>(&outcome.m_result))
        count_refused(f.m_counts, workspace, *r);
    else
        count_served(f.m_counts, workspace,
                     monotonic_clock::now() - context.m_arrived_at);
    note_begun(f, outcome);
    f.m_server->respond(outcome.m_context.m_exchange,
                        encode_outcome(f, outcome));
}

std::string describe_front(const front_state& f)
{
    return nlohmann::json{
        {"settings_version", f.m_settings ? f.m_settings->m_version : 0},
        {"connections", f.m_server->open_connections()},
        {"open_requests", f.m_server->open_exchanges()},
        {"draining", f.m_draining},
        {"zone_out", f.m_zone_out},
        {"standing", monotonic_clock::now() <= f.m_standing_until},
        {"transactions", f.m_transactions.size()},
        {"buckets", describe_rates(f)}}
        .dump();
}

}
