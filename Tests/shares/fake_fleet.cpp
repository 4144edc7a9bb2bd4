#include <shares/fake_fleet.hpp>

#include <algorithm>

namespace bluebellspoke::shares
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds heartbeat_period{500};

bool lost(fake_fleet& f)
{
    return std::bernoulli_distribution(f.m_faults.m_loss)(f.m_random);
}

duration delay(fake_fleet& f)
{
    return milliseconds(std::uniform_int_distribution<int>(
        0, static_cast<int>(f.m_faults.m_delay.count()))(f.m_random));
}

bool is_isolated(const fake_fleet& f, std::size_t daemon)
{
    return f.m_now < f.m_daemons[daemon].m_isolated_until;
}

// A paused daemon receives its messages when it resumes; messages for a process
// that has ended are lost.
void deliver(fake_fleet& f, std::size_t from, std::size_t to,
             std::function<void()> receive)
{
    if (lost(f) || is_isolated(f, from) || is_isolated(f, to))
        return;
    const std::uint64_t incarnation = f.m_daemons[to].m_self.m_incarnation;
    f.m_events.emplace(f.m_now + delay(f),
                       [&f, to, incarnation, receive = std::move(receive)]
                       {
                           fake_daemon& d = f.m_daemons[to];
                           if (!d.m_alive ||
                               d.m_self.m_incarnation != incarnation)
                               return;
                           if (runs(f, d))
                               receive();
                           else
                               f.m_events.emplace(d.m_paused_until, receive);
                       });
}

standing_view standing_view_of(const fake_daemon& d,
                               std::vector<peer_report>& out)
{
    for (const auto& [name, w] : d.m_witnesses)
    {
        const fleet_member* m = find_member(d.m_epoch.m_members, name);
        if (m != nullptr && *m == d.m_observations.at(name).m_member)
            out.push_back(w);
    }
    return {d.m_epoch.m_number, d.m_confirmed_at, d.m_platform_answers,
            std::max<std::size_t>(d.m_epoch.m_members.size(), 1), out};
}

bool is_listed(const fake_fleet& f, std::string_view name)
{
    return std::any_of(f.m_daemons.begin(), f.m_daemons.end(),
                       [&](const fake_daemon& d)
                       {
                           return d.m_self.m_name == name && d.m_listed;
                       });
}

std::vector<member_observation> observations_of(const fake_fleet& f,
                                                const fake_daemon& d)
{
    std::vector<member_observation> observations{
        {d.m_self, true, f.m_now, d.m_epoch.m_number, d.m_applied}};
    for (const auto& [name, s] : d.m_observations)
        observations.push_back(s);
    for (const fleet_member& m : d.m_epoch.m_members)
        if (m.m_name != d.m_self.m_name && !d.m_observations.contains(m.m_name))
            observations.push_back(
                {{m.m_name, 0, m.m_address}, false, d.m_started_at, 0, 0});
    for (member_observation& s : observations)
        s.m_listed = is_listed(f, s.m_member.m_name);
    return observations;
}

bool apply_connections(fake_fleet& f, fake_daemon& d,
                       const share_entitlement& entitlement)
{
    if (f.m_endpoint.m_limit == 0)
        return true;
    const auto index = static_cast<std::size_t>(&d - f.m_daemons.data());
    connection_ledger& b = d.m_pool.m_ledger;
    set_connection_limit(b, entitlement, f.m_endpoint.m_limit, f.m_now);
    return within_entitlement(b, usage_of(f, index), f.m_now);
}

void apply_entitlement(fake_fleet& f, fake_daemon& d)
{
    update_settling(d.m_settling, d.m_epoch, observations_of(f, d), f.m_now);
    std::vector<peer_report> witnesses;
    share_entitlement entitlement;
    entitlement.m_epoch = d.m_epoch;
    entitlement.m_self = d.m_self;
    entitlement.m_settled = d.m_settling.m_settled;
    const fleet_member* mine =
        find_member(d.m_epoch.m_members, d.m_self.m_name);
    if (mine != nullptr && mine->m_incarnation == d.m_self.m_incarnation)
        d.m_joined = true;
    entitlement.m_valid_from = d.m_joined
                                   ? d.m_started_at + loan_term + loan_margin
                                   : time_point::max();
    entitlement.m_valid_until = standing_until(standing_view_of(d, witnesses));
    entitlement.m_is_first_incarnation = d.m_is_first_incarnation;
    set_entitlement(d.m_share, entitlement, f.m_now);
    const bool fits = apply_connections(f, d, entitlement);
    if (fits && within_entitlement(d.m_share))
        d.m_applied = d.m_epoch.m_number;
}

