/*
 * Tickets and claims: one non-idempotent request with an idempotency key, sent through one entry and retried through
 * another. Two agents grant tickets; each agent may restart once and loses its tickets then. Responses of the store may
 * be lost after the write has taken effect. A run message is never consumed: it may arrive late, more than once, and
 * after a restart of the agent.
 *
 * Properties (assertions):
 *   - the request runs at most once over all attempts;
 *   - an attempt that was reported as "not run" has not run and never will.
 *
 * Faulty variants, each of which must be refuted:
 *   RETRY_WITHOUT_CANCEL  an entry whose run failed retries at another agent without a response to its cancel
 *   IGNORE_INCARNATION    an agent accepts a ticket of an earlier incarnation
 *   NO_READ_BACK          a lost response to the insert of the claim is treated as success
 *   BLIND_TAKE_OVER       a claim is taken over without comparing the revision of its row
 *   NOT_RUN_ON_TIMEOUT    a failed run is reported as "not run" without proof
 *   CANCEL_FORGOTTEN      an agent responds "not started" for a ticket that it has no record of
 */

#define AGENTS 2
#define SENDS 2          /* sends of the caller, each through a different entry */
#define ATTEMPTS 4       /* each send may make a second attempt after a proof that the first did not run */
#define NO_ATTEMPT 255

mtype = { none, reserved, started, finished, voided,     /* state of a ticket */
          not_started, running, completed, unknown };    /* responses of an agent */

/* Attempt i presents ticket i of agent at_agent[i] and incarnation at_incarnation[i]. */
byte at_agent[ATTEMPTS];
byte at_incarnation[ATTEMPTS];
mtype ticket_state[ATTEMPTS];
bool run_sent[ATTEMPTS];
bool reported_not_run[ATTEMPTS];
byte runs[ATTEMPTS];
byte total_runs;
byte incarnation[AGENTS];
bool may_restart[AGENTS];

/* The claim row: the attempt that holds it, and whether the response is stored. */
byte claim_attempt = NO_ATTEMPT;
bool claim_completed;
byte claim_revision;
byte lost_answers;

inline start_run(i) {
    ticket_state[i] = started;
    runs[i]++;
    total_runs++;
    assert(!reported_not_run[i]);
    assert(total_runs <= 1);
}

inline report_not_run(i) {
    reported_not_run[i] = true;
    assert(runs[i] == 0);
}

/* Cancel and outcome messages: the response of the agent for the ticket of attempt i. */
inline ask_agent(i, answer) {
    atomic {
        if
        :: incarnation[at_agent[i]] != at_incarnation[i] ->
#ifdef CANCEL_FORGOTTEN
            answer = not_started
#else
            answer = unknown
#endif
        :: else ->
            if
            :: ticket_state[i] == reserved -> ticket_state[i] = voided; answer = not_started
            :: ticket_state[i] == voided -> answer = not_started
            :: ticket_state[i] == started -> answer = running
            :: ticket_state[i] == finished -> answer = completed
            :: ticket_state[i] == none -> answer = unknown
            fi
        fi
    }
    if
    :: true                    /* the response arrives */
    :: answer = unknown        /* the response is lost and the agent stays unreachable */
    fi
}

#define IS_CURRENT(i) (at_agent[i] == self && at_incarnation[i] == incarnation[self])

/* A run message arrives, possibly late or repeatedly; a run ends; an unused ticket expires. */
#define TICKET_EVENTS(i) \
    :: atomic { run_sent[i] && IS_CURRENT(i) && ticket_state[i] == reserved -> start_run(i) } \
    :: atomic { IS_CURRENT(i) && ticket_state[i] == started -> ticket_state[i] = finished } \
    :: atomic { IS_CURRENT(i) && ticket_state[i] == reserved -> ticket_state[i] = voided }

/* A ticket of an earlier incarnation looks new to an agent that has restarted and lost its tickets. */
#define OLD_TICKET_EVENTS(i) \
    :: atomic { run_sent[i] && at_agent[i] == self && at_incarnation[i] != incarnation[self] && \
                ticket_state[i] != voided -> at_incarnation[i] = incarnation[self]; start_run(i) }

