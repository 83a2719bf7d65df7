/*
 * Model of the expert map switch: three ranks run in lock-step and switch from map 0 to map 1 at step 1. Rank 0's agent
 * is the first coordinator (ballot 1). Any rank may commit or abort the switch later with a higher ballot, because the
 * coordinator may stop at any point. Agents may restart; a restarted agent has lost all state except the step and map
 * that its own rank reports. Messages are never consumed: each may arrive late, more than once, and out of order.
 *
 * Rules of an agent:
 *   - An agent promises ballot 1 unless its rank has started step 1, it has seen a higher ballot, its rank does not
 *     have the weights, or the switch is decided. While the promise is open, the rank does not start step 1 or later
 *     steps.
 *   - The coordinator commits when all ranks have promised, and aborts when a rank has refused.
 *   - A recovery with ballot b queries all ranks. Each rank raises its ballot to b and responds with the outcome that
 *     it has. When all ranks have responded, the proposer commits if at least one response is committed, and aborts
 *     otherwise. The proposer decides only while its own ballot is b.
 *   - An agent ignores a decision with a ballot lower than its own.
 *   - A restarted agent first reads the ballots of all other ranks and adopts the highest. Before that, it ignores
 *     prepare, query and decision messages. It grants no step before it has decided with a ballot of its own or has
 *     received the decision of a ballot that it responded to since the restart.
 *
 * Property: in every step all ranks use the same map.
 *
 * Limit: with three restarts during one switch (RESTARTS=3) all ranks may have lost their state, and the property
 * fails. That is a cold start of the group, which is outside this specification.
 *
 * Faulty variants, each of which must be refuted:
 *   COMMIT_ON_MAJORITY   the coordinator commits when two of three ranks have promised
 *   RESTART_FORGETS      a restarted agent grants steps without a recovery
 *   BALLOT_IGNORED       an agent applies a decision with a lower ballot
 *   PROMISE_IGNORED      a rank with an open promise starts the step on the old map
 *   PROPOSAL_KEPT        a restarted agent concludes a query of its earlier incarnation (needs two restarts)
 *   BALLOT_NOT_READ      a restarted agent responds to queries before it has read the ballots of the other ranks
 */

#define RANKS 3
#define SWITCH_STEP 1
#define STEPS 2
#define MAX_BALLOT 3
#define NO_MAP 255
#define NO_RANK 255
#ifndef RESTARTS
#define RESTARTS 2
#endif

mtype = { undecided, committed, aborted };

byte step[RANKS];                 /* the next step of the rank */
byte map_of_step[STEPS];
bool promised[RANKS];
mtype outcome[RANKS];             /* the outcome that the agent has */
byte ballot[RANKS];
bool recovering[RANKS];
bool ballots_read[RANKS];         /* a recovering agent has read the ballots of all other ranks */
bool was_read[RANKS * RANKS];     /* reader * RANKS + rank */
bool ran_switch_step[RANKS];      /* reported by the rank itself, with ran_map */
byte ran_map[RANKS];
byte restarts_left = RESTARTS;

/* Messages. */
bool prepare_sent;
bool vote_promise[RANKS];
bool vote_refuse[RANKS];
bool query_sent[MAX_BALLOT + 1];
byte proposer[MAX_BALLOT + 1];
bool answered[(MAX_BALLOT + 1) * RANKS];
mtype answer[(MAX_BALLOT + 1) * RANKS];
mtype decision[MAX_BALLOT + 1];

#define IS_ANSWERING(r) (!recovering[r] || ballots_read[r])
#define ALL_ANSWERED(b) (answered[(b) * RANKS] && answered[(b) * RANKS + 1] && answered[(b) * RANKS + 2])
#define ONE_COMMITTED(b) (answer[(b) * RANKS] == committed || answer[(b) * RANKS + 1] == committed || \
                          answer[(b) * RANKS + 2] == committed)
#ifdef COMMIT_ON_MAJORITY
#define IS_PROMISED ((vote_promise[0] && vote_promise[1]) || (vote_promise[0] && vote_promise[2]) || \
                     (vote_promise[1] && vote_promise[2]))
#else
#define IS_PROMISED (vote_promise[0] && vote_promise[1] && vote_promise[2])
#endif

inline apply(r, value) {
    outcome[r] = value;
    promised[r] = false;
    recovering[r] = false
}

inline give_answer(r, b) {
    ballot[r] = b;
    answered[(b) * RANKS + r] = true;
    answer[(b) * RANKS + r] = outcome[r]
}

/* A rank starts its next step when all ranks have started the previous step. */
inline start_step(r) {
    if
    :: step[r] >= SWITCH_STEP && outcome[r] == committed -> ran_map[r] = 1
    :: else -> ran_map[r] = 0
    fi;
    assert(map_of_step[step[r]] == NO_MAP || map_of_step[step[r]] == ran_map[r]);
    map_of_step[step[r]] = ran_map[r];
    ran_switch_step[r] = ran_switch_step[r] || step[r] == SWITCH_STEP;
    step[r]++
}

#ifdef PROMISE_IGNORED
#define IS_FREE(r) true
#else
#define IS_FREE(r) (step[r] < SWITCH_STEP || !promised[r] || outcome[r] != undecided)
#endif

