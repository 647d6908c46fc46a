/* Saves and fetches of one part of a prompt at one cache store.
 *
 * A server may carry out a save that it was given at any time until the save
 * has ended; the store may restart empty at any time. The leader grants saves,
 * publishes the part once it has seen it complete, and gets to know restarts
 * late. Hosts plan fetches while they believe the part to be there; a planned
 * fetch may be carried out later. Checked: no fetch meets the part while it is
 * being written.
 *
 * Mutants, in each of which Spin must find an error:
 *   SEVERAL_SAVES      a save is granted while another one may still begin
 *   NO_LIST            a save is granted though nobody knows what became of the
 *                      last one
 *   NO_WAIT            a new leader grants saves before those of the last one
 *                      have ended
 *   NO_SETTLING        after a restart a save is granted before the fetches
 *                      planned earlier have ended
 */
#define SAVES 3
#define MAX_RESTARTS 2

mtype = { ABSENT, WRITING, COMPLETE };

mtype store = ABSENT;
byte restarts;           /* of the store */
bool may_begin[SAVES];   /* granted, has neither begun nor ended */
bool running[SAVES];     /* granted and not known to have ended */
byte granted;            /* number of saves so far */

byte known_restarts;     /* to the leader */
bool published;
bool was_complete;       /* the last save's part was seen complete */
bool saw_nothing = true; /* a list since the end of the last save shows none */
bool must_wait;          /* for the saves of an earlier leader */
bool leader_changed;

bool host_believes;      /* that the part is stored */
bool fetch_planned;

#define AnyRunning (running[0] || running[1] || running[2])
#define Write if :: store == ABSENT -> store = WRITING :: else -> skip fi
#define Noticed (known_restarts == restarts)

#ifdef NO_WAIT
#define HasWaited true
#define IsAlone (!AnyRunning || leader_changed)
#define LeaderKnows true
#else
#define HasWaited (!must_wait)
#define IsAlone (!AnyRunning)
#define LeaderKnows false
#endif
#ifdef SEVERAL_SAVES
#define IsOnly true
#else
#define IsOnly (IsAlone && (saw_nothing || was_complete || AnyList))
#endif
#ifdef NO_LIST
#define AnyList true
#else
#define AnyList false
#endif
#ifdef NO_SETTLING
#define HasSettled true
#else
#define HasSettled (!host_believes && !fetch_planned)
#endif
#define MayGrant (HasWaited && IsOnly && HasSettled)

active proctype System() {
  do
  /* The leader grants a save. */
  :: atomic { granted < SAVES && !published && MayGrant ->
       may_begin[granted] = true; running[granted] = true;
       granted++; saw_nothing = false; was_complete = false
     }
  /* A server carries out a save; the store keeps what it already holds. */
  :: atomic { may_begin[0] -> may_begin[0] = false; Write }
  :: atomic { may_begin[1] -> may_begin[1] = false; Write }
  :: atomic { may_begin[2] -> may_begin[2] = false; Write }
  :: atomic { store == WRITING -> store = COMPLETE }
  /* A save ends, whether it began or not. */
  :: atomic { running[0] -> running[0] = false; may_begin[0] = false }
  :: atomic { running[1] -> running[1] = false; may_begin[1] = false }
  :: atomic { running[2] -> running[2] = false; may_begin[2] = false }
  /* The leader sees the part, by an event or a list. */
  :: atomic { store == COMPLETE && Noticed ->
       published = true; was_complete = true }
  /* It sees a list without the part. */
  :: atomic { store == ABSENT && Noticed && !AnyRunning && !published ->
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
  /* Another leader: it knows neither the saves nor what became of them. */
  :: atomic { !leader_changed -> leader_changed = true; must_wait = true;
       published = false; was_complete = false; saw_nothing = LeaderKnows;
       known_restarts = restarts }
  /* It reads a list after the saves of the last leader have ended. */
  :: atomic { must_wait && !AnyRunning ->
       must_wait = false; saw_nothing = (store == ABSENT) }
  od
}
