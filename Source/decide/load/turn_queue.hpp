#ifndef BLUEBELLSPOKE_DECIDE_LOAD_TURN_QUEUE_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_TURN_QUEUE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <decide/fair_queue.hpp>
#include <decide/load/turn_class.hpp>
#include <decide/load/turn_rate.hpp>
#include <decide/service_time.hpp>

namespace bluebellspoke
{

/// Turns that more urgent lines get while a line waits, until it is served
/// before them. Of eight turns a single lower priority then has one: enough
/// that none starves, at the price of at most an eighth of the turns of a line
/// that could use them all.
inline constexpr std::uint32_t max_turns_passed_over = 7;

/// How many turns a workspace may have more than the one of those waiting that
/// is furthest behind, before its statements go after those of all others.
/// Chosen by the simulation in Tests/decide: see docs/design/turns.md.
inline constexpr double max_workspace_lead = 16;

/// The statements of one class that wait.
struct turn_line
{
    fair_queue m_queue; ///< Fair among the workspaces.
    /// Turns of other lines since its last one, while it waited.
    std::uint32_t m_passed_over = 0;
    service_time m_statement_time;   ///< Of a single statement.
    service_time m_transaction_time; ///< From its first statement to its end.
};

/// Statements that wait for the endpoints of a group, or for the tokens of a
/// rate. With one class only, it is a fair_queue.
struct turn_queue
{
    std::map<turn_class, turn_line> m_lines;
    std::array<turn_rate, turn_kind_count> m_rates; ///< By turn_kind.
    /// Turns of each workspace in all lines, while any statement waits. One
    /// that begins to wait has as many as the one furthest behind at least.
    std::map<std::string, double, std::less<>> m_workspace_turns;
};

/// Adds an item to the line of its class. The queue doesn't own the item: its
/// destructor removes it.
void enqueue(turn_queue& q, const turn_class& c, std::string_view workspace,
             double weight, fair_queue_hook& item, time_point now);
/// Number of items that wait.
std::size_t backlog(const turn_queue& q) noexcept;
std::size_t backlog(const turn_queue& q, turn_kind kind) noexcept;

/// Returns the number of turns beyond which a workspace is ahead of its fair
/// share.
double most_fair_turns(const turn_queue& q) noexcept;
/// True if the workspace has had more turns. A line whose kind isn't told apart
/// knows no such workspace.
bool is_ahead(const turn_queue& q, const turn_class& c,
              std::string_view workspace, double fair_turns) noexcept;

/// Lines are asked for a turn in rounds, in each by priority.
enum class turn_round : std::uint8_t
{
    overdue, ///< Lines that were passed over too often.
    fair,    ///< All lines, without the workspaces that are ahead.
    rest,    ///< The workspaces that are ahead.
};

/// Returns the item to serve next, without removing it: in each round, of the
/// first items of the most urgent line, the one that fair_queue serves next and
/// that `ready` accepts; then of the next line. Null if `ready` accepts none.
/// The last call of `ready` that returned true is the one for the result.
template <class Ready>
fair_queue_hook* next_turn(turn_queue& q, Ready ready)
{
    const double fair_turns = most_fair_turns(q);
    for (const turn_round round :
         {turn_round::overdue, turn_round::fair, turn_round::rest})
        for (auto& entry : q.m_lines)
        {
            const turn_class& c = entry.first;
            turn_line& line = entry.second;
            const bool is_overdue = line.m_passed_over >= max_turns_passed_over;
            if (line.m_queue.m_backlog == 0 ||
                (round == turn_round::overdue && !is_overdue))
                continue;
            const auto is_eligible = [&](fair_queue_hook& item)
            {
                const bool ahead =
                    is_ahead(q, c, item.m_flow->m_workspace, fair_turns);
                return (round == turn_round::overdue ||
                        ahead == (round == turn_round::rest)) &&
                       ready(item);
            };
            if (fair_queue_hook* next = next_item(line.m_queue, is_eligible))
                return next;
        }
    return nullptr;
}

/// Calls `f` with every item that waits.
template <class F>
void for_each_item(turn_queue& q, F f)
{
    for (auto& [c, line] : q.m_lines)
        for (auto& [name, flow] : line.m_queue.m_flows)
            for (fair_queue_hook& item : flow.m_items)
                f(item);
}

/// Records that a statement of the class gets a turn, whether it has waited or
/// not. `at_primary`: it takes what a statement that only the primary can run
/// could have had.
void record_turn(turn_queue& q, const turn_class& c, std::string_view workspace,
                 bool at_primary, time_point now);
/// Removes an item that is now served, charges its workspace for it, and
/// records its turn.
void take_turn(turn_queue& q, const turn_class& c, fair_queue_hook& item,
               bool at_primary, time_point now);
/// Records that the endpoint didn't run the statement after all.
void retract_turn(turn_queue& q, const turn_class& c);
/// Updates the measured rates after items have left without a turn.
void update_backlog(turn_queue& q, time_point now);
/// True if a statement waits that may go before one of this class that arrives:
/// it must not be served before next_turn() was asked.
bool must_queue(const turn_queue& q, const turn_class& c,
                std::string_view workspace) noexcept;

}

#endif
