/* Promotion and acknowledgement in one group of three endpoints.

   Endpoints keep a fence and a log of entries that are named by their term and
   offset. Two daemons hold an election each, whose messages come late, in any order or
   never. A third watches one write and acknowledges it from answers that it
   gets one at a time. An endpoint that leads may be cut off and not know that
   it was replaced: nothing but its own fence stops it from taking writes.

   Claims: whoever is promoted holds every acknowledged write; no term has two
   primaries.

   Broken variants, by -D:
     NO_FENCING     votes don't raise the fence
     MINORITY       one vote elects
     VOTE_TWICE     an endpoint votes for several candidates of one term
     OFFSET_FIRST   the longest log wins, whatever the term of its last entry
     ACK_PRIMARY    acknowledged once the primary holds it
     ACK_ANY_TERM   acknowledged by offset, whatever the terms
     STATE_LATER    the position is taken from the state at a later moment
*/

#define N 3
#define MAJORITY 2
#define LENGTH 3
#define NOBODY 9

typedef endpoint
{
  byte fence = 1;
  byte candidate = NOBODY;
  bool leads;
  byte follows = NOBODY; /* An endpoint, in the term of the fence. */
  byte length;
  byte log[LENGTH]; /* The term of each entry. */
};

endpoint e[N];

/* The write that was acknowledged: its term, and its offset plus one. */
byte acked_term;
byte acked_length;

byte primary_of[4] = NOBODY; /* By term. */

inline last_term(i, result)
{
  if
  :: e[i].length == 0 -> result = 0
  :: else -> result = e[i].log[e[i].length - 1]
  fi
}

inline append(i)
{
  e[i].log[e[i].length] = e[i].fence;
  e[i].length++
}

/* Leads for all it knows, with room for one more entry. */
#define may_append(i) (e[i].leads && e[i].length < LENGTH)

#define feeds(from, to) (e[to].follows == from && e[from].leads && \
  e[from].fence == e[to].fence && !e[to].leads)

/* One step of replication: drop what the logs don't share, or take the next
   entry. */
inline replicate(from, to)
{
  k = 0;
  do
  :: k < e[from].length && k < e[to].length &&
     e[from].log[k] == e[to].log[k] -> k++
  :: else -> break
  od;
  if
  :: k < e[to].length ->
     do
     :: e[to].length > k ->
        e[to].length--;
        e[to].log[e[to].length] = 0
     :: else -> break
     od
  :: else ->
     if
     :: k < e[from].length ->
        e[to].log[k] = e[from].log[k];
        e[to].length++
     :: else -> skip
     fi
  fi;
  k = 0
}

active proctype writer()
{
  do
  :: atomic { may_append(0) -> append(0) }
  :: atomic { may_append(1) -> append(1) }
  :: atomic { may_append(2) -> append(2) }
  od
}

active proctype replication()
{
  byte k;
  do
  :: atomic { feeds(0, 1) -> replicate(0, 1) }
  :: atomic { feeds(0, 2) -> replicate(0, 2) }
  :: atomic { feeds(1, 0) -> replicate(1, 0) }
  :: atomic { feeds(1, 2) -> replicate(1, 2) }
  :: atomic { feeds(2, 0) -> replicate(2, 0) }
  :: atomic { feeds(2, 1) -> replicate(2, 1) }
  od
}

#ifdef ACK_ANY_TERM
#define holds(i) (e[i].length >= length)
#else
#define holds(i) (e[i].fence == term && e[i].length >= length && \
  e[i].log[e[i].length - 1] == term)
#endif

/* Acknowledges at most one write: it watches a position that some primary gave
   out and counts the endpoints that said, at some moment each, that they hold
   it. */
