/* Failovers of a group of three endpoints, run by the holder of the failover
   duty: the chart takeover.scxml, the duty record (decide/duty_lease) and the
   fence (decide/takeover, decide/group_view, session/failover_*.cpp).

   Endpoint 0 leads at first. A commit is acknowledged when the primary has it
   and one replica that follows its term and isn't paused. The holder pauses
   replicas, and orders the primary to step down unless the takeover yields to
   it, until two endpoints are fenced; it chooses one, stores the choice, waits,
   and orders its promotion. Endpoints restart or are out of the holder's reach,
   the duty passes to another process and orders are lost, at any step and a
   bounded number of times.

   There is no clock. A bound in time is a condition on the step that it delays:
     - the duty passes to another process when the last holder no longer acts;
     - once the leases have expired (1.5 s), no order of an earlier holder is in
       transit (1 s at most), and none is left of an order that was forgotten
       early, because a primary was found or its endpoint wasn't running;
     - when a pending promotion expires, no order is left, and the holder has
       seen the ordered endpoint lead if it does and is in reach.
   What the holder decides by is true when it decides. What the leases protect
   is in read_lease.pml.

   The platform: an order that has arrived takes effect once, if its endpoint
   runs. A promotion ends the pauses of the running replicas and tells them the
   new term; an endpoint that starts learns the newest term before it receives
   anything, and an old primary goes on until it learns it.

   Claims:
     LOST   no acknowledged commit is missing from the log of the primary
     ONE    no order takes effect after one with a higher token, and no two
            holders have the same token
     PAUSE  once nothing fails any more, the takeovers end and no replica of a
            primary stays paused

   Variants that hold, with other numbers of failures: RIGHT, ORDERS, LONGER.

   Broken variants, by -D. The incidents (docs/incidents):
     EXPIRED_ORDER  a stored choice counts until a primary is found, and is
                    preferred whatever the logs are
     FENCE_LOST     the fence isn't checked again before the order
     ENDLESS_PAUSE  only the takeover that paused a replica resumes it
     LATE_ORDER     an order that its sender has abandoned may still arrive
     STEPPED_DOWN   an endpoint that has stepped down counts as fenced whatever
                    its term is
     LATE_STATUS    the newest term is taken from the statuses when orders are
                    sent, not when the successor is chosen
     STALE_REPORT   a pending promotion is forgotten on a report that its
                    endpoint led in an earlier term
   A rule that has held so far:
     BLIND_WRITE    the duty record is written whatever its revision
   What the platform must rule out, as nothing else does:
     RESTART_IN_ORDER  a replica restarts between the last answer that showed it
                       fenced and the effect of the order
     LEARN_LATER       a promotion ends the pause of a replica that doesn't know
                       the new term yet
     REPEATED_ORDER    an order that was repeated takes effect twice
*/

#define N 3
#define NONE 3

#define COMMITS 1
#define TAKEOVERS 2   /* While an endpoint leads. */
#define LOSSES 1      /* Of the duty. */
#define RESTARTS 1    /* Of endpoints. */
#define CUTS 1        /* Endpoints that the holder doesn't reach for a while. */
#define LOST_ORDERS 0 /* Orders, or their answers. */

#if defined(ORDERS) || defined(REPEATED_ORDER)
#undef CUTS
#define CUTS 0
#undef LOST_ORDERS
#define LOST_ORDERS 1
#endif

#ifdef LONGER
#undef COMMITS
#define COMMITS 2
#undef TAKEOVERS
#define TAKEOVERS 3
#undef CUTS
#define CUTS 0
#endif

#ifdef BLIND_WRITE
#undef LOSSES
#define LOSSES 2
#undef TAKEOVERS
#define TAKEOVERS 0
#undef RESTARTS
#define RESTARTS 0
#undef CUTS
#define CUTS 0
#endif

/* The endpoints. */
bool leads[N], down[N], dark[N];
byte term[N] = 1;
byte paused[N]; /* The term that it's paused for; 0: not paused. */
byte held[N];   /* The commits in its log, one bit each. */
byte last_promoted;

byte commits;
byte commit_term[2];

