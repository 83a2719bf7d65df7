/*
 * Model of the expert map switch on ranks that execute commands: prepare all ranks, hold step S at rank 0, arm rank 0
 * for S, then arm the other rank, release S (go). The model has two ranks, two concurrent coordinators with fencing tokens 1 and 2, and
 * one loss of the group's epoch. A coordinator may stop at any point (killed) or pause for any time (frozen). A command
 * is executed at once, is lost, or is accepted without a response and executed at any later time; a late execution does
 * not check the fencing token.
 *
 * Rules of a coordinator:
 *   - It presents its token to every rank before it reads the state of the ranks, and stops when a rank has seen a
 *     higher token.
 *   - It holds S only after it has seen that all ranks are prepared, and arms ranks only after it has seen the hold.
 *   - Only the report of a rank itself shows that the rank is armed. S is released when all ranks are armed.
 *   - It completes a switch that it finds with an armed rank, or with a hold and all ranks prepared. It releases a hold
 *     that it finds with an unprepared rank and no armed rank. Without a hold and an armed rank, it starts a switch
 *     only while a rank is unprepared, and otherwise waits until S has begun.
 *   - It arms the other rank only after it has seen that rank 0 is armed. If it cannot reach the other rank, it releases
 *     a hold after it has seen that rank 0 is not armed and has discarded the map for a later one, which rank 0 does
 *     only while it is not armed. A coordinator that sees this while it arms rank 0 releases the hold too.
 *
 * Property: when S begins, both ranks are armed or neither is.
 *
 * Faulty variants, each of which must be refuted:
 *   NO_HOLD           ranks are armed without a hold
 *   GO_EARLY          S is released when the first rank is armed
 *   ARM_ASSUMED       an arm command without a response counts as executed
 *   HOLD_ASSUMED      a hold command without a response counts as executed
 *   RELEASE_PREPARED  a hold without an armed rank is released although all ranks are prepared
 *   READ_BEFORE_FENCE a coordinator decides by state that it read before all ranks had seen its token
 *   EPOCH_IGNORED     a rank executes commands of an earlier epoch
 *   KEEP_PREPARED     a hold is released out of reach of the other rank without making rank 0 discard the map
 *   OTHER_FIRST       the other rank is armed before rank 0
 */

#define RANKS 2
#define NONE 0

bool prepared[RANKS];
bool armed[RANKS];
bool held;
bool begun;
bool discarded; /* rank 0 has a later map than the one for S, so that it never prepares that one again */
byte fence[RANKS];
byte epoch = 1;
byte losses_left = 1;

/* Epoch of a command that was accepted without a response, or NONE. */
byte late_prepare[RANKS];
byte late_arm[RANKS];
byte late_hold;
byte late_go;
byte late_discard;

#ifdef EPOCH_IGNORED
#define FITS(e) true
#else
#define FITS(e) ((e) == epoch)
#endif

inline do_prepare(rank, e) {
    if
    :: FITS(e) && !armed[rank] && !(rank == 0 && discarded) -> prepared[rank] = true
    :: else -> skip
    fi
}

inline do_discard(e) {
    if
    :: FITS(e) && !armed[0] -> prepared[0] = false; discarded = true
    :: else -> skip
    fi
}

inline do_arm(rank, e) {
    if
    :: FITS(e) && prepared[rank] && !begun -> armed[rank] = true
    :: else -> skip
    fi
}

inline do_hold(e) {
    if
    :: FITS(e) && !begun -> held = true
    :: else -> skip
    fi
}

inline do_go(e) {
    if
    :: FITS(e) -> held = false
    :: else -> skip
    fi
}

/* One command to a rank: refused because of its token, executed, accepted for later execution, or lost. */
#define GIVE(rank, carry_out, keep) \
    atomic { \
        if \
        :: fence[rank] > token -> goto stopped \
        :: fence[rank] <= token -> \
            fence[rank] = token; \
            if \
            :: carry_out \
            :: keep \
            fi \
        :: true -> skip \
        fi \
    }

active proctype group() {
end:
    do
    :: atomic { !held && !begun -> begun = true; assert(armed[0] == armed[1]) }
    od
}

