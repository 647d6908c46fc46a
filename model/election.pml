/* Leader election and commitment with three voters that crash and lose disks.
 *
 * A voter votes once per term and persists its vote. A leader commits an entry
 * once a majority has it. A voter that has the entry does not vote for a
 * candidate without it. Checked: each term has at most one leader, and the
 * leader of a later term has every committed entry.
 *
 * Mutants, in each of which Spin must find an error:
 *   UNSYNCED_VOTE   a vote is lost in a crash
 *   ANY_LOG         a voter votes for a candidate with an outdated log
 *   EMPTY_RETURN    a voter that lost its disk votes as the old member
 */
#define N 3
#define MAX_TERM 3

byte term[N];
byte voted[N];           /* candidate + 1 in the current term; 0: none */
bool entry[N];           /* has the entry */
bool member[N] = true;   /* is still the original member */
byte leader_of[4];       /* leader + 1 by term; 0: none */
bool committed;
byte committed_term;
bool disk_lost;          /* voter 0 has lost its disk; happens once */
bool two_leaders;
bool entry_missing;
byte new_term;
byte v;
byte votes;

#ifdef ANY_LOG
#define LOG_OK(c, v) true
#else
#define LOG_OK(c, v) (entry[c] || !entry[v])
#endif

inline elect(c) {
  atomic {
    term[c] < MAX_TERM && member[c] ->
    new_term = term[c] + 1;
    term[c] = new_term;
    voted[c] = c + 1;
    votes = 1;
    v = 0;
    do
    :: v < N ->
       if
       :: v != c && member[v] && LOG_OK(c, v) &&
          (term[v] < new_term || (term[v] == new_term && voted[v] == 0)) ->
          if
          :: term[v] = new_term; voted[v] = c + 1; votes++
          :: skip            /* the message is dropped */
          fi
       :: else -> skip
       fi;
       v++
    :: v >= N -> break
    od;
    if
    :: votes >= 2 ->
       two_leaders =
         two_leaders ||
         (leader_of[new_term] != 0 && leader_of[new_term] != c + 1);
       leader_of[new_term] = c + 1;
       entry_missing =
         entry_missing ||
         (committed && new_term > committed_term && !entry[c])
    :: else -> skip
    fi;
    new_term = 0; v = 0; votes = 0
  }
}

inline replicate(l, f) {
  atomic {
    (term[l] > 0 && leader_of[term[l]] == l + 1 && term[f] <= term[l] &&
     member[l] && member[f]) ->
    entry[l] = true;
    if
    :: term[f] < term[l] -> term[f] = term[l]; voted[f] = l + 1
    :: else -> skip
    fi;
    entry[f] = true;
    if
    :: !committed -> committed = true; committed_term = term[l]
    :: else -> skip
    fi
  }
}

#ifdef EMPTY_RETURN
#define RETURN_AS skip
#else
#define RETURN_AS member[0] = false
#endif

active proctype System() {
  do
  :: elect(0)
  :: elect(1)
  :: elect(2)
  :: replicate(0, 1)
  :: replicate(1, 2)
  :: replicate(2, 0)
  /* A crash loses what was not synced. */
#ifdef UNSYNCED_VOTE
  :: atomic { voted[1] != 0 -> voted[1] = 0 }
#endif
  /* Voter 0 loses its disk and returns with an empty one. */
  :: atomic { !disk_lost ->
       disk_lost = true; term[0] = 0; voted[0] = 0; entry[0] = false;
RETURN_AS }
  :: atomic { term[0] == MAX_TERM && term[1] == MAX_TERM -> break }
  od
}

ltl safe { [] (!two_leaders && !entry_missing) }
