/* The members of one group while a failover of it is in progress: endpoints
   join, register late, lose their entry in the store and end for good, and a
   process passes on acknowledgements of commits (docs/design/group-membership,
   docs/incidents/joined-unseen.md and empty-logs.md).

   Endpoint 0 leads at first, and others follow it. A commit is acknowledged
   when its primary and any one replica have it, listed or not. The rest join at
   any step: they copy the log of a primary, or are empty (term 0) when nobody
   leads. Their entries reach the store at any later step, also after the order.
   The entry of endpoint 0 comes and goes.

   There is no clock. A bound in time is a condition on the step that it delays,
   or a change that the passing of time brings with it:
     - when the holder has waited after its last fence, what a lease rests on
       and was asked before that fence has lapsed;
     - a replica that was listed after the holder had read the list for an order
       isn't settled until that order can have no effect any more.
   What else may take any time takes the worst: proofs don't lapse earlier, the
   process may never hear of a newer term, and the holder reaches the endpoints
   that suffice for its order and no other. The duty isn't lost; that is in
   takeover.pml. Answers that are late are in read_lease.pml.

   The platform: a promotion ends the pauses of the running replicas and tells
   them the new term; an old primary goes on until it learns it.

   Claim:
     LOST   a commit whose acknowledgement was passed on is in the log of every
            endpoint that is promoted later, and of the present primary

   The rules are those of the page, and three that it lacks:
     - the process has seen a settled replica at the position of the commit or
       beyond it (LEASE_ONLY);
     - a replica that was listed or followed an old term after a promotion isn't
       settled, however long it has been listed, until it follows the new term
       (OLD_TERM);
     - the holder counts each endpoint that was ever listed, also one whose
       entry came and went between two readings of the list (BRIEF_ENTRY).

   Variants that hold, with other numbers of joiners, commits, endpoints that
   end and promotions: RIGHT, JOINERS, TWO_COMMITS, TWO_LEAVE, TWICE. Others
   that hold:
     WITNESS_ONLY   what a settled replica has shown suffices, without a lease
     PRIMARY_ONLY   an acknowledgement is passed on under a lease, and only a
                    fenced primary of the newest term counts, never a quorum

   Broken variants, by -D:
     PAGE           an acknowledgement is passed on under a lease; a replica
                    settles by time (the page without the first two rules)
     LEASE_ONLY     an acknowledgement is passed on under a lease
     ANSWERED_SINCE the same, with a lease asked for after the acknowledgement
     OLD_TERM       a replica settles by time, whatever its term is
     BRIEF_ENTRY    an entry that came and went between two readings isn't known
     FIXED_MEMBERS  the members are those known when the failover began
     EXPIRED_ENTRY  an endpoint whose entry has expired isn't a member
     UNPROVEN_ACK   an acknowledgement is passed on whatever was proved
     NEW_WITNESS    a replica proves as soon as it is listed
     EMPTY_WITNESS  an empty log counts as fenced
     SIZE_LAPSES    a log that ended is forgotten by time alone; a holder that
                    has started after it ended does the same
     STALE_PRIMARY  a primary that has stepped down counts as the newest term's
                    while the holder reaches no endpoint of a newer term
*/

#define N 4
#define NONE 4

#ifdef JOINERS
#define LOGS 2
#endif
#ifdef TWO_COMMITS
#define COMMITS 2
#endif
#ifdef TWO_LEAVE
#define LEAVES 2
#endif
#if defined(TWICE) || defined(STALE_PRIMARY)
#define PROMOTIONS 2
#endif

#ifndef LOGS
#define LOGS 3       /* The endpoints at first; the others join. */
#endif
#ifndef COMMITS
#define COMMITS 1
#endif
#ifndef PROMOTIONS
#define PROMOTIONS 1
#endif
#ifndef LEAVES
#define LEAVES 1     /* Endpoints that end for good. */
#endif

/* The endpoints. */
bool running[N], gone[N], leads[N], paused[N], stepped_down[N];
byte term[N]; /* 0: an empty log. */
byte held[N]; /* The commits in its log, one bit each. */
byte last_promoted;

