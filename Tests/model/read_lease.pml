/* The lease in time under which a primary is read.

   A group of three: endpoint 0 leads the old term, 1 and 2 follow it; a commit
   needs the primary and one replica. The promoter touches two endpoints or
   more, waits, and orders that 2 lead; the order takes effect at any later time
   and ends the pause of 1, which may never hear of the new term. A daemon asks
   all three again and again; a question may take any time to arrive, and its
   answer too. Asking changes nothing at an endpoint, so a question is modelled
   when its answer comes: it was sent at any tick up to now, and the answer says
   "goes on" if the endpoint did so at any time in between.

   Claim: the daemon never counts on its lease once the new term has begun.

   Broken variants, by -D:
     COUNT_FROM_ANSWER  the lease counts from an answer, not from its question
     NO_WAIT            the promoter orders at once
     FEW_TOUCHED        the promoter touches one endpoint only
     ANY_REPLICA        what a replica shows always counts
     ASKED_IN_LEASE     a replica counts when it was asked under a lease, though
                        it may have answered after it
     RESUME_ORDERED     the promoter ends its pauses while an order is under way
     COMMIT_RENEWS      an acknowledged commit renews the lease, though a replica
                        that joined and isn't counted received it
*/

#define LENGTH 2
#define TICKS 5

byte now = 1;
bool touched[3];
byte last_free[3]; /* Of an endpoint that is touched: the tick of the touch. */
bool ordered, begun;
byte last_touch;
byte until; /* The daemon counts on its lease before this tick. */

/* What the daemon last saw of each; 0: nothing. */
byte asked[3], answered[3];

#define check assert(!(begun && now < until))
#define max(a, b) (a > b -> a : b)
#define min(a, b) (a < b -> a : b)
#define count_touched (touched[0] + touched[1] + touched[2])
#define goes_on(i) (!touched[i] && !(begun && i == 2))
#define reaches(k, at) (asked[k] > 0 && asked[k] + LENGTH > at)
#define all_go_on(at) (reaches(0, at) && reaches(1, at) && reaches(2, at))

#ifdef ANY_REPLICA
#define trusted(j) true
#else
#ifdef ASKED_IN_LEASE
#define seen(j) asked[j]
#else
#define seen(j) answered[j]
#endif
#define trusted(j) (seen(j) < until || all_go_on(seen(j)))
#endif

#ifdef COUNT_FROM_ANSWER
#define from(k) answered[k]
#else
#define from(k) asked[k]
#endif

#ifdef FEW_TOUCHED
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

#ifdef NO_WAIT
#define waited true
#else
#define waited (now >= last_touch + LENGTH)
#endif

#ifdef RESUME_ORDERED
#define may_resume !begun
#else
#define may_resume !ordered
#endif

inline renew(j)
{
  if
  :: asked[0] > 0 && asked[j] > 0 && trusted(j) ->
     until = max(until, min(from(0), from(j)) + LENGTH)
  :: else
  fi
}

inline answer(i)
{
  atomic
  {
    select(sent : 1 .. TICKS);
    if
    :: sent <= now && sent >= asked[i] &&
       (goes_on(i) || last_free[i] >= sent) ->
       asked[i] = sent; answered[i] = now;
       renew(1);
       renew(2);
       check
    :: else
    fi;
    sent = 0
  }
}

inline touch(i)
{
  atomic
  {
    !ordered && !touched[i] ->
    touched[i] = true; last_free[i] = now; last_touch = now
  }
}

active proctype clock()
{
  do
  :: now < TICKS -> atomic { now++; check }
  :: else -> break
  od
}

active proctype promoter()
{
  do
  :: touch(0)
  :: touch(1)
  :: touch(2)
  :: atomic
     {
       may_resume && count_touched > 0 ->
       touched[0] = false; touched[1] = false; touched[2] = false;
       last_free[0] = 0; last_free[1] = 0; last_free[2] = 0; last_touch = 0
     }
  :: atomic
     {
       !ordered && count_touched >= ENOUGH && touched[2] && waited ->
       ordered = true; last_touch = 0
     }
  :: atomic { ordered -> begun = true; touched[1] = false; last_free[1] = 0; check; break }
  od
}

active proctype daemon()
{
  byte sent;
  do
  :: now == TICKS -> break
  :: answer(0)
  :: answer(1)
  :: answer(2)
#ifdef COMMIT_RENEWS
  :: atomic { goes_on(0) -> until = max(until, now + LENGTH); check }
#endif
  od
}

init
{
  skip
}
