/* Concurrent configuration changes with change ids and expected revisions.
 *
 * Two operators each send one change that expects revision 0. Each may resend
 * it after a lost answer, also to a new leader that has restored a snapshot.
 * Checked: at most one change is accepted for a revision, and a change id
 * always gets the same answer.
 *
 * Mutants, in each of which Spin must find an error:
 *   NO_REVISION_CHECK  the expected revision is not checked
 *   NO_IDS             a resent change is applied again
 *   SNAPSHOT_DROPS_IDS the snapshot does not contain the answers
 */
#define NONE 0
#define YES 1
#define NO 2

byte revision;
byte answer[2];          /* replicated state, by change id */
byte first_answer[2];    /* first answer that the operator received */
byte winners;            /* changes accepted for revision 0 */
bool answers_differ;
byte requests;

#ifdef NO_REVISION_CHECK
#define REVISION_OK true
#else
#define REVISION_OK (revision == 0)
#endif
#ifdef NO_IDS
#define KNOWN(id) false
#else
#define KNOWN(id) (answer[id] != NONE)
#endif

byte result;

inline apply(id) {
  atomic {
    if
    :: KNOWN(id) -> result = answer[id]
    :: !KNOWN(id) && REVISION_OK -> revision++; winners++; result = YES
    :: !KNOWN(id) && !REVISION_OK -> result = NO
    fi;
    answer[id] = result;
    if
    :: first_answer[id] == NONE -> first_answer[id] = result
    :: first_answer[id] != NONE && first_answer[id] != result ->
       answers_differ = true
    :: else -> skip
    fi;
    result = NONE
  }
}

active proctype System() {
  do
  :: requests < 6 -> requests++; apply(0)
  :: requests < 6 -> requests++; apply(1)
  /* A new leader restores a snapshot. */
#ifdef SNAPSHOT_DROPS_IDS
  :: atomic { answer[0] = NONE; answer[1] = NONE }
#endif
  :: requests == 6 -> break
  od
}

ltl one_winner { [] (winners <= 1 && !answers_differ) }