/* The promotion orders that are left. */
mtype = { absent, transit, arrived };
mtype order[2] = absent;
byte order_target[2] = NONE;
byte order_token[2];
byte effective_token; /* Of the last order that took effect. */

/* The holder of the duty. The record holds the token, and what the next holder
   starts with: the successor if one is chosen, else the pending promotion. */
mtype = { led, touching, waiting, ordering };
mtype state = led;
byte token = 1;
byte fence_term;
byte old_term; /* The newest that the holder knows. */
byte successor = NONE;
byte ordered = NONE; /* The promotion that may still take effect. */
bool forgotten;      /* Orders may be left though `ordered` is empty. */
bool yields;         /* The takeover ends if the primary answers. */
bool stepped_down[N];

byte takeovers, losses, restarts, cuts, lost_orders;

hidden byte target, target_token, next_token;

#define max(a, b) (a > b -> a : b)
#define newest_term term[last_promoted]
#define has_primary leads[last_promoted]
#define reached(i) (!down[i] && !dark[i])

/* decide/takeover: is_fenced, choose_successor, evaluate_fence. */
#ifdef STEPPED_DOWN
#define stays_down(i) stepped_down[i]
#else
#define stays_down(i) (stepped_down[i] && term[i] == old_term)
#endif
#define fenced(i) (reached(i) && !leads[i] && \
  (stays_down(i) || (fence_term > 0 && paused[i] >= fence_term)))
#define has_quorum (fenced(0) + fenced(1) + fenced(2) >= 2)

#define last_term(i) \
  (held[i] & 2 -> commit_term[1] : (held[i] & 1 -> commit_term[0] : 0))
#define length(i) ((held[i] & 1) + (held[i] >> 1))
#define further(a, b) (last_term(a) > last_term(b) || \
  (last_term(a) == last_term(b) && length(a) > length(b)))
#define is_behind(i) ((fenced(0) && further(0, i)) || \
  (fenced(1) && further(1, i)) || (fenced(2) && further(2, i)))

#ifdef EXPIRED_ORDER
#define may_choose(i) (ordered == i || (ordered == NONE && !is_behind(i)))
#define may_give_up true
#define confirmed (has_quorum && fenced(successor))
#else
#define may_choose(i) ((ordered == NONE || ordered == i) && !is_behind(i))
#define may_give_up (ordered == NONE || (leads[ordered] && reached(ordered)))
#ifdef FENCE_LOST
#define confirmed true
#else
#define confirmed (has_quorum && fenced(successor) && !is_behind(successor))
#endif
#endif
#define chooses(i) (has_quorum && fenced(i) && may_choose(i))

#define is_new_primary(i) (reached(i) && leads[i] && term[i] > old_term)
#define has_new_primary \
  (is_new_primary(0) || is_new_primary(1) || is_new_primary(2))

#define no_order (order[0] == absent && order[1] == absent)
#ifdef LATE_ORDER
#define is_over(k) true
#define lifetime_over (order[0] != arrived && order[1] != arrived)
#else
#define is_over(k) (order[k] != transit || order_token[k] == token)
#define lifetime_over no_order
#endif
#define leases_expired \
  (is_over(0) && is_over(1) && (!forgotten || lifetime_over))

/* Commits. */

#define receives(r, p) \
  (!down[r] && !leads[r] && paused[r] == 0 && term[r] == term[p])

/* A commit at `p` that `r` has too, and `s` perhaps. */
inline commit(p, r, s)
{
  atomic
  {
    commits < COMMITS && leads[p] && !down[p] && receives(r, p) ->
    assert(term[p] == newest_term); /* LOST */
    commit_term[commits] = term[p];
    held[p] = held[p] | (1 << commits);
    held[r] = held[p];
    if
    :: receives(s, p) -> held[s] = held[p]
    :: true
    fi;
    commits++
  }
}

/* Endpoint `i` learns the newest term. */
inline learn(i)
{
  leads[i] = false;
  term[i] = newest_term;
  held[i] = held[i] & held[last_promoted];
  if
  :: paused[i] <= term[i] -> paused[i] = 0
  :: else
  fi;
#ifndef STEPPED_DOWN
  stepped_down[i] = false
#endif
}

