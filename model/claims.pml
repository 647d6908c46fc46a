/* At-most-once calls: claims, dispatch, release after a timeout and takeover.
 *
 * Two hosts claim the same idempotency key through a log whose commits may be
 * late and whose answers may be lost. A host sends the call only once it knows
 * that its claim was committed first. A host that does not learn the outcome
 * in time releases its claim and never sends. Checked: the call is sent at
 * most once.
 *
 * Mutants, in each of which Spin must find an error:
 *   SEND_UNCERTAIN   a host sends without knowing the outcome of its claim
 *   FORGET_GIVEN_UP  a release committed before its claim is ignored, and the
 *                    host accepts a late grant
 *   TAKE_OVER_DEAD   the claim of an unresponsive host is granted to another
 */
#define FREE 255

byte owner = FREE;       /* replicated: host whose claim was granted */
bool claim_pending[2];   /* the claim is proposed, not committed */
bool release_pending[2]; /* the release is proposed, not committed */
bool withdrawn[2];       /* replicated: the claim was released */
bool abandoned[2];       /* local: this host will never send */
bool grant_pending[2];   /* the grant is in flight to the host */
bool waiting[2];
bool unresponsive[2];
bool finished;           /* replicated */
byte sent;

proctype Host(byte me) {
  claim_pending[me] = true;
  waiting[me] = true;
  do
  :: atomic { waiting[me] && grant_pending[me] && !abandoned[me] ->
       waiting[me] = false; sent++ }
  /* Timeout: the host releases its claim permanently. */
  :: atomic { waiting[me] && !grant_pending[me] ->
#ifdef SEND_UNCERTAIN
       waiting[me] = false; sent++
#else
#ifdef FORGET_GIVEN_UP
       release_pending[me] = true
#else
       abandoned[me] = true; waiting[me] = false; release_pending[me] = true
#endif
#endif
     }
  :: atomic { !unresponsive[me] -> unresponsive[me] = true }
  :: atomic { !waiting[me] && sent > 0 && owner == me -> finished = true; break }
  :: !waiting[me] -> break
  od
}

active proctype Log() {
  do
  :: atomic { claim_pending[0] -> claim_pending[0] = false;
       if
       :: owner == FREE && !withdrawn[0] -> owner = 0; grant_pending[0] = true
       :: else -> skip
       fi }
  :: atomic { claim_pending[1] -> claim_pending[1] = false;
       if
       :: owner == FREE && !withdrawn[1] -> owner = 1; grant_pending[1] = true
       :: else -> skip
       fi }
  :: atomic { release_pending[0] -> release_pending[0] = false;
#ifndef FORGET_GIVEN_UP
       withdrawn[0] = true;
#endif
       if
       :: owner == 0 && !finished -> owner = FREE
       :: else -> skip
       fi }
  :: atomic { release_pending[1] -> release_pending[1] = false;
#ifndef FORGET_GIVEN_UP
       withdrawn[1] = true;
#endif
       if
       :: owner == 1 && !finished -> owner = FREE
       :: else -> skip
       fi }
  /* The answer is lost. */
  :: atomic { grant_pending[0] -> grant_pending[0] = false }
  :: atomic { grant_pending[1] -> grant_pending[1] = false }
#ifdef TAKE_OVER_DEAD
  :: atomic { owner == 0 && unresponsive[0] && !finished -> owner = FREE }
  :: atomic { owner == 1 && unresponsive[1] && !finished -> owner = FREE }
#endif
  :: timeout -> break
  od
}

init { atomic { run Host(0); run Host(1) } }

ltl at_most_once { [] (sent <= 1) }
