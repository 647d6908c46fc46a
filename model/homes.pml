/* Slots of one upstream while its home moves from host 0 to host 1.
 *
 * The home lends slots under leases. The control plane moves the home once the
 * old one has been unreachable for DOWN_AFTER; the old one may still be running
 * in a partition. Host 0 lends up to CAP while it is fresh, and its fixed share
 * after that. Host 1 lends CAP without the old home's fixed share, starting one
 * lease after the move. Checked: the slots in use never exceed the upstream's
 * capacity.
 *
 * Mutants, in each of which Spin must find an error:
 *   NO_WAIT       the new home starts lending immediately
 *   NO_FIXED_PART the new home lends all slots while the old one still lends
 *   KEEP_LENDING  the old home lends all slots although it is isolated
 */
#define CAP 2
#define FIXED 1
#define LEASE 3
#define FRESH 3
#define DOWN_AFTER 4
#define MAX_TIME 13

byte now;
bool isolated;           /* host 0 is isolated */
byte isolated_at;
bool moved;              /* control plane: the home is host 1 */
byte moved_at;
byte lent0;              /* slots that host 0 has lent, and the lease's end */
byte until0;
byte lent1;
byte until1;

#define Fresh0 (!isolated || now < isolated_at + FRESH)
#define WithinCapacity (now >= until0 || now >= until1 || lent0 + lent1 <= CAP)

active proctype System() {
  do
  :: now < MAX_TIME -> now++
  :: atomic { !isolated -> isolated = true; isolated_at = now }
  :: atomic { isolated && !moved && now >= isolated_at + DOWN_AFTER ->
       moved = true; moved_at = now }
  /* Host 0 renews its lease: all slots while it is fresh, then its fixed share
     once the earlier lease has expired. */
#ifdef KEEP_LENDING
  :: atomic { !moved || isolated -> lent0 = CAP; until0 = now + LEASE }
#else
  :: atomic { (!moved || isolated) && Fresh0 -> lent0 = CAP; until0 = now + LEASE }
  :: atomic { isolated && !Fresh0 && (now >= until0 || lent0 <= FIXED) ->
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

ltl within_capacity { [] WithinCapacity }
