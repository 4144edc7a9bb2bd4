/* Acceptance of configuration changes (docs/design/standing.md).

   Two operators each change one field of one object: read, then write if the
   version is still the one read. The answer to a write may be lost after it
   took effect. Three daemons take versions from the platform at any time and
   only forwards; a peer is cut off for good in some runs. An operator that
   withdraws counts the change as accepted once every daemon has it, or a
   majority has it and the others have lost the right to serve.

   Claims: a change whose write was reported as done is never undone by the
   other's; no daemon serves with a version older than an accepted one.

   Broken variants, by -D:
     BLIND_RETRY  a lost write is sent again on top of whatever is there
     NO_STANDING  a daemon serves whether or not it knows to be current
     MINORITY     accepted when one daemon has it
*/

#define N 3
#define MAJORITY_OF 2

byte version = 1;
bool field[2];   /* The stored object: one field for each operator. */
bool reported[2];
byte accepted;   /* The newest accepted version. */

byte has[N] = 1; /* The version in force at each daemon. */
bool fresh[N] = true; /* It has standing. */
bool cut[N];
bool up = true;  /* The platform answers. */

#define serves(i) (fresh[i])

inline check_serving()
{
#ifdef NO_STANDING
  assert(has[0] >= accepted && has[1] >= accepted && has[2] >= accepted)
#else
  assert((!serves(0) || has[0] >= accepted) &&
         (!serves(1) || has[1] >= accepted) &&
         (!serves(2) || has[2] >= accepted))
#endif
}

#define knows(i, v) (has[i] >= v)
#define settled(i, v) (knows(i, v) || !serves(i))
#define count_knows(v) (knows(0, v) + knows(1, v) + knows(2, v))
#ifdef MINORITY
#define acceptable(v) (count_knows(v) >= 1)
#else
#ifdef NO_STANDING
#define acceptable(v) (count_knows(v) >= MAJORITY_OF)
#else
#define acceptable(v) (count_knows(v) >= MAJORITY_OF && \
  settled(0, v) && settled(1, v) && settled(2, v))
#endif
#endif

proctype operator(byte me)
{
  byte read_version, wrote;
  bool read_field[2];
again:
  atomic
  {
    up -> read_version = version;
    read_field[0] = field[0];
    read_field[1] = field[1]
  }
  read_field[me] = true;
send:
  if
  :: atomic
     {
       up && version == read_version ->
       field[0] = read_field[0];
       field[1] = read_field[1];
       version++;
       wrote = version
     };
     if
     :: skip /* The answer comes. */
     :: true -> /* It is lost. */
#ifdef BLIND_RETRY
        atomic { up -> read_version = version };
        goto send
#else
        atomic
        {
          up ->
          if
          :: field[me] -> skip /* It took effect. */
          :: else -> goto again
          fi
        }
#endif
     fi
  :: atomic { up && version != read_version -> goto again }
  fi;
  atomic
  {
    reported[me] = true;
    assert(field[me])
  }
  atomic
  {
    acceptable(wrote) ->
    if
    :: wrote > accepted -> accepted = wrote
    :: else -> skip
    fi;
    check_serving()
  }
}

/* A reported change stays. */
active proctype watcher()
{
  atomic
  {
    (reported[0] && !field[0]) || (reported[1] && !field[1]) -> assert(false)
  }
}

active proctype platform()
{
  if
  :: up = false; up = true
  :: skip
  fi
}

/* A daemon that reaches the platform takes its version; one that doesn't loses
   its standing after the bound, and has it again when a majority that knows nothing
   newer witnesses that the platform is down. */
/* With this daemon itself that makes a majority. */
#define witnesses(k) (!cut[k] && has[k] <= has[me])

proctype daemon(byte me)
{
  byte rounds;
  if
  :: me == 2 -> cut[me] = true
  :: skip
  fi;
  do
  :: atomic
     {
       rounds < 3 && up && !cut[me] ->
       has[me] = version;
       fresh[me] = true;
       rounds++;
       check_serving()
     }
  :: atomic { rounds < 3 && (!up || cut[me]) -> fresh[me] = false; rounds++ }
  :: atomic
     {
       rounds < 3 && !up && !cut[me] &&
       (witnesses((me + 1) % N) || witnesses((me + 2) % N)) ->
       fresh[me] = true;
       rounds++;
       check_serving()
     }
  :: rounds == 3 -> break
  od
}

init
{
  atomic
  {
    run operator(0);
    run operator(1);
    run daemon(0);
    run daemon(1);
    run daemon(2)
  }
}