active proctype acknowledgement()
{
  byte at, term, length, ran_in, t;
  byte count = 0;
  bool seen[N];
  do
  :: at < N - 1 -> at++
  :: break
  od;
  atomic
  {
    e[at].leads && e[at].length > 0 &&
    e[at].log[e[at].length - 1] == e[at].fence ->
    ran_in = e[at].fence;
    term = ran_in;
    length = e[at].length
  }
#ifdef STATE_LATER
  byte wrote = length;
  atomic
  {
    last_term(at, term);
    length = e[at].length
  }
#endif
  do
  :: atomic { !seen[0] && holds(0) -> seen[0] = true; count++ }
  :: atomic { !seen[1] && holds(1) -> seen[1] = true; count++ }
  :: atomic { !seen[2] && holds(2) -> seen[2] = true; count++ }
#ifdef ACK_PRIMARY
  :: atomic { seen[at] -> break }
#else
  :: atomic { count >= MAJORITY -> break }
#endif
  od;
  atomic
  {
#ifdef STATE_LATER
    length = wrote;
#endif
    acked_term = ran_in;
    acked_length = length;
    ran_in = 0; term = 0; length = 0; count = 0; at = 0
  }
  /* Whoever leads at the highest fence already must hold it, too. */
  atomic
  {
    t = 0;
    do
    :: t < N ->
       assert(!(e[t].leads && e[t].fence > acked_term &&
                (e[t].length < acked_length ||
                 e[t].log[acked_length - 1] != acked_term)));
       t++
    :: else -> break
    od;
    t = 0
  }
}

#ifdef VOTE_TWICE
#define may_grant(i) (term >= e[i].fence)
#else
#define may_grant(i) (term > e[i].fence || \
  (term == e[i].fence && e[i].candidate == _pid))
#endif

#ifdef NO_FENCING
#define raise_fence(i) skip
#else
#define raise_fence(i) \
  if \
  :: term > e[i].fence -> \
     e[i].fence = term; e[i].leads = false; e[i].follows = NOBODY \
  :: else -> skip \
  fi; \
  e[i].candidate = _pid
#endif

#ifdef OFFSET_FIRST
#define better(i) (e[i].length > best_length)
#else
#define better(i) (last > best_term || \
  (last == best_term && e[i].length > best_length))
#endif

/* The vote and the state come in one answer. */
inline ask(i)
{
  who = (_pid % 2 -> i : N - 1 - i);
  if
  :: may_grant(who) ->
     raise_fence(who);
     last_term(who, last);
     if
     :: votes == 0 || better(who) ->
        winner = who;
        best_term = last;
        best_length = e[who].length
     :: else -> skip
     fi;
     votes++
  :: else -> skip
  fi;
  last = 0; who = 0
}

#ifdef MINORITY
#define elected (votes >= 1)
#else
#define elected (votes >= MAJORITY)
#endif

proctype daemon()
{
  byte term, votes, winner, best_term, best_length, last, told;
  byte asked, who;
  /* Any term above the first: both daemons may try the same one. */
  if
  :: term = 2
  :: term = 3
  fi;
  /* One asks the endpoints upwards, the other downwards, so that each can be
     first at one of them; any question or answer may be lost. */
  do
  :: atomic { asked < N && !elected -> ask(asked); asked++ }
  :: atomic { asked < N && !elected -> asked++ }
  :: elected -> break
  :: asked == N && !elected -> goto done
  od;
  /* It may have been paused for any time before this order. */
  atomic
  {
#ifdef NO_FENCING
    if
    :: term > e[winner].fence -> e[winner].fence = term
    :: else -> skip
    fi;
#endif
    if
    :: e[winner].fence == term && !e[winner].leads &&
       e[winner].length < LENGTH ->
       e[winner].leads = true;
       e[winner].follows = NOBODY;
       assert(acked_term == 0 || acked_term >= term ||
              (e[winner].length >= acked_length &&
               e[winner].log[acked_length - 1] == acked_term));
       assert(primary_of[term] == NOBODY);
       primary_of[term] = winner;
       append(winner)
    :: else -> goto done
    fi
  }
  atomic
  {
    do
    :: told < N ->
       if
       :: told != winner && e[told].fence <= term &&
          !(e[told].fence == term && e[told].leads) ->
          e[told].fence = term;
          e[told].leads = false;
          e[told].follows = winner
       :: true -> skip /* Lost, or refused. */
       fi;
       told++
     :: told == N -> break
    od
  };
done:
  atomic
  {
    term = 0; votes = 0; winner = 0; best_term = 0; best_length = 0; told = 0; asked = 0; who = 0
  }
}

init
{
  atomic
  {
    e[0].leads = true;
    append(0);
    e[1].follows = 0;
    e[2].follows = 0;
    run daemon();
    run daemon()
  }
}
