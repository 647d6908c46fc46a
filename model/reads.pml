/* Reads at a leader that started with a snapshot and whose disk may be slow.
 *
 * A new leader has every acknowledged entry in its log, but its commit index is
 * that of its snapshot until an entry of its own term is committed. Entries are
 * handed out for delivery together with a write, and applied when the write is
 * done. A read takes its index once an own entry is committed, and is answered
 * once a quorum has confirmed the leader after the read began and everything up
 * to the index is applied. Checked: an answer shows all that was acknowledged
 * before the read began.
 *
 * Mutants, in each of which Spin must find an error:
 *   EARLY_INDEX     the index is the commit index when the read begins
 *   DELIVERED       entries count that are handed out but not applied
 *   UNCONFIRMED     a read is answered without contact with a quorum
 */
#define MAX 4

byte acked;              /* entries acknowledged by any leader */
byte snapshot;
byte commit;
byte delivered;
byte applied;
bool own_committed;      /* an entry of this leader's term is committed */
bool disk_busy;
bool deposed;            /* another leader exists, unknown to this one */
bool reading;
bool has_index;
bool confirmed;
byte index;
byte expected;           /* acknowledged when the read began */
bool stale;

#ifdef DELIVERED
#define REACHED delivered
#else
#define REACHED applied
#endif

inline become_leader() {
  commit = snapshot; delivered = snapshot; applied = snapshot;
  own_committed = false; disk_busy = false; deposed = false;
  reading = false; has_index = false; confirmed = false
}

active proctype System() {
  do
  /* All voters restart, and this one is elected. */
  :: atomic { true -> become_leader() }
  :: atomic { !deposed && !own_committed ->
       own_committed = true; commit = acked }
  :: atomic { !deposed && own_committed && acked < MAX ->
       acked++; commit = acked }
  :: deposed = true
  :: atomic { deposed && acked < MAX -> acked++ }
  /* Hands out committed entries, with or without records to write. */
  :: atomic { !disk_busy && delivered < commit ->
       delivered = commit; applied = delivered }
  :: atomic { !disk_busy && delivered < commit ->
       delivered = commit; disk_busy = true }
  :: atomic { !disk_busy -> disk_busy = true }
  :: atomic { disk_busy -> disk_busy = false; applied = delivered }
  :: atomic { !disk_busy -> snapshot = applied }
  :: atomic { !reading ->
       reading = true; expected = acked; confirmed = false;
#ifdef EARLY_INDEX
       has_index = true; index = commit
#else
       has_index = false
#endif
     }
  :: atomic { reading && own_committed && !has_index ->
       has_index = true; index = commit }
  :: atomic { reading && own_committed && !deposed -> confirmed = true }
  :: atomic { reading && has_index && REACHED >= index &&
#ifdef UNCONFIRMED
              own_committed
#else
              confirmed
#endif
       ->
       stale = stale || applied < expected;
       reading = false; has_index = false; confirmed = false; index = 0;
       expected = 0 }
  od
}

ltl safe { [] !stale }