void ask_platform(fake_fleet& f, fake_daemon& d)
{
    d.m_platform_answers =
        f.m_faults.m_platform_up && f.m_now >= d.m_isolated_until;
    if (!d.m_platform_answers)
        return;
    d.m_epoch = f.m_platform_epoch;
    d.m_confirmed_at = f.m_now;
    apply_entitlement(f, d);
    if (d.m_epoch.m_number != 0 && !d.m_settling.m_settled)
        return;
    const auto next =
        propose_members(d.m_epoch, observations_of(f, d), f.m_now);
    if (!next)
        return;
    f.m_platform_epoch = {f.m_platform_epoch.m_number + 1, *next,
                          f.m_platform_epoch.m_members};
    d.m_epoch = f.m_platform_epoch;
    apply_entitlement(f, d);
}

struct heartbeat
{
    member_observation m_observation;
    peer_report m_witness;
};

heartbeat heartbeat_of(const fake_fleet& f, const fake_daemon& d)
{
    std::vector<peer_report> witnesses;
    const duration age = f.m_now - confirmed_at(standing_view_of(d, witnesses));
    return {{d.m_self, true, {}, d.m_epoch.m_number, d.m_applied},
            {{}, d.m_epoch.m_number, age, d.m_platform_answers}};
}

void apply_heartbeat(fake_fleet& f, fake_daemon& d, heartbeat h,
                     time_point asked_at)
{
    h.m_observation.m_last_contact_at = asked_at;
    h.m_witness.m_asked_at = asked_at;
    const std::string& name = h.m_observation.m_member.m_name;
    if (d.m_witnesses[name].m_asked_at > asked_at)
        return;
    d.m_observations[name] = h.m_observation;
    d.m_witnesses[name] = h.m_witness;
    apply_entitlement(f, d);
}

template <class HandleRequest, class HandleAnswer>
void exchange(fake_fleet& f, std::size_t from, std::size_t to,
              HandleRequest handle_request, HandleAnswer handle_answer)
{
    const time_point asked_at = f.m_now;
    deliver(f, from, to,
            [&f, from, to, handle_request, handle_answer, asked_at]
            {
                deliver(f, to, from,
                        [&f, from, handle_answer, asked_at,
                         answer = handle_request(f, to)]
                        {
                            handle_answer(f, f.m_daemons[from], answer,
                                          asked_at);
                        });
            });
}

void send_heartbeats(fake_fleet& f, std::size_t from)
{
    for (std::size_t to = 0; to < f.m_daemons.size(); ++to)
        if (to != from)
            exchange(
                f, from, to,
                [](fake_fleet& fleet, std::size_t receiver)
                {
                    return heartbeat_of(fleet, fleet.m_daemons[receiver]);
                },
                [](fake_fleet& fleet, fake_daemon& d, const heartbeat& h,
                   time_point asked_at)
                {
                    apply_heartbeat(fleet, d, h, asked_at);
                });
}

void ask_peers(fake_fleet& f, std::size_t from)
{
    fake_daemon& d = f.m_daemons[from];
    if (!is_due(d.m_round, f.m_now) || !should_ask_peers(d.m_share, f.m_now))
        return;
    schedule_next_round(d.m_round, f.m_now);
    for (std::size_t to = 0; to < f.m_daemons.size(); ++to)
    {
        if (to == from)
            continue;
        const std::string lender = f.m_daemons[to].m_self.m_name;
        const loan_request request =
            make_loan_request(d.m_share, d.m_self.m_name, lender, f.m_now);
        exchange(
            f, from, to,
            [request](fake_fleet& fleet, std::size_t receiver)
            {
                return lend_rate(fleet.m_daemons[receiver].m_share, request,
                                 fleet.m_now);
            },
            [lender](fake_fleet& fleet, fake_daemon& borrower,
                     const rate_loan& answer, time_point asked_at)
            {
                if (apply_rate_loan(borrower.m_share, lender, answer, asked_at,
                                    fleet.m_now) > 0)
                    borrower.m_round.m_backoff = {};
            });
    }
}

void start(fake_fleet& f, fake_daemon& d)
{
    d.m_self.m_incarnation = f.m_next_incarnation++;
    d.m_started_at = f.m_now;
    d.m_share = make_rate_share("ward", 1, f.m_now);
    set_rate(d.m_share, f.m_rate, f.m_burst, f.m_now);
    d.m_pool.m_ledger =
        make_connection_ledger("e1", d.m_self.m_incarnation << 32);
}

void admit_waiting(fake_fleet& f, fake_daemon& d)
{
    while (!d.m_waiting.empty() && admit_one(d.m_share, f.m_now))
    {
        d.m_waiting.pop_front();
        ++f.m_admitted;
        constexpr double rounding = 1e-6;
        f.m_limit.m_tokens += rounding;
        if (!take_token(f.m_limit, f.m_now))
            ++f.m_over_limit;
    }
    while (!d.m_waiting.empty() &&
           f.m_now - d.m_waiting.front() > max_loan_wait)
    {
        d.m_waiting.pop_front();
        ++f.m_refused;
    }
}

bool is_due(const fake_fleet& f, std::size_t index, duration period)
{
    const duration offset = milliseconds(35) * index;
    return (f.m_now.time_since_epoch() + offset) % period < fake_step;
}

}