/* Failures of endpoints, and their ends. */

#ifdef RESTART_IN_ORDER
#define may_start(i) true
#else
#define may_start(i) (leads[i] || no_order)
#endif

/* The holder's reach only: other processes and endpoints reach `i`. */
inline lose_contact(i)
{
  if
  :: atomic { !dark[i] && cuts < CUTS -> cuts++; dark[i] = true }
  :: atomic { dark[i] -> dark[i] = false }
  fi
}

inline restart(i)
{
  if
  :: atomic { !down[i] && restarts < RESTARTS -> restarts++; down[i] = true }
  :: atomic
     {
       down[i] && may_start(i) ->
       down[i] = false;
       paused[i] = 0;
       if
       :: term[i] < newest_term -> learn(i)
       :: else
       fi
     }
  fi
}

/* Orders on their way. */

inline end_order(k)
{
  order[k] = absent; order_target[k] = NONE; order_token[k] = 0;
  if
  :: no_order -> forgotten = false
  :: else
  fi
}

inline pass_over(i)
{
  if
  :: i != target && !leads[i] && !down[i] ->
#ifndef LEARN_LATER
     learn(i);
#endif
     paused[i] = 0
  :: else
  fi
}

inline promote()
{
  assert(held[target] + 1 == (1 << commits)); /* LOST */
  assert(target_token >= effective_token);    /* ONE */
  effective_token = target_token;
  term[target] = newest_term + 1;
  last_promoted = target;
  leads[target] = true;
  paused[target] = 0;
  stepped_down[target] = false;
  pass_over(0);
  pass_over(1);
  pass_over(2)
}

inline end_takeover()
{
  state = led; fence_term = 0; successor = NONE; yields = false;
  stepped_down[0] = false; stepped_down[1] = false; stepped_down[2] = false
}

/* end_takeover and check_primary forget an order that may be left. */
inline forget_order()
{
  ordered = NONE; forgotten = !no_order
}

inline carry_out(k)
{
  if
  :: atomic { order[k] == transit -> order[k] = arrived }
  :: atomic
     {
       order[k] == transit && lost_orders < LOST_ORDERS ->
       lost_orders++; end_order(k)
     }
  :: atomic
     {
       order[k] == arrived ->
       target = order_target[k]; target_token = order_token[k];
       end_order(k);
#ifndef REPEATED_ORDER
       if
       :: order[1 - k] == arrived && order_target[1 - k] == target ->
          end_order(1 - k)
       :: else
       fi;
#endif
       if
       :: down[target] ->
          if
          :: state == ordering && successor == target &&
             target_token == token ->
             forget_order(); end_takeover() /* successor_not_running */
          :: true
          fi
       :: !down[target] && leads[target]
       :: !down[target] && !leads[target] -> promote()
       fi
     }
  fi
}

/* The holder. */

inline see(i)
{
  if
  :: reached(i) ->
     old_term = max(old_term, term[i]);
     fence_term = max(max(fence_term, old_term + 1), paused[i])
  :: else
  fi
}

inline see_members()
{
  see(0); see(1); see(2)
}

inline pause(i)
{
  atomic
  {
    state == touching && reached(i) && !leads[i] && !fenced(i) ->
    see_members();
    paused[i] = fence_term
  }
}

/* If the ordered endpoint leads, the takeover has ended: see may_give_up. */
inline step_down(i)
{
  atomic
  {
    state == touching && !yields && reached(i) && leads[i] && ordered != i ->
    see_members();
    leads[i] = false;
    stepped_down[i] = true
  }
}

inline choose(i)
{
  atomic
  {
    state == touching && chooses(i) ->
#ifndef LATE_STATUS
    see_members();
#endif
    if
    :: chooses(i) -> successor = i; state = waiting
    :: else
    fi
  }
}

/* An order is repeated before the first has ended if its answer was lost. */
#define answer_lost(k) (order[k] != absent && order_token[k] == token)

