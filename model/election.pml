/* Election and commitment with three voters that crash and lose disks.
 *
 * Voters vote once a term; a vote lasts if it was written. A leader commits an
 * entry once a majority holds it. A voter with a newer entry does not vote for
 * one without it. Checked: at most one leader a term, and no committed entry
 * is ever missing at a leader of a later term.
 *
 * Mutants, each of which must be caught:
 *   UNSYNCED_VOTE   a vote is forgotten in a crash
 *   ANY_LOG         a voter votes for a candidate whose log is behind
 *   EMPTY_RETURN    a voter that lost its disk votes as the old member
 */
#define N 3
#define MAX_TERM 3

byte term[N];
byte voted[N];           /* candidate + 1 in the present term; 0: none */
bool entry[N];           /* holds the entry */
bool member[N] = true;   /* counts as the member it was */
byte leader_of[4];       /* leader + 1 by term */
bool committed;
byte committed_term;
bool lost;               /* one disk may be lost */
bool two_leaders;
bool missing;
byte t;
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
    t = term[c] + 1;
    term[c] = t;
    voted[c] = c + 1;
    votes = 1;
    v = 0;
    do
    :: v < N ->
       if
       :: v != c && member[v] && LOG_OK(c, v) &&
          (term[v] < t || (term[v] == t && voted[v] == 0)) ->
          if
          :: term[v] = t; voted[v] = c + 1; votes++
          :: skip            /* the message is lost */
          fi
       :: else -> skip
       fi;
       v++
    :: v >= N -> break
    od;
    if
    :: votes >= 2 ->
       two_leaders =
         two_leaders || (leader_of[t] != 0 && leader_of[t] != c + 1);
       leader_of[t] = c + 1;
       missing = missing || (committed && t > committed_term && !entry[c])
    :: else -> skip
    fi;
    t = 0; v = 0; votes = 0
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

active proctype World() {
  do
  :: elect(0)
  :: elect(1)
  :: elect(2)
  :: replicate(0, 1)
  :: replicate(1, 2)
  :: replicate(2, 0)
  /* a crash loses what was not synced */
#ifdef UNSYNCED_VOTE
  :: atomic { voted[1] != 0 -> voted[1] = 0 }
#endif
  /* a disk is lost; the voter comes back with an empty one */
  :: atomic { !lost -> lost = true; term[0] = 0; voted[0] = 0; entry[0] = false;
RETURN_AS }
  :: atomic { term[0] == MAX_TERM && term[1] == MAX_TERM -> break }
  od
}

ltl safe { [] (!two_leaders && !missing) }
