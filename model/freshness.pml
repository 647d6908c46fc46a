/* Freshness lease of a host during a network partition.
 *
 * The leader may change; the current leader commits a change that takes a
 * domain out. A host is fresh for LEASE after the leader's quorum contact on
 * which its lease is based. Checked: LEASE after the change was committed, no
 * host is fresh without it, so no other domain sends new work there.
 *
 * Mutants, in each of which Spin must find an error:
 *   COUNT_FROM_ANSWER  the lease starts when the answer is received
 *   NO_QUORUM          a leader counts contacts without a quorum
 *   VOUCH_BEFORE_APPLY an answer grants a lease before its sender has applied
 *                      all committed changes
 */
#define LEASE 3
#define STICKINESS 1
#define MAX_TIME 9

byte now;                /* global time; the code adds a margin for drift */
bool committed;          /* the change is committed */
byte committed_at;
bool has_applied[2];     /* by voter: it has applied the change */
byte leader = 0;
byte contact[2];         /* last quorum contact of each voter as leader */
bool host_has_change;    /* the change is in force on the host */
byte host_contact;       /* start of the host's lease */
bool host_had_lease;     /* has had a lease */
bool request_pending;    /* a request is in flight */
byte request_sent_at;
bool reply_pending;      /* a reply is in flight */
byte reply_contact;
bool reply_has_change;

#define Fresh (host_had_lease && now < host_contact + LEASE)

active proctype System() {
  do
  :: now < MAX_TIME -> now++
  /* The current leader has contact with a quorum. */
  :: atomic { now < MAX_TIME -> contact[leader] = now }
#ifdef NO_QUORUM
  :: atomic { now < MAX_TIME -> contact[1 - leader] = now }
#endif
  /* The other voter becomes leader: the old one has lost its quorum. */
  :: atomic {
       now >= contact[leader] + STICKINESS ->
       leader = 1 - leader;
       contact[leader] = now;
       if
       :: committed -> has_applied[leader] = true
       :: else -> skip
       fi
     }
  /* The leader commits the change. */
  :: atomic { !committed && contact[leader] == now ->
       committed = true; committed_at = now;
#ifndef VOUCH_BEFORE_APPLY
       has_applied[leader] = true
#endif
     }
#ifdef VOUCH_BEFORE_APPLY
  :: atomic { committed -> has_applied[leader] = true }
#endif
  /* The host sends a request; messages may be lost or delayed. */
  :: atomic { !request_pending && !reply_pending ->
       request_pending = true; request_sent_at = now }
  :: atomic { request_pending -> request_pending = false }
  /* Either voter answers, also one that is no longer leader. */
  :: atomic { request_pending && contact[0] > 0 ->
       request_pending = false; reply_pending = true;
       reply_contact = request_sent_at -
         (now - contact[0] > request_sent_at -> request_sent_at :
          now - contact[0]);
       reply_has_change = has_applied[0] }
  :: atomic { request_pending && contact[1] > 0 ->
       request_pending = false; reply_pending = true;
       reply_contact = request_sent_at -
         (now - contact[1] > request_sent_at -> request_sent_at :
          now - contact[1]);
       reply_has_change = has_applied[1] }
  :: atomic { reply_pending -> reply_pending = false }
  :: atomic { reply_pending && (reply_has_change || !host_has_change) ->
       reply_pending = false;
       host_has_change = host_has_change || reply_has_change;
#ifdef COUNT_FROM_ANSWER
       host_contact = now;
#else
       if
       :: reply_contact > host_contact -> host_contact = reply_contact
       :: else -> skip
       fi;
#endif
       host_had_lease = true }
  :: now == MAX_TIME -> break
  od
}

ltl taken_out { [] !(committed && now >= committed_at + LEASE && Fresh &&
                     !host_has_change) }