inline send_order(k)
{
  atomic
  {
    ((state == waiting && leases_expired) || state == ordering) &&
    order[k] == absent && (k == 0 || order[0] != absent) &&
    (!answer_lost(1 - k) || lost_orders < LOST_ORDERS) &&
    confirmed && !has_new_primary ->
    if
    :: answer_lost(1 - k) -> lost_orders++
    :: else
    fi;
    order[k] = transit; order_target[k] = successor; order_token[k] = token;
    ordered = successor; state = ordering
  }
}

#define resumable(i) (reached(i) && !leads[i] && paused[i] != 0)

inline resume(i)
{
  if
  :: resumable(i) -> paused[i] = 0
  :: else
  fi
}

#ifdef BLIND_WRITE
/* Another process that has read the record once. */
byte read_token;
proctype candidate()
{
  read_token = token
}
#endif

proctype holder()
{
  do
  /* The duty passes to another process, or to a later one of the same node. A
     write that is conditional on the revision goes by the newest record. */
  :: atomic
     {
       losses < LOSSES ->
       losses++;
       next_token = token + 1;
#ifdef BLIND_WRITE
       if
       :: read_token > 0 -> next_token = read_token + 1
       :: true
       fi;
#endif
       assert(next_token > token); /* ONE */
       token = next_token;
       if
       :: successor != NONE -> ordered = successor
       :: else
       fi;
       end_takeover();
       old_term = 0
     }
#ifndef EXPIRED_ORDER
  :: atomic
     {
       ordered != NONE && lifetime_over &&
       !(leads[ordered] && reached(ordered)) ->
       ordered = NONE
     }
#endif
  /* check_primary */
  :: atomic
     {
       state == led && ordered == last_promoted && has_primary ->
       forget_order()
     }
#ifdef STALE_REPORT
  :: atomic { state == led && ordered == 0 -> ordered = NONE }
#endif
  :: atomic
     {
       state == led && ordered != NONE &&
       !(ordered == last_promoted && has_primary) ->
       yields = true;
       state = touching;
       see_members()
     }
  :: atomic
     {
       state == led && ordered == NONE &&
       (takeovers < TAKEOVERS || !has_primary) ->
       if
       :: has_primary -> takeovers++
       :: else
       fi;
       if
       :: yields = true
       :: yields = false
       fi;
       state = touching;
       see_members()
     }
#ifndef ENDLESS_PAUSE
  /* advance_pauses */
  :: atomic
     {
       state == led && ordered == NONE && has_primary &&
       (resumable(0) || resumable(1) || resumable(2)) ->
       resume(0); resume(1); resume(2)
     }
#endif
  /* given_up */
  :: atomic
     {
       state == touching && may_give_up ->
       resume(0); resume(1); resume(2);
       end_takeover()
     }
  /* fence_lost */
  :: atomic
     {
       (state == waiting || state == ordering) && !confirmed &&
       !has_new_primary ->
       state = touching
     }
  /* primary_confirmed */
  :: atomic
     {
       (state == waiting || state == ordering) && has_new_primary ->
       forget_order(); end_takeover()
     }
  od
}

/* An endpoint, and what the holder does with it. The names of the parameters
   differ from those of the inlines: spin replaces a name by itself for ever. */
proctype endpoint(byte me)
{
  do
  :: commit(me, (me + 1) % N, (me + 2) % N)
  :: commit(me, (me + 2) % N, (me + 1) % N)
  :: atomic { !down[me] && term[me] < newest_term -> learn(me) }
  :: restart(me)
  :: lose_contact(me)
  :: pause(me)
  :: step_down(me)
  :: choose(me)
  od
}

proctype promotion_order(byte slot)
{
  do
  :: send_order(slot)
  :: carry_out(slot)
  od
}

#define stays_paused(i) (!leads[i] && paused[i] != 0)

proctype monitor()
{
  timeout ->
  assert(state == led && (!has_primary || /* PAUSE */
    !(stays_paused(0) || stays_paused(1) || stays_paused(2))))
}

init
{
  atomic
  {
    leads[0] = true;
#ifdef BLIND_WRITE
    run candidate();
#endif
    run endpoint(0);
    run endpoint(1);
    run endpoint(2);
    run promotion_order(0);
    run promotion_order(1);
    run holder();
    run monitor()
  }
}
