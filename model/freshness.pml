/* Freshness lease against a silent partition.
 *
 * A leader may change hands; a change that takes a domain out is committed by
 * the leader of the newest term. A host is fresh while the contact that its
 * lease stems from is younger than LEASE. Checked: LEASE after the change was
 * committed no host is fresh without it, so no remote domain sends new work.
 *
 * Mutants, each of which must be caught:
 *   COUNT_FROM_ANSWER  the lease counts from when the answer comes
 *   NO_QUORUM          a leader counts contacts that no quorum answered
 *   VOUCH_BEFORE_APPLY an answer vouches for more than its sender has applied
 */
#define LEASE 3
#define STICK 1
#define MAX_TIME 9

byte now;                /* one true time; clock drift is a margin in the code */
bool committed;          /* the change is committed */
byte committed_at;
bool leader_knows[2];    /* the two voters that may lead: has it applied? */
byte leader = 0;
byte contact[2];         /* newest quorum contact of each as leader */
bool host_has;           /* the host has the change in force */
byte host_contact;       /* its lease counts from here */
bool host_fresh_once;
bool asked;              /* a question is under way */
byte asked_at;
bool answered;           /* an answer is under way */
byte answer_contact;
bool answer_has;

#define Fresh (host_fresh_once && now < host_contact + LEASE)

active proctype World() {
  do
  :: now < MAX_TIME -> now++
  /* the present leader has contact with a quorum */
  :: atomic { now < MAX_TIME -> contact[leader] = now }
#ifdef NO_QUORUM
  :: atomic { now < MAX_TIME -> contact[1 - leader] = now }
#endif
  /* the other voter becomes leader: a quorum has not heard the old one */
  :: atomic {
       now >= contact[leader] + STICK ->
       leader = 1 - leader;
       contact[leader] = now;
       if
       :: committed -> leader_knows[leader] = true
       :: else -> skip
       fi
     }
  /* the leader commits the change */
  :: atomic { !committed && contact[leader] == now ->
       committed = true; committed_at = now;
#ifndef VOUCH_BEFORE_APPLY
       leader_knows[leader] = true
#endif
     }
#ifdef VOUCH_BEFORE_APPLY
  :: atomic { committed -> leader_knows[leader] = true }
#endif
  /* the host asks; messages are lost or late at will */
  :: atomic { !asked && !answered -> asked = true; asked_at = now }
  :: atomic { asked -> asked = false }
  /* one of the voters answers, perhaps one that no longer leads */
  :: atomic { asked && contact[0] > 0 ->
       asked = false; answered = true;
       answer_contact = asked_at - (now - contact[0] > asked_at -> asked_at :
                                    now - contact[0]);
       answer_has = leader_knows[0] }
  :: atomic { asked && contact[1] > 0 ->
       asked = false; answered = true;
       answer_contact = asked_at - (now - contact[1] > asked_at -> asked_at :
                                    now - contact[1]);
       answer_has = leader_knows[1] }
  :: atomic { answered -> answered = false }
  :: atomic { answered && (answer_has || !host_has) ->
       answered = false;
       host_has = host_has || answer_has;
#ifdef COUNT_FROM_ANSWER
       host_contact = now;
#else
       if
       :: answer_contact > host_contact -> host_contact = answer_contact
       :: else -> skip
       fi;
#endif
       host_fresh_once = true }
  :: now == MAX_TIME -> break
  od
}

ltl taken_out { [] !(committed && now >= committed_at + LEASE && Fresh &&
                     !host_has) }