#define QUERY_EVENTS(b) \
    :: atomic { query_sent[b] && IS_ANSWERING(self) && ballot[self] < b -> give_answer(self, b) } \
    :: atomic { !query_sent[b] && IS_ANSWERING(self) && ballot[self] < b && \
                (recovering[self] || (promised[self] && outcome[self] == undecided)) -> \
                query_sent[b] = true; proposer[b] = self; give_answer(self, b) } \
    :: atomic { query_sent[b] && proposer[b] == self && ballot[self] == b && decision[b] == undecided && \
                ALL_ANSWERED(b) && IS_ANSWERING(self) -> \
                if \
                :: ONE_COMMITTED(b) -> decision[b] = committed \
                :: else -> decision[b] = aborted \
                fi; \
                apply(self, decision[b]) }

#ifdef BALLOT_IGNORED
#define IS_CURRENT(b) true
#else
#define IS_CURRENT(b) (ballot[self] <= b)
#endif

#define DECISION_EVENTS(b) \
    :: atomic { decision[b] != undecided && !recovering[self] && outcome[self] == undecided && IS_CURRENT(b) -> \
                ballot[self] = b; apply(self, decision[b]) } \
    :: atomic { decision[b] != undecided && recovering[self] && ballots_read[self] && ballot[self] == b && \
                answered[(b) * RANKS + self] -> apply(self, decision[b]) }

/* A ballot contains the incarnation of its proposer, so that a restarted agent does not conclude an earlier query. */
#ifdef PROPOSAL_KEPT
#define FORGET_PROPOSAL(b) skip
#else
#define FORGET_PROPOSAL(b) \
    if \
    :: proposer[b] == self -> proposer[b] = NO_RANK \
    :: else \
    fi
#endif

#define READ_EVENTS(r) \
    :: atomic { recovering[self] && !ballots_read[self] && self != r && !was_read[self * RANKS + r] -> \
                was_read[self * RANKS + r] = true; \
                if \
                :: ballot[r] > ballot[self] -> ballot[self] = ballot[r] \
                :: else \
                fi }

proctype rank(byte self) {
end:
    do
    :: atomic { step[self] < STEPS && step[0] >= step[self] && step[1] >= step[self] && step[2] >= step[self] &&
                !recovering[self] && IS_FREE(self) -> start_step(self) }
    /* prepare */
    :: atomic { prepare_sent && !recovering[self] && ballot[self] <= 1 && step[self] <= SWITCH_STEP &&
                !promised[self] && outcome[self] == undecided ->
                ballot[self] = 1; promised[self] = true; vote_promise[self] = true }
    :: atomic { prepare_sent && !recovering[self] && !promised[self] && outcome[self] == undecided ->
                vote_refuse[self] = true; outcome[self] = aborted }      /* no weights, or the step has started */
    QUERY_EVENTS(2)
    QUERY_EVENTS(3)
    DECISION_EVENTS(1)
    DECISION_EVENTS(2)
    DECISION_EVENTS(3)
    /* restart */
    :: atomic { restarts_left > 0 && !recovering[self] ->
                restarts_left--;
                promised[self] = false;
                FORGET_PROPOSAL(2);
                FORGET_PROPOSAL(3);
                ballot[self] = 0;
                if
                :: ran_switch_step[self] && ran_map[self] == 1 -> outcome[self] = committed
                :: ran_switch_step[self] && ran_map[self] == 0 -> outcome[self] = aborted
                :: else -> outcome[self] = undecided
                fi;
#ifndef RESTART_FORGETS
                recovering[self] = true;
#endif
#ifdef BALLOT_NOT_READ
                ballots_read[self] = true;
#else
                ballots_read[self] = false;
#endif
                was_read[self * RANKS] = false;
                was_read[self * RANKS + 1] = false;
                was_read[self * RANKS + 2] = false }
    READ_EVENTS(0)
    READ_EVENTS(1)
    READ_EVENTS(2)
    :: atomic { recovering[self] && !ballots_read[self] &&
                (self == 0 || was_read[self * RANKS]) && (self == 1 || was_read[self * RANKS + 1]) &&
                (self == 2 || was_read[self * RANKS + 2]) -> ballots_read[self] = true }
    od
}

/* Rank 0's agent as the coordinator. It may stop at any point, and does not coordinate after a restart. */
#define IS_COORDINATING (ballot[0] <= 1 && !recovering[0] && outcome[0] == undecided)

proctype coordinator() {
    prepare_sent = true;
end:
    if
    :: atomic { IS_COORDINATING && promised[0] && IS_PROMISED -> decision[1] = committed; apply(0, committed) }
    :: atomic { ballot[0] <= 1 && !recovering[0] && (vote_refuse[0] || vote_refuse[1] || vote_refuse[2]) &&
                outcome[0] != committed -> decision[1] = aborted; apply(0, aborted) }
    fi
}

init {
    byte i;
    atomic {
        for (i : 0 .. RANKS - 1) {
            outcome[i] = undecided
        }
        for (i : 0 .. MAX_BALLOT) {
            decision[i] = undecided;
            proposer[i] = NO_RANK
        }
        for (i : 0 .. (MAX_BALLOT + 1) * RANKS - 1) {
            answer[i] = undecided
        }
        for (i : 0 .. STEPS - 1) {
            map_of_step[i] = NO_MAP
        }
        for (i : 0 .. RANKS - 1) {
            run rank(i)
        }
        run coordinator()
    }
}
