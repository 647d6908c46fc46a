/* Changes with ids and expected revisions, resent by operators that race.
 *
 * Two operators each send one change against the revision they saw; each may
 * send it again after a lost answer, also to a new leader that starts from a
 * snapshot. Checked: equal revisions have one winner, and an id always gets
 * the same answer.
 *
 * Mutants, each of which must be caught:
 *   NO_REVISION_CHECK  the expected revision is not compared
 *   NO_IDS             a change sent again is applied again
 *   SNAPSHOT_DROPS_IDS the answers are not part of the snapshot
 */
#define NONE 0
#define YES 1
#define NO 2

byte revision;
byte answer[2];          /* replicated, by change id */
byte told[2];            /* first answer the operator got */
byte winners;            /* changes accepted against revision 0 */
bool differs;
byte sends;

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

byte a;

inline apply(id) {
  atomic {
    if
    :: KNOWN(id) -> a = answer[id]
    :: !KNOWN(id) && REVISION_OK -> revision++; winners++; a = YES
    :: !KNOWN(id) && !REVISION_OK -> a = NO
    fi;
    answer[id] = a;
    if
    :: told[id] == NONE -> told[id] = a
    :: told[id] != NONE && told[id] != a -> differs = true
    :: else -> skip
    fi;
    a = NONE
  }
}

active proctype World() {
  do
  :: sends < 6 -> sends++; apply(0)
  :: sends < 6 -> sends++; apply(1)
  /* a new leader restores a snapshot */
#ifdef SNAPSHOT_DROPS_IDS
  :: atomic { answer[0] = NONE; answer[1] = NONE }
#endif
  :: sends == 6 -> break
  od
}

ltl one_winner { [] (winners <= 1 && !differs) }
