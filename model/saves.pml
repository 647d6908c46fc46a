/* Saves and fetches of one part of a prompt at one cache store.
 *
 * A server may carry out a save that it was given at any time until the save
 * has ended; the store may restart empty at any time. The leader grants saves:
 * it appends the grant to the replicated log, and answers the claim once the
 * grant is committed. It publishes the part once it has seen it complete, and
 * gets to know restarts late. Hosts plan fetches while they believe the part to
 * be there; a planned fetch may be carried out later. Another leader, perhaps
 * after a restart of all processes, knows only the log; one of an earlier
 * release has logged no grants. Checked: no fetch meets the part while it is
 * being written.
 *
 * Mutants, in each of which Spin must find an error:
 *   SEVERAL_SAVES      a save is granted while another one may still begin
 *   NO_LIST            a save is granted though nobody knows what became of the
 *                      last one
 *   NO_WAIT            a new leader grants saves before those of the last one,
 *                      which the log doesn't have, have ended
 *   NO_SETTLING        after a restart a save is granted before the fetches
 *                      planned earlier have ended
 *   ANSWERED_FIRST     a claim is answered before its grant is committed
 *   LOG_FORGOTTEN      a new leader takes no grants from the log
 */
#define SAVES 3
#define MAX_RESTARTS 2

mtype = { ABSENT, WRITING, COMPLETE };

mtype store = ABSENT;
byte restarts;           /* of the store */
byte granted;            /* number of saves so far */
/* Of each save: */
bool committed[SAVES];   /* its grant, to the log */
bool answered[SAVES];    /* a host may send it to a server */
bool may_begin[SAVES];   /* answered, has neither begun nor ended */
bool ended[SAVES];       /* will not begin any more */
bool known[SAVES];       /* to the leader, as granted */
bool restored[SAVES];    /* known from the log */

bool is_logged;          /* the first leader logs its grants */
byte known_restarts;     /* to the leader */
bool published;
bool was_complete;       /* the last save's part was seen complete */
bool saw_nothing = true; /* a list since the end of the last save shows none */
bool must_wait;          /* for the saves of an earlier leader */
bool leader_changed;

bool host_believes;      /* that the part is stored */
bool fetch_planned;

#define Runs(i) (i < granted && !ended[i])
#define AnyRuns (Runs(0) || Runs(1) || Runs(2))
#define KnownToRun(i) (known[i] && !ended[i])
#define AnyKnownToRun (KnownToRun(0) || KnownToRun(1) || KnownToRun(2))
#define Write if :: store == ABSENT -> store = WRITING :: else -> skip fi
#define Noticed (known_restarts == restarts)

#ifdef NO_WAIT
#define HasWaited true
#else
#define HasWaited (!must_wait)
#endif
#ifdef NO_LIST
#define AnyList true
#else
#define AnyList false
#endif
#ifdef SEVERAL_SAVES
#define IsOnly true
#else
#define IsOnly (!AnyKnownToRun && (saw_nothing || was_complete || AnyList))
#endif
#ifdef NO_SETTLING
#define HasSettled true
#else
#define HasSettled (!host_believes && !fetch_planned)
#endif
#define MayGrant (HasWaited && IsOnly && HasSettled)
#ifdef ANSWERED_FIRST
#define MayAnswer(i) (i < granted)
#else
#define MayAnswer(i) (i < granted && (committed[i] || !is_logged))
#endif
#ifdef LOG_FORGOTTEN
#define Remembered(i) false
#else
#define Remembered(i) (is_logged && committed[i])
#endif

inline Commit(i) { i < granted && !committed[i] && !ended[i] -> committed[i] = true }
inline Answer(i) {
  MayAnswer(i) && !answered[i] && !ended[i] ->
    answered[i] = true; may_begin[i] = true
}
inline Begin(i) { may_begin[i] -> may_begin[i] = false; Write }
/* Whether it began or not; without an answer, its host has given up the claim. */
inline End(i) { Runs(i) -> ended[i] = true; may_begin[i] = false }
/* A grant that isn't committed may be kept by the next leader or lost. What was
 * lost is never answered. */
inline Hand_over(i) {
  if
  :: is_logged && i < granted && !committed[i] -> committed[i] = true
  :: is_logged && i < granted && !committed[i] ->
       if :: !answered[i] -> ended[i] = true :: else -> skip fi
  :: else -> skip
  fi;
  known[i] = Remembered(i);
  restored[i] = known[i]
}
/* The save of a part that is seen complete has begun. The leader may count on
 * it for the saves from the log. */
inline Settle(i) {
  if :: restored[i] -> known[i] = false; restored[i] = false :: else -> skip fi
}

active proctype System() {
  if :: is_logged = true :: is_logged = false fi;
  do
  /* The leader grants a save. */
  :: atomic { granted < SAVES && !published && MayGrant ->
       known[granted] = true; granted++; saw_nothing = false;
       was_complete = false
     }
  :: atomic { Commit(0) }
  :: atomic { Commit(1) }
  :: atomic { Commit(2) }
  :: atomic { Answer(0) }
  :: atomic { Answer(1) }
  :: atomic { Answer(2) }
  /* A server carries out a save; the store keeps what it already holds. */
  :: atomic { Begin(0) }
  :: atomic { Begin(1) }
  :: atomic { Begin(2) }
  :: atomic { store == WRITING -> store = COMPLETE }
  :: atomic { End(0) }
  :: atomic { End(1) }
  :: atomic { End(2) }
  /* The leader sees the part, by an event or a list. */
  :: atomic { store == COMPLETE && Noticed ->
       published = true; was_complete = true;
       Settle(0); Settle(1); Settle(2)
     }
  /* It sees a list without the part. */
  :: atomic { store == ABSENT && Noticed && !AnyKnownToRun && !published ->
       saw_nothing = true }
  /* Hosts follow the leader; what they believe ends with their lease. */
  :: atomic { published -> host_believes = true }
  :: atomic { !published -> host_believes = false }
  :: atomic { host_believes -> fetch_planned = true }
  :: atomic { fetch_planned -> assert(store != WRITING); fetch_planned = false }
  :: atomic { fetch_planned -> fetch_planned = false }
  /* The store restarts empty; the leader gets to know. */
  :: atomic { restarts < MAX_RESTARTS -> restarts++; store = ABSENT }
  :: atomic { !Noticed -> known_restarts = restarts; published = false }
  /* Another leader: it knows the log, but not what became of the saves. */
  :: atomic { !leader_changed -> leader_changed = true;
       Hand_over(0); Hand_over(1); Hand_over(2);
       must_wait = !is_logged; is_logged = true;
       published = false; was_complete = false; saw_nothing = false;
       known_restarts = restarts }
  /* It reads a list after the saves of the last leader have ended. */
  :: atomic { must_wait && !AnyRuns ->
       must_wait = false; saw_nothing = (store == ABSENT) }
  od
}
