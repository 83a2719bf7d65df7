/*
 * Configuration versions: three operators change the declarations at the same time, each change commits at most once
 * even when the store's response is lost, and three processes exchange versions through messages that may arrive late,
 * more than once and out of order. One process restarts; the store may be unreachable at any time.
 *
 * A change sets field 0 or field 1. Operators 0 and 1 set the same field from the same base value, operator 2 sets the
 * other field.
 *
 * Properties (assertions):
 *   - a process never applies a lower version while it runs, and a restarted process serves nothing before it has a
 *     version (which may be lower than its version before the restart, until the store or a peer delivers a higher one);
 *   - every version has exactly one content, and an accepted change is committed exactly once;
 *   - of two changes to one field from one base value exactly one is accepted; changes of different fields are both
 *     accepted.
 *
 * Faulty variants, each of which must be refuted:
 *   VERSION_NOT_COMPARED   a process applies the version of a message without comparing it with its own
 *   COMMIT_WITHOUT_COMPARE the head row is written without comparing its version
 *   CHANGE_ID_IGNORED      a change whose response was lost is committed again without looking for its id
 *   BASE_IGNORED           a change is re-applied after a conflict without checking the value that its operator read
 *   SERVE_BEFORE_CONFIGURATION  a restarted process serves before it has any version
 */

#define PROCESSES 3
#define OPERATORS 3
#define MAX_VERSION 4        /* versions 0 to 3 hold three changes; version 4 shows a doubled commit */
#define NO_OPERATOR 255
#define FIELD(o) (o == 2 -> 1 : 0)

byte head;                          /* version in the head row */
byte delta_of[MAX_VERSION + 1];     /* the operator whose change made the version */
byte field_writer[2];               /* the operator that last set the field, NO_OPERATOR initially */
bool accepted[OPERATORS];
bool refused[OPERATORS];
byte commits[OPERATORS];
byte lost_answers = 2;

byte version[PROCESSES];
bool serving[PROCESSES];
bool sent[MAX_VERSION + 1];         /* a message with this version was sent; it is never consumed */
bool may_restart = true;

/* One command of an operator. */
proctype operator(byte self) {
    byte base;
    byte seen;
    bool lost;
    byte i;
    bool found;

    base = 0;                                                     /* the version that the operator read */
    seen = NO_OPERATOR;
commit:
    atomic {
        lost = false;
        if
#ifdef COMMIT_WITHOUT_COMPARE
        :: head < MAX_VERSION ->
            delta_of[base + 1] = self; head = base + 1; field_writer[FIELD(self)] = self; commits[self]++;
#else
        :: head == base && head < MAX_VERSION ->
            head++; delta_of[head] = self; field_writer[FIELD(self)] = self; commits[self]++;
#endif
            if
            :: lost_answers > 0 -> lost_answers--; lost = true; goto resolve
            :: true -> goto success
            fi
        :: else -> goto reapply
        fi
    }
reapply:                                                          /* another change was committed first */
    atomic {
        base = head;
        if
#ifdef BASE_IGNORED
        :: true -> goto commit
#else
        :: field_writer[FIELD(self)] == seen -> goto commit
        :: else -> refused[self] = true; goto finish
#endif
        fi
    }
resolve:                                                          /* the response was lost */
#ifdef CHANGE_ID_IGNORED
    atomic { base = head; goto commit }
#else
    atomic {
        found = false;
        for (i : 1 .. MAX_VERSION) {
            if
            :: i <= head && delta_of[i] == self -> found = true
            :: else
            fi
        }
        i = 0;
        if
        :: found -> goto success
        :: else -> goto reapply
        fi
    }
#endif
success:
    atomic { accepted[self] = true; assert(commits[self] == 1) }
finish:
    skip
}

inline take(p, v) {
#ifdef VERSION_NOT_COMPARED
    if
    :: version[p] != v -> assert(v > version[p]); version[p] = v; serving[p] = true
    :: else
    fi
#else
    if
    :: v > version[p] -> assert(v > version[p]); version[p] = v; serving[p] = true
    :: else
    fi
#endif
}

proctype process(byte self) {
end:
    do
    :: atomic { head > 0 -> take(self, head) }                    /* reads the store */
    :: atomic { serving[self] -> sent[version[self]] = true }     /* announces its version */
    :: atomic { sent[1] -> take(self, 1) }                        /* a message arrives, possibly late */
    :: atomic { sent[2] -> take(self, 2) }
    :: atomic { sent[3] -> take(self, 3) }
    :: atomic { self == 0 && may_restart -> may_restart = false; version[0] = 0;
#ifdef SERVE_BEFORE_CONFIGURATION
                serving[0] = true
#else
                serving[0] = false
#endif
              }
    :: atomic { serving[self] -> assert(version[self] > 0 && version[self] <= head) }
    od
}

/* All operators read version 0 before any of them commits, so that operators 0 and 1 compete. */
proctype referee() {
    atomic {
        (accepted[0] || refused[0]) && (accepted[1] || refused[1]) && (accepted[2] || refused[2]) ->
        assert(accepted[2]);
        assert(accepted[0] != accepted[1]);
        assert(head == 2)
    }
}

init {
    byte i;
    atomic {
        field_writer[0] = NO_OPERATOR;
        field_writer[1] = NO_OPERATOR;
        for (i : 0 .. MAX_VERSION) {
            delta_of[i] = NO_OPERATOR
        }
        for (i : 0 .. OPERATORS - 1) {
            run operator(i)
        }
        for (i : 0 .. PROCESSES - 1) {
            run process(i)
        }
        run referee()
    }
}