/* The store, and the members that the holder counts: listed, or gone and not
   yet replaced. */
bool listed[N], known[N];
/* Listed after the list was read for an order that is left, or had its effect
   before the endpoint followed the new term. */
bool late[N];

byte commits, acknowledged, passed_on;
byte commit_term[2];

/* The holder. */
mtype = { idle, fencing, checked, ordered };
mtype state = idle;
byte successor = NONE;

/* What the process has been shown: the terms of the primary and of a settled
   replica, and the commits that a settled replica had. */
byte primary_proof, replica_proof, shown;
bool primary_old, replica_old; /* Asked before the holder's last fence. */

hidden byte each;

#define newest_term term[last_promoted]
#define leading(e) (running[e] && leads[e])
#define has_primary (leading(0) || leading(1) || leading(2) || leading(3))
#define follows(r, e) (running[r] && !leads[r] && !paused[r] && \
  leading(e) && term[r] == term[e])

#define last_term(e) \
  (held[e] & 2 -> commit_term[1] : (held[e] & 1 -> commit_term[0] : 0))
#define length(e) ((held[e] & 1) + (held[e] >> 1))
#if COMMITS == 1
#define further(a, b) (held[a] > held[b])
#else
#define further(a, b) (last_term(a) > last_term(b) || \
  (last_term(a) == last_term(b) && length(a) > length(b)))
#endif

/* The holder's decisions: decide/takeover. */

#define is_empty(e) (term[e] == 0)
#define stays_down(e) (stepped_down[e] && term[e] == newest_term)
#ifdef EMPTY_WITNESS
#define may_count(e) true
#else
#define may_count(e) !is_empty(e)
#endif
#define fenced(e) (known[e] && running[e] && !leads[e] && may_count(e) && \
  (paused[e] || stays_down(e)))
#define is_log(e) (known[e] && !is_empty(e))
#define size (is_log(0) + is_log(1) + is_log(2) + is_log(3))

/* `u` is out of the holder's reach. */
#define counts(e, u) (fenced(e) && e != u)
#define has_quorum(u) \
  (counts(0, u) + counts(1, u) + counts(2, u) + counts(3, u) >= size - 1)
#define is_behind(e, u) ((counts(0, u) && further(0, e)) || \
  (counts(1, u) && further(1, e)) || (counts(2, u) && further(2, e)) || \
  (counts(3, u) && further(3, e)))
#ifdef PRIMARY_ONLY
#define by_quorum(e, u) false
#else
#define by_quorum(e, u) (e != u && has_quorum(u) && !is_behind(e, u))
#endif

/* `q` is the primary of the newest term; no other but `e` is in reach. */
#ifdef STALE_PRIMARY
#define by_primary(e, q) (fenced(q) && stepped_down[q] && !further(q, e))
#else
#define by_primary(e, q) (fenced(q) && stays_down(q) && !further(q, e))
#endif

#define may_choose(e) (fenced(e) && !is_empty(e) && \
  (by_quorum(e, 0) || by_quorum(e, 1) || by_quorum(e, 2) || by_quorum(e, 3) || \
  by_primary(e, 0) || by_primary(e, 1) || by_primary(e, 2) || by_primary(e, 3)))

#ifdef FIXED_MEMBERS
#define may_know (state == idle)
#define list_read true
#else
#define may_know (state == idle || state == fencing)
#define is_read(e) (known[e] || !listed[e])
#define list_read (is_read(0) && is_read(1) && is_read(2) && is_read(3))
#endif

#ifdef SIZE_LAPSES
#define is_replaced true
#else
#define replaces(r) (listed[r] && known[r] && running[r] && !leads[r] && \
  term[r] == newest_term && held[r] == held[last_promoted])
#define is_replaced (leading(last_promoted) && \
  (replaces(0) || replaces(1) || replaces(2) || replaces(3)))
#endif

/* The process. */

