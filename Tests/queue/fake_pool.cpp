#include "fake_pool.hpp"

#include <algorithm>
#include <memory>

namespace bluebellspoke::queue_simulation
{

namespace
{

struct arrival
{
    time_point m_at{};
    const fake_load* m_load = nullptr;
};

struct fake_request : fair_queue_hook
{
    std::string m_workspace;
    time_point m_deadline{};
};

/// A request that was refused as too late, kept until the last time at which
/// its service could have begun.
struct refused_request
{
    std::string m_workspace;
    time_point m_until{};
};

struct fake_pool
{
    fake_plan m_plan;
    std::mt19937 m_random;
    time_point m_start{1000s};
    time_point m_now = m_start;
    fair_queue m_queue;
    std::list<fake_request> m_waiting;
    std::vector<time_point> m_busy_until;
    std::list<refused_request> m_refused;
    fake_result m_result;
};

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

bool sends_at(const fake_load& l, duration at)
{
    return at >= l.m_from && at < l.m_until && (at / l.m_phase) % 2 == 0;
}

std::vector<arrival> draw_arrivals(fake_pool& p)
{
    std::vector<arrival> all;
    for (const fake_load& l : p.m_plan.m_loads)
    {
        std::exponential_distribution<double> gap(l.m_rate);
        duration at = to_duration(gap(p.m_random));
        for (; at < p.m_plan.m_length; at += to_duration(gap(p.m_random)))
            if (sends_at(l, at))
                all.push_back({p.m_start + at, &l});
    }
    std::sort(all.begin(), all.end(),
              [](const arrival& a, const arrival& b)
              {
                  return a.m_at < b.m_at;
              });
    return all;
}

duration draw_service(fake_pool& p)
{
    std::uniform_real_distribution<double> factor(1 - p.m_plan.m_jitter,
                                                  1 + p.m_plan.m_jitter);
    return to_duration(std::chrono::duration<double>(p.m_plan.m_service) / 1s *
                       factor(p.m_random));
}

duration longest_service(const fake_pool& p)
{
    const std::chrono::duration<double> mean(p.m_plan.m_service);
    return to_duration(mean / 1s * (1 + p.m_plan.m_jitter));
}

bool has_free_slot(const fake_pool& p)
{
    const duration at = p.m_now - p.m_start;
    const bool stalled =
        at >= p.m_plan.m_stall_from && at < p.m_plan.m_stall_until;
    return !stalled && p.m_busy_until.size() < p.m_plan.m_slots;
}

// True if the refused request would be served now. While its workspace has a
// backlog, another request of the workspace takes its turn.
bool leaves_turn_unused(const fake_pool& p, const refused_request& r,
                        const fake_request* next)
{
    const fair_queue_flow& own = p.m_queue.m_flows.find(r.m_workspace)->second;
    if (own.m_backlog > 0)
        return false;
    return next == nullptr ||
           own.m_virtual_start < next->m_flow->m_virtual_start;
}

void count_unjustified_refusals(fake_pool& p, const fake_request* next)
{
    p.m_refused.remove_if(
        [&](const refused_request& r)
        {
            const time_point load_ends = p.m_start + p.m_plan.m_length;
            if (r.m_until <= p.m_now || p.m_now >= load_ends)
                return true;
            const bool unused = leaves_turn_unused(p, r, next);
            if (unused && next == nullptr)
                ++p.m_result[r.m_workspace].m_idle;
            else if (unused)
                ++p.m_result[r.m_workspace].m_passed_over;
            return unused;
        });
}

void start_service(fake_pool& p, fake_request& r)
{
    record_dequeue(r, p.m_now);
    dequeue(p.m_queue, r);
    ++p.m_result[r.m_workspace].m_served;
    p.m_busy_until.push_back(p.m_now + draw_service(p));
    p.m_waiting.remove_if(
        [&](const fake_request& other)
        {
            return &other == &r;
        });
}

void dispatch(fake_pool& p)
{
    while (has_free_slot(p))
    {
        auto* next = static_cast<fake_request*>(next_item(p.m_queue,
                                                          [](fair_queue_hook&)
                                                          {
                                                              return true;
                                                          }));
        count_unjustified_refusals(p, next);
        if (next == nullptr)
            return;
        start_service(p, *next);
    }
}

void remove_expired(fake_pool& p)
{
    p.m_waiting.remove_if(
        [&](const fake_request& r)
        {
            const bool expired = r.m_deadline <= p.m_now;
            if (expired)
                ++p.m_result[r.m_workspace].m_expired;
            return expired;
        });
}

void advance_to(fake_pool& p, time_point when)
{
    while (true)
    {
        time_point next = when;
        for (const time_point end : p.m_busy_until)
            next = std::min(next, end);
        // All requests have the same time limit, so the oldest expires first.
        if (!p.m_waiting.empty())
            next = std::min(next, p.m_waiting.front().m_deadline);
        const time_point stall_end = p.m_start + p.m_plan.m_stall_until;
        if (stall_end > p.m_now)
            next = std::min(next, stall_end);
        p.m_now = next;
        std::erase_if(p.m_busy_until,
                      [&](time_point end)
                      {
                          return end <= p.m_now;
                      });
        remove_expired(p);
        dispatch(p);
        if (next == when)
            return;
    }
}

queue_decision decide(const fake_pool& p, const fake_load& l)
{
    return decide_admission(p.m_queue,
                            {l.m_workspace, l.m_weight,
                             backlog(p.m_queue, l.m_workspace),
                             p.m_plan.m_queue_limit, p.m_plan.m_limit},
                            p.m_now);
}

void enqueue_request(fake_pool& p, const fake_load& l)
{
    fake_request& r = p.m_waiting.emplace_back();
    r.m_workspace = l.m_workspace;
    r.m_deadline = p.m_now + p.m_plan.m_limit;
    enqueue(p.m_queue, l.m_workspace, l.m_weight, r);
    record_enqueue(r, p.m_now);
    dispatch(p);
}

void receive_request(fake_pool& p, const fake_load& l)
{
    fake_counts& counts = p.m_result[l.m_workspace];
    ++counts.m_sent;
    switch (decide(p, l))
    {
    case queue_decision::admit:
        enqueue_request(p, l);
        break;
    case queue_decision::full:
        ++counts.m_full;
        break;
    case queue_decision::deadline_unreachable:
        ++counts.m_too_late;
        p.m_refused.push_back(
            {l.m_workspace, p.m_now + p.m_plan.m_limit - longest_service(p)});
        break;
    }
}

}

fake_result simulate(const fake_plan& plan, unsigned seed)
{
    fake_pool p;
    p.m_plan = plan;
    p.m_random.seed(seed);
    for (const arrival& a : draw_arrivals(p))
    {
        advance_to(p, a.m_at);
        receive_request(p, *a.m_load);
    }
    advance_to(p, p.m_start + plan.m_length + plan.m_limit);
    return p.m_result;
}

}
