/* The lease on a group that picks the daemon that may promote.

   Two daemons, one object with conditional updates. An update may take effect
   long after it was sent, and its answer may come late or never. Time goes on
   in ticks, the same for all, but a daemon may be paused for any number of
   them between any two of its steps.

   Claim: two daemons never both count on the lease.

   Broken variants, by -D:
     COUNT_FROM_ANSWER  the holder counts from the answer
     NO_WAIT            a daemon takes a lease that has not lapsed
     BLIND_WRITE        a lost update is sent again without its condition
*/

#define LENGTH 2
#define TICKS 6
#define VERSIONS 6
#define FREE 9

byte now;
byte version = 1;
byte holder = FREE;

byte until[2]; /* A daemon counts on the lease before this tick. */

#define counts(i) (now < until[i])

active proctype clock()
{
  do
  :: now < TICKS ->
     atomic { now++; assert(!(counts(0) && counts(1))) }
  :: else -> break
  od
}

proctype daemon(byte me)
{
  byte seen_version, seen_at, asked_at;
  bool seen_free;
again:
  do
  :: now >= TICKS || version >= VERSIONS -> goto done
  :: atomic
     {
       now < TICKS && version < VERSIONS ->
       /* Reads the object; a version it knew keeps its first time. */
       if
       :: seen_version != version -> seen_version = version; seen_at = now
       :: else -> skip
       fi;
       seen_free = (holder == FREE || holder == me)
     }
#ifdef NO_WAIT
     break
#else
     if
     :: seen_free || now >= seen_at + LENGTH -> break
     :: else -> skip
     fi
#endif
  od;
  asked_at = now;
  /* The update travels for any time; then it takes effect or not. */
  if
  :: atomic
     {
#ifdef BLIND_WRITE
       true
#else
       version == seen_version
#endif
       -> version++; holder = me
     };
     if
     :: skip /* The answer comes. */
     :: atomic
        {
          /* It is lost: the object is read again. */
          if
          :: holder == me -> skip
          :: else -> goto again
          fi
        }
     fi;
     atomic
     {
#ifdef COUNT_FROM_ANSWER
       until[me] = now + LENGTH;
#else
       until[me] = asked_at + LENGTH;
#endif
       assert(!(counts(0) && counts(1)))
     };
     /* Releases it, or lets it lapse. */
     if
     :: atomic
        {
          holder == me && counts(me) ->
          until[me] = 0; holder = FREE; version++
        }
     :: !counts(me)
     fi
#ifndef BLIND_WRITE
  :: version != seen_version
#endif
  fi;
  goto again;
done:
  skip
}

init
{
  atomic
  {
    run daemon(0);
    run daemon(1)
  }
}
