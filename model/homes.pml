/* Slots of one upstream while its home moves from host 0 to host 1.
 *
 * The home lends slots by lease. Control state moves the home once the old one
 * has been silent; the old one may only be cut off. Host 0 as home lends up to
 * CAP while it is fresh, and its fixed part after that; host 1 lends what is
 * left of CAP after the old home's fixed part, from a lease's time after the
 * move. Checked: slots in use never pass what the upstream bears.
 *
 * Mutants, each of which must be caught:
 *   NO_WAIT       the new home lends at once
 *   NO_FIXED_PART the new home lends all, the old one goes on
 *   KEEP_LENDING  the old home lends all though it is cut off
 */
#define CAP 2
#define FIXED 1
#define LEASE 3
#define FRESH 3
#define DOWN_AFTER 4
#define MAX_TIME 13

byte now;
bool cut;                 /* host 0 is cut off */
byte cut_at;
bool moved;               /* control state: the home is host 1 */
byte moved_at;
byte lent0;               /* slots out from host 0 and until when */
byte until0;
byte lent1;
byte until1;

#define Fresh0 (!cut || now < cut_at + FRESH)
#define Within (now >= until0 || now >= until1 || lent0 + lent1 <= CAP)

active proctype World() {
  do
  :: now < MAX_TIME -> now++
  :: atomic { !cut -> cut = true; cut_at = now }
  :: atomic { cut && !moved && now >= cut_at + DOWN_AFTER ->
       moved = true; moved_at = now }
  /* host 0 lends anew: all while it may, else its fixed part once what it
     lent before has run out */
#ifdef KEEP_LENDING
  :: atomic { !moved || cut -> lent0 = CAP; until0 = now + LEASE }
#else
  :: atomic { (!moved || cut) && Fresh0 -> lent0 = CAP; until0 = now + LEASE }
  :: atomic { cut && !Fresh0 && (now >= until0 || lent0 <= FIXED) ->
       lent0 = FIXED; until0 = now + LEASE }
#endif
#ifdef NO_WAIT
  :: atomic { moved ->
#else
  :: atomic { moved && now >= moved_at + LEASE ->
#endif
#ifdef NO_FIXED_PART
       lent1 = CAP;
#else
       lent1 = CAP - FIXED;
#endif
       until1 = now + LEASE }
  :: now == MAX_TIME -> break
  od
}

ltl bears { [] Within }