#ifdef NEW_WITNESS
#define settled(e) listed[e]
#else
#define settled(e) (listed[e] && !late[e])
#endif
#define has_lease(k) (primary_proof == k && replica_proof == k)

#if defined(UNPROVEN_ACK)
#define may_pass_on(c) true
#elif defined(LEASE_ONLY) || defined(ANSWERED_SINCE) || defined(PAGE) || \
  defined(PRIMARY_ONLY)
#define may_pass_on(c) has_lease(commit_term[c])
#elif defined(WITNESS_ONLY)
#define may_pass_on(c) (shown & (1 << c))
#else
#define may_pass_on(c) (has_lease(commit_term[c]) && (shown & (1 << c)))
#endif

inline fence_again()
{
  primary_old = primary_proof > 0;
  replica_old = replica_proof > 0
}

inline wait_out()
{
  primary_proof = (primary_old -> 0 : primary_proof);
  replica_proof = (replica_old -> 0 : replica_proof);
  primary_old = false; replica_old = false
}

#if defined(OLD_TERM) || defined(PAGE)
#define is_old(e) false
#else
#define is_old(e) (term[e] > 0 && term[e] < newest_term)
#endif
#define order_left (state == checked || state == ordered)

inline end_order()
{
  successor = NONE;
  late[0] = late[0] && is_old(0);
  late[1] = late[1] && is_old(1);
  late[2] = late[2] && is_old(2);
  late[3] = late[3] && is_old(3)
}

/* `to` has what `from` has, and the primary counts it for its commits. */
inline copy(to, from)
{
  held[to] = held[from];
  for (each : 0 .. COMMITS - 1)
  {
    if
    :: (held[from] & (1 << each)) && commit_term[each] == term[from] &&
       !(acknowledged & (1 << each)) ->
       acknowledged = acknowledged | (1 << each);
#ifdef ANSWERED_SINCE
       primary_proof = 0; primary_old = false;
       replica_proof = 0; replica_old = false
#endif
    :: else
    fi
  }
}

inline promote(target)
{
  assert((passed_on & held[target]) == passed_on); /* LOST */
  term[target] = newest_term + 1;
  last_promoted = target;
  leads[target] = true;
  paused[target] = false;
  for (each : 0 .. N - 1)
  {
    stepped_down[each] = false;
    if
    :: each != target && running[each] && !leads[each] ->
       paused[each] = false;
       held[each] = held[each] & held[target];
       term[each] = newest_term
    :: else
    fi
  }
}

inline give_up()
{
  for (each : 0 .. N - 1)
  {
    if
    :: known[each] -> paused[each] = false
    :: else
    fi
  }
}

/* A commit, and its replication. */
inline write(w)
{
  atomic
  {
    leading(w) && commits < COMMITS ->
    commit_term[commits] = term[w];
    held[w] = held[w] | (1 << commits);
    commits++
  }
}

inline receive(r, w)
{
  atomic { follows(r, w) && held[r] != held[w] -> copy(r, w) }
}

inline learn(r)
{
  atomic
  {
    running[r] && !paused[r] && term[r] < newest_term &&
    leading(last_promoted) ->
    leads[r] = false;
    stepped_down[r] = false;
    term[r] = newest_term;
    late[r] = late[r] && order_left;
    copy(r, last_promoted)
  }
}

inline join(r)
{
  atomic
  {
    !running[r] && !gone[r] ->
    running[r] = true;
    if
    :: leading(0) -> term[r] = term[0]; copy(r, 0)
    :: leading(1) -> term[r] = term[1]; copy(r, 1)
    :: leading(2) -> term[r] = term[2]; copy(r, 2)
    :: leading(3) -> term[r] = term[3]; copy(r, 3)
    :: !has_primary
    fi
  }
}

inline leave(r)
{
  atomic
  {
    running[r] && gone[0] + gone[1] + gone[2] + gone[3] < LEAVES ->
    running[r] = false; gone[r] = true;
#ifndef BRIEF_ENTRY
    known[r] = known[r] || listed[r];
#endif
    listed[r] = false; late[r] = false;
    leads[r] = false; paused[r] = false; stepped_down[r] = false;
    if
    :: r != last_promoted -> held[r] = 0
    :: else
    fi
  }
}