active proctype late_orders() {
    byte rank;
end:
    do
    :: atomic { late_prepare[0] != NONE -> do_prepare(0, late_prepare[0]); late_prepare[0] = NONE }
    :: atomic { late_prepare[1] != NONE -> do_prepare(1, late_prepare[1]); late_prepare[1] = NONE }
    :: atomic { late_arm[0] != NONE -> do_arm(0, late_arm[0]); late_arm[0] = NONE }
    :: atomic { late_arm[1] != NONE -> do_arm(1, late_arm[1]); late_arm[1] = NONE }
    :: atomic { late_hold != NONE -> do_hold(late_hold); late_hold = NONE }
    :: atomic { late_go != NONE -> do_go(late_go); late_go = NONE }
    :: atomic { late_discard != NONE -> do_discard(late_discard); late_discard = NONE }
    od
}

active proctype loss_of_epoch() {
    atomic {
        losses_left > 0 ->
        losses_left--;
        epoch++;
        prepared[0] = false; prepared[1] = false;
        armed[0] = false; armed[1] = false;
        held = false; begun = false; discarded = false;
        fence[0] = 0; fence[1] = 0
    }
}

inline read_all() {
    saw_prepared = prepared[0];
    saw_armed = armed[0];
    saw_held = held;
    saw_prepared = saw_prepared && prepared[1];
    saw_armed = saw_armed || armed[1]
}

proctype coordinator(byte token) {
    byte own;
    byte rank;
    bool saw_prepared;
    bool saw_armed;
    bool saw_held;
    bool may_abandon;

    own = epoch;
    if
    :: atomic { held && !armed[0] -> skip }; /* the other rank cannot be reached */
#ifndef KEEP_PREPARED
        GIVE(0, do_discard(own), late_discard = own);
        if
        :: atomic { held && !armed[0] && discarded && epoch == own -> skip }
        :: goto stopped
        fi;
#endif
        goto release
    :: skip
    fi;
#ifdef READ_BEFORE_FENCE
    read_all();
#endif
    rank = 0;
    do
    :: rank < RANKS -> GIVE(rank, skip, skip); rank++
    :: else -> break
    od;
    /* A lost command does not present the token. */
    if
    :: fence[0] != token || fence[1] != token -> goto stopped
    :: else -> skip
    fi;
#ifndef READ_BEFORE_FENCE
    read_all();
#endif
    if
    :: begun || epoch != own -> goto stopped
    :: else -> skip
    fi;
#ifdef RELEASE_PREPARED
    if
    :: saw_held && !saw_armed -> goto release
    :: else -> skip
    fi;
#endif
    if
    :: saw_armed || (saw_held && saw_prepared) -> goto complete
    :: !saw_armed && saw_held && !saw_prepared -> goto release
    :: !saw_armed && !saw_held && saw_prepared -> goto stopped /* waits until S has begun */
    :: !saw_armed && !saw_held && !saw_prepared -> skip
    fi;

    do
    :: !prepared[0] -> GIVE(0, do_prepare(0, own), late_prepare[0] = own)
    :: !prepared[1] -> GIVE(1, do_prepare(1, own), late_prepare[1] = own)
    :: prepared[0] && prepared[1] -> break
    :: goto stopped
    od;
    if
    :: epoch != own -> goto stopped
    :: else -> skip
    fi;
#ifndef NO_HOLD
    GIVE(0, do_hold(own), late_hold = own);
#ifndef HOLD_ASSUMED
    if
    :: !held -> goto stopped /* the hold may still be executed late; it is then released as a stray hold */
    :: held -> skip
    fi;
#endif
#endif

complete:
    may_abandon = !saw_armed;
    if
    :: epoch != own -> goto stopped
    :: else -> skip
    fi;
#ifdef OTHER_FIRST
#define NTH(n) (1 - (n))
#else
#define NTH(n) (n)
#endif
    rank = 0;
    do
    :: rank < RANKS ->
        do
        :: epoch != own -> goto stopped
        :: armed[NTH(rank)] -> break
        :: NTH(rank) == 0 && may_abandon && !armed[0] && discarded -> goto release
        :: !armed[NTH(rank)] ->
            GIVE(NTH(rank), do_arm(NTH(rank), own), late_arm[NTH(rank)] = own)
#ifdef ARM_ASSUMED
            ; break
#endif
        :: goto stopped
        od;
        rank++;
#ifdef GO_EARLY
        break
#endif
    :: rank >= RANKS -> break
    od;

release:
    do
    :: held && epoch == own -> GIVE(0, do_go(own), late_go = own)
    :: !held || epoch != own -> break
    :: goto stopped
    od;

stopped:
    skip
}

init {
    atomic {
        run coordinator(1);
        run coordinator(2)
    }
}
