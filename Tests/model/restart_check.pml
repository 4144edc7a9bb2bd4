/* The election of a cell leader after a restart (decide/cell_vote and
   decide/restart_check).

   A zone of three VMs. A process asks others for their votes and leads while it
   holds two. A voter gives one vote at a time, and forgets it when it restarts;
   then it gives none until the votes of the earlier processes of its VM have
   lapsed, unless the candidate has shown that nobody holds one: all processes
   have said twice, in the same incarnations, that they have asked for no vote
   since their start. A vote may be on its way for any time, and may lapse at
   any time. One process checks, once in an incarnation.

   The list of members doesn't change here. Tests/decide/member_relay_test has
   lists that do, but not this check.

   Claim: at most one process leads.

   Broken variants, by -D:
     ONE_ROUND          the first round is enough
     ANY_USE            a process that has asked for votes says so to nobody
     OTHER_INCARNATION  the rounds may be answered by different incarnations
*/

#define N 3
#define NONE 3
#define RESTARTS 2
#define VOTES 4 /* That are given. */

#define IDLE 0
#define FIRST 1
#define SECOND 2
#define PASSED 3
#define OVER 4

byte restarts;
byte votes;
byte incarnation[N] = 1;
bool used[N];
bool waits[N];     /* For the votes of earlier processes of its VM to lapse. */
byte given[N] = NONE;

/* By holder and voter: the voter's incarnation; 0: none. */
byte held[9];
byte sent[9];      /* On its way to the holder. */

byte check;        /* Of process 0. */
byte first[N];     /* What each member said to process 0. */
byte second[N];

#define at(i, j) (3 * (i) + (j))
#define has(i, j) (held[at(i, j)] != 0 -> 1 : 0)
#define leads(i) (has(i, 0) + has(i, 1) + has(i, 2) >= 2)
#define one_leads \
  assert(leads(0) + leads(1) + leads(2) <= 1)
#define counts(i, j) (held[at(i, j)] != 0 || sent[at(i, j)] != 0)
#define is_old(i, j) \
  ((held[at(i, j)] != 0 && held[at(i, j)] < incarnation[j]) || \
   (sent[at(i, j)] != 0 && sent[at(i, j)] < incarnation[j]))
#define all_said(x) (x[0] != 0 && x[1] != 0 && x[2] != 0)

#ifdef ANY_USE
#define says_unused(j) true
#else
#define says_unused(j) (!used[j])
#endif
#ifdef OTHER_INCARNATION
#define same_process(j) true
#else
#define same_process(j) (first[j] == incarnation[j])
#endif
#ifdef ONE_ROUND
#define confirmed(j) first[j]
#define AFTER_FIRST PASSED
#else
#define confirmed(j) second[j]
#define AFTER_FIRST SECOND
#endif

inline forget(i)
{
  used[i] = false;
  given[i] = NONE;
  held[at(i, 0)] = 0; held[at(i, 1)] = 0; held[at(i, 2)] = 0;
  sent[at(i, 0)] = 0; sent[at(i, 1)] = 0; sent[at(i, 2)] = 0;
  if
  :: i == 0 ->
     check = IDLE;
     first[0] = 0; first[1] = 0; first[2] = 0;
     second[0] = 0; second[1] = 0; second[2] = 0
  :: else
  fi
}

inline say(j)
{
  if
  :: !says_unused(j) || (check == SECOND && !same_process(j)) ->
     check = OVER
  :: else ->
     if
     :: check == FIRST -> first[j] = incarnation[j]
     :: else -> second[j] = incarnation[j]
     fi;
     if
     :: check == FIRST && all_said(first) -> check = AFTER_FIRST
     :: check == SECOND && all_said(second) -> check = PASSED
     :: else
     fi
  fi
}

#define may_say(i, j) \
  (i == 0 && ((check == FIRST && first[j] == 0) || \
              (check == SECOND && second[j] == 0)))
#define may_give(i, j) \
  (given[j] == NONE && \
   (!waits[j] || (i == 0 && check == PASSED && confirmed(j) == incarnation[j])))

active [N] proctype vm()
{
  byte j;
  do
  :: atomic
     {
       restarts < RESTARTS ->
       restarts++;
       forget(_pid);
       incarnation[_pid]++;
       waits[_pid] = true
     }
  :: atomic { _pid == 0 && check == IDLE && !used[0] -> check = FIRST }
  :: atomic
     {
       select(j : 0 .. 2);
       if
       :: may_say(_pid, j) -> say(j)
       /* It asks for a vote, and gets it. */
       :: votes < VOTES && may_give(_pid, j) ->
          votes++;
          used[_pid] = true;
          given[j] = _pid;
          sent[at(_pid, j)] = incarnation[j]
       /* It asks in vain. */
       :: !used[_pid] -> used[_pid] = true
       :: sent[at(_pid, j)] != 0 ->
          held[at(_pid, j)] = sent[at(_pid, j)];
          sent[at(_pid, j)] = 0;
          one_leads
       /* A vote of j that this process has, or was sent, lapses. */
       :: counts(_pid, j) -> held[at(_pid, j)] = 0; sent[at(_pid, j)] = 0
       :: else
       fi;
       j = 0
     }
  /* The times for which this process waits have passed. */
  :: atomic { given[_pid] != NONE && !counts(given[_pid], _pid) ->
              given[_pid] = NONE }
  :: atomic { waits[_pid] && !is_old(0, _pid) && !is_old(1, _pid) &&
              !is_old(2, _pid) -> waits[_pid] = false }
  od
}