inline list(r)
{
  atomic
  {
    running[r] && !listed[r] ->
    listed[r] = true;
    late[r] = order_left || is_old(r)
  }
}

/* Its entry expires though it runs. */
inline expire(r)
{
  atomic
  {
    running[r] && listed[r] && known[r] ->
    listed[r] = false;
    late[r] = false;
#ifdef EXPIRED_ENTRY
    known[r] = false
#endif
  }
}

/* The holder. */

inline know(r)
{
  atomic { listed[r] && !known[r] && may_know -> known[r] = true }
}

inline forget(r)
{
  atomic { gone[r] && known[r] && is_replaced -> known[r] = false }
}

inline fence(r)
{
  atomic
  {
    state == fencing && known[r] && running[r] && !fenced(r) && !paused[r] ->
    if
    :: leads[r] -> leads[r] = false; stepped_down[r] = true
    :: else -> paused[r] = true
    fi;
    fence_again()
  }
}

/* After the wait; what is listed from now on may be late for the order. */
inline choose(r)
{
  atomic
  {
    state == fencing && list_read && may_choose(r) ->
    wait_out();
    state = checked;
    successor = r
  }
}

inline promoted(r)
{
  atomic
  {
    state == ordered && successor == r && running[r] ->
    promote(r);
    state = idle;
    end_order()
  }
}

/* The process. */

inline ask_primary(w)
{
  atomic
  {
    passed_on + 1 < (1 << COMMITS) && leading(w) &&
    (primary_proof != term[w] || primary_old) ->
    primary_proof = term[w]; primary_old = false
  }
}

inline ask_replica(r)
{
  atomic
  {
    passed_on + 1 < (1 << COMMITS) &&
    settled(r) && running[r] && !leads[r] && !paused[r] && !stepped_down[r] &&
    !is_empty(r) &&
    (replica_proof != term[r] || replica_old || (held[r] & ~shown)) ->
    replica_proof = term[r]; replica_old = false; shown = shown | held[r]
  }
}

inline pass_on(c)
{
  atomic
  {
    (acknowledged & (1 << c)) && !(passed_on & (1 << c)) && may_pass_on(c) ->
    passed_on = passed_on | (1 << c);
    assert(newest_term == commit_term[c] || /* LOST */
      (held[last_promoted] & (1 << c)));
    if
    :: passed_on + 1 == (1 << COMMITS) ->
       primary_proof = 0; replica_proof = 0; shown = 0;
       primary_old = false; replica_old = false
    :: else
    fi
  }
}

proctype endpoint(byte me)
{
  do
  :: write(me)
  :: receive(me, 0)
  :: receive(me, 1)
  :: receive(me, 2)
  :: receive(me, 3)
  :: learn(me)
  :: join(me)
  :: leave(me)
  :: list(me)
  :: know(me)
  :: forget(me)
  :: fence(me)
  :: choose(me)
  :: promoted(me)
  :: ask_primary(me)
  :: ask_replica(me)
  od
}

proctype group()
{
  do
  :: atomic { state == idle && newest_term <= PROMOTIONS -> state = fencing }
  :: atomic { state == fencing -> state = idle; give_up() }
  :: atomic { state == checked -> state = fencing; end_order() }
  :: atomic { state == checked && fenced(successor) -> state = ordered }
  :: atomic { state == ordered -> state = fencing; end_order() }
  :: expire(0)
  :: pass_on(0)
#if COMMITS > 1
  :: pass_on(1)
#endif
  od
}

init
{
  atomic
  {
    leads[0] = true;
    for (each : 0 .. LOGS - 1)
    {
      running[each] = true; term[each] = 1;
      listed[each] = true; known[each] = true
    };
    each = 0;
    run endpoint(0);
    run endpoint(1);
    run endpoint(2);
    run endpoint(3);
    run group()
  }
}