proctype agent(byte self) {
end:
    do
    TICKET_EVENTS(0)
    TICKET_EVENTS(1)
    TICKET_EVENTS(2)
    TICKET_EVENTS(3)
#ifdef IGNORE_INCARNATION
    OLD_TICKET_EVENTS(0)
    OLD_TICKET_EVENTS(1)
    OLD_TICKET_EVENTS(2)
    OLD_TICKET_EVENTS(3)
#endif
    :: atomic { may_restart[self] -> may_restart[self] = false; incarnation[self]++ }
    od
}

/* One send of the caller through its entry. Attempts are numbered 2 * send and 2 * send + 1. */
proctype send(byte number) {
    byte mine = 2 * number;
    byte last = 2 * number + 1;
    byte holder;
    byte seen_revision;
    bool lost;
    mtype answer;

reserve:
    atomic {
        if
        :: at_agent[mine] = 0
        :: at_agent[mine] = 1
        fi;
        at_incarnation[mine] = incarnation[at_agent[mine]];
        ticket_state[mine] = reserved
    }

insert_claim:
    lost = false;
    atomic {
        if
        :: claim_attempt == NO_ATTEMPT -> claim_attempt = mine; claim_revision++
        :: else -> skip
        fi;
        holder = claim_attempt;
        seen_revision = claim_revision;
        if
        :: lost_answers > 0 -> lost_answers--; lost = true
        :: true
        fi
    }
#ifdef NO_READ_BACK
    if
    :: lost -> holder = mine
    :: else
    fi;
#else
    if
    :: lost -> atomic { holder = claim_attempt; seen_revision = claim_revision }     /* read back */
    :: else
    fi;
#endif
    if
    :: holder == mine -> goto present_ticket
    :: else -> goto resend
    fi;

resend:
    if
    :: atomic { claim_completed -> goto finish }          /* the stored response is returned */
    :: else
    fi;
    ask_agent(holder, answer);
    if
    :: answer == completed -> claim_completed = true; goto finish
    :: answer == running -> goto finish                   /* in_progress */
    :: answer == unknown -> goto finish                   /* outcome_unknown */
    :: answer == not_started ->
        atomic {
            if
#ifdef BLIND_TAKE_OVER
            :: true -> claim_attempt = mine; claim_revision++; seen_revision = claim_revision; goto present_ticket
#else
            :: claim_revision == seen_revision ->
                claim_attempt = mine; claim_revision++; seen_revision = claim_revision; goto present_ticket
            :: else -> report_not_run(mine); ticket_state[mine] = voided; goto finish
#endif
            fi
        }
    fi;

present_ticket:
    run_sent[mine] = true;
    if
    :: ticket_state[mine] == finished && at_incarnation[mine] == incarnation[at_agent[mine]] ->
        atomic {                                          /* the full response has arrived */
            if
            :: claim_revision == seen_revision -> claim_completed = true
            :: else
            fi
        };
        goto finish
    :: true ->                                            /* the connection has failed */
#ifdef NOT_RUN_ON_TIMEOUT
        atomic { report_not_run(mine) };
        goto finish;
#endif
#ifdef RETRY_WITHOUT_CANCEL
        answer = not_started;
#else
        ask_agent(mine, answer);
#endif
        if
        :: answer != not_started -> goto finish           /* outcome_unknown */
        :: answer == not_started && mine == last -> atomic { report_not_run(mine); goto finish }
        :: answer == not_started && mine != last -> goto second_attempt
        fi
    fi;

second_attempt:                                           /* another agent, under the same claim */
    atomic {
        mine = last;
        if
        :: at_agent[mine] = 0
        :: at_agent[mine] = 1
        fi;
        at_incarnation[mine] = incarnation[at_agent[mine]];
        ticket_state[mine] = reserved
    };
    atomic {
        if
        :: claim_revision == seen_revision ->
            claim_attempt = mine; claim_revision++; seen_revision = claim_revision; goto present_ticket
        :: else -> report_not_run(mine); ticket_state[mine] = voided; goto finish
        fi
    };

finish:
    skip
}

init {
    byte i;
    atomic {
        for (i : 0 .. ATTEMPTS - 1) {
            ticket_state[i] = none;
            at_agent[i] = 0;
        }
        for (i : 0 .. AGENTS - 1) {
            incarnation[i] = 1;
            may_restart[i] = true;
        }
        lost_answers = 2;
        run agent(0);
        run agent(1);
        for (i : 0 .. SENDS - 1) {
            run send(i);
        }
    }
}