fake_fleet::fake_fleet(std::size_t daemons, double rate, double burst,
                       unsigned seed)
    : m_random(seed), m_rate(rate),
      m_burst(burst), m_limit{rate, burst, burst, m_now}
{
    m_daemons.resize(daemons);
    for (std::size_t i = 0; i < daemons; ++i)
    {
        m_daemons[i].m_self.m_name = "vm-" + std::to_string(i + 1);
        m_daemons[i].m_self.m_address = "127.0.0.1:" + std::to_string(i + 1);
        start(*this, m_daemons[i]);
    }
}

bool runs(const fake_fleet& f, const fake_daemon& d)
{
    return d.m_alive && f.m_now >= d.m_paused_until;
}

void send_request(fake_fleet& f, std::size_t from, std::size_t to,
                  request_handler handle_request, answer_handler handle_answer)
{
    exchange(
        f, from, to,
        [handle_request = std::move(handle_request)](fake_fleet& fleet,
                                                     std::size_t receiver)
        {
            return handle_request(fleet, fleet.m_daemons[receiver]);
        },
        std::move(handle_answer));
}

void step(fake_fleet& f)
{
    f.m_now += fake_step;
    while (!f.m_events.empty() && f.m_events.begin()->first <= f.m_now)
    {
        const std::function<void()> next = f.m_events.begin()->second;
        f.m_events.erase(f.m_events.begin());
        next();
    }
    for (std::size_t i = 0; i < f.m_daemons.size(); ++i)
    {
        if (!runs(f, f.m_daemons[i]))
            continue;
        if (is_due(f, i, 2 * heartbeat_period))
            ask_platform(f, f.m_daemons[i]);
        if (is_due(f, i, heartbeat_period))
            send_heartbeats(f, i);
        ask_peers(f, i);
        admit_waiting(f, f.m_daemons[i]);
        if (f.m_endpoint.m_limit > 0)
            step_pool(f, i);
    }
    step_endpoint(f);
    f.m_max_held = std::max(f.m_max_held, held_by_all(f));
}

void offer_statement(fake_fleet& f, std::size_t daemon)
{
    fake_daemon& d = f.m_daemons[daemon];
    if (!runs(f, d))
        return;
    record_arrival(d.m_share, f.m_now);
    d.m_waiting.push_back(f.m_now);
    admit_waiting(f, d);
}

void restart(fake_fleet& f, std::size_t daemon)
{
    const fleet_member self = f.m_daemons[daemon].m_self;
    f.m_daemons[daemon] = {};
    f.m_daemons[daemon].m_self = self;
    f.m_daemons[daemon].m_is_first_incarnation = false;
    std::erase_if(f.m_endpoint.m_sessions,
                  [&](const fake_session& s)
                  {
                      return s.m_owner == daemon;
                  });
    start(f, f.m_daemons[daemon]);
}

void pause(fake_fleet& f, std::size_t daemon, duration length)
{
    f.m_daemons[daemon].m_paused_until = f.m_now + length;
}

void isolate(fake_fleet& f, std::size_t daemon, duration length)
{
    f.m_daemons[daemon].m_isolated_until = f.m_now + length;
}

void replace(fake_fleet& f, std::size_t daemon)
{
    fake_daemon& old = f.m_daemons[daemon];
    old.m_listed = false;
    old.m_isolated_until = time_point::max();
    fake_daemon replacement;
    const std::string number = std::to_string(f.m_daemons.size() + 1);
    replacement.m_self.m_name = "vm-" + number;
    replacement.m_self.m_address = "127.0.0.1:" + number;
    start(f, replacement);
    f.m_daemons.push_back(std::move(replacement));
}

void inject_faults(fake_fleet& f, double replacement_chance)
{
    const auto chance = [&](double p)
    {
        return std::bernoulli_distribution(p)(f.m_random);
    };
    const auto random_daemon = [&]
    {
        return std::uniform_int_distribution<std::size_t>(
            0, f.m_daemons.size() - 1)(f.m_random);
    };
    const auto random_duration = [&](int most_ms)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(50, most_ms)(f.m_random));
    };
    if (chance(0.3))
        pause(f, random_daemon(), random_duration(15000));
    if (chance(0.3))
        isolate(f, random_daemon(), random_duration(5000));
    if (chance(0.2))
        restart(f, random_daemon());
    if (chance(replacement_chance))
        replace(f, random_daemon());
    if (chance(0.2))
        f.m_faults.m_platform_up = !f.m_faults.m_platform_up;
    f.m_faults.m_loss = chance(0.3) ? 0.3 : 0;
    f.m_faults.m_delay = std::chrono::milliseconds(chance(0.2) ? 1500 : 5);
}

std::uint32_t held_by_all(fake_fleet& f)
{
    std::uint32_t units = 0;
    for (fake_daemon& d : f.m_daemons)
    {
        if (!runs(f, d))
            continue;
        advance_to(d.m_share, f.m_now);
        units += held_units(d.m_share.m_ledger);
    }
    return units;
}

}
