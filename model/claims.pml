/* At-most-once calls: claim, dispatch, give-up and takeover.
 *
 * Two hosts ask for the same key through a log whose commits may come late or
 * whose answers may be lost. A host sends the call only after it knows that
 * its claim was committed first. A host that does not learn the outcome gives
 * its claim up and never sends. Checked: the call is sent at most once.
 *
 * Mutants, each of which must be caught:
 *   SEND_UNCERTAIN   a host sends although the outcome is not known to it
 *   FORGET_GIVEN_UP  a release that comes before its claim is forgotten, and
 *                    the host takes a late grant after all
 *   TAKE_OVER_DEAD   the claim of a host that went silent is granted anew
 */
#define FREE 255

byte owner = FREE;       /* host whose claim is committed */
bool claimed[2];         /* proposal of the claim is under way */
bool releasing[2];       /* proposal of the release is under way */
bool given_up[2];        /* replicated: the claim will never be used */
bool gave_up[2];         /* local: this host never sends */
bool granted[2];         /* answer under way: granted */
bool waiting[2];
bool silent[2];
bool finished;           /* replicated */
byte sent;

proctype Host(byte me) {
  claimed[me] = true;
  waiting[me] = true;
  do
  :: atomic { waiting[me] && granted[me] && !gave_up[me] ->
       waiting[me] = false; sent++ }
  /* patience ends: the claim is given up for good */
  :: atomic { waiting[me] && !granted[me] ->
#ifdef SEND_UNCERTAIN
       waiting[me] = false; sent++
#else
#ifdef FORGET_GIVEN_UP
       releasing[me] = true
#else
       gave_up[me] = true; waiting[me] = false; releasing[me] = true
#endif
#endif
     }
  :: atomic { !silent[me] -> silent[me] = true }
  :: atomic { !waiting[me] && sent > 0 && owner == me -> finished = true; break }
  :: !waiting[me] -> break
  od
}

active proctype Log() {
  do
  :: atomic { claimed[0] -> claimed[0] = false;
       if
       :: owner == FREE && !given_up[0] -> owner = 0; granted[0] = true
       :: else -> skip
       fi }
  :: atomic { claimed[1] -> claimed[1] = false;
       if
       :: owner == FREE && !given_up[1] -> owner = 1; granted[1] = true
       :: else -> skip
       fi }
  :: atomic { releasing[0] -> releasing[0] = false;
#ifndef FORGET_GIVEN_UP
       given_up[0] = true;
#endif
       if
       :: owner == 0 && !finished -> owner = FREE
       :: else -> skip
       fi }
  :: atomic { releasing[1] -> releasing[1] = false;
#ifndef FORGET_GIVEN_UP
       given_up[1] = true;
#endif
       if
       :: owner == 1 && !finished -> owner = FREE
       :: else -> skip
       fi }
  /* the answer is lost */
  :: atomic { granted[0] -> granted[0] = false }
  :: atomic { granted[1] -> granted[1] = false }
#ifdef TAKE_OVER_DEAD
  :: atomic { owner == 0 && silent[0] && !finished -> owner = FREE }
  :: atomic { owner == 1 && silent[1] && !finished -> owner = FREE }
#endif
  :: timeout -> break
  od
}

init { atomic { run Host(0); run Host(1) } }

ltl at_most_once { [] (sent <= 1) }
