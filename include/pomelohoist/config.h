#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// All tunable constants of the library. Settings files override those that a deployment may change.
/// The unit of a number without a `std::chrono` type is part of its name or stands in its comment.
namespace pomelohoist::config {

using namespace std::chrono_literals;

// Inner protocol.
inline constexpr std::uint8_t protocol_version = 2;
inline constexpr std::size_t max_datagram_bytes = 1400;
inline constexpr std::size_t max_frame_bytes = 16U << 20U; // 16 MB
// Transmissions of one datagram call, the first one included; they divide the timeout of the call evenly.
inline constexpr std::uint32_t datagram_attempts = 3;
inline constexpr std::uint32_t datagram_workers = 4;       // threads that handle received datagrams
inline constexpr std::size_t max_pending_datagrams = 4096; // queue length; further datagrams are dropped
inline constexpr std::uint16_t max_stream_connections = 1024;
// Short, because one unresponsive agent delays all calls of the same batch.
inline constexpr std::chrono::milliseconds reserve_timeout{150};
// Timeout of a cancel call for a request that is not idempotent; other cancel calls use `reserve_timeout`.
inline constexpr std::chrono::milliseconds cancel_timeout{450};
inline constexpr std::chrono::milliseconds connect_timeout{500};
inline constexpr std::chrono::milliseconds status_timeout{600};

// Tickets.
inline constexpr std::chrono::milliseconds ticket_lifetime{2000};
inline constexpr std::size_t max_remembered_tickets = 65536; // limit for each of open, voided and finished tickets
inline constexpr std::chrono::minutes completed_response_lifetime{10};
inline constexpr std::size_t max_completed_responses = 1024;

// Routing and retries.
inline constexpr std::size_t reserve_candidates = 3; // endpoints that are queried for a ticket in one round
inline constexpr std::uint32_t max_attempts = 4;     // rounds of reserve and run for one request
// Retry budget: a retry consumes one token, a request adds this part of a token.
inline constexpr double retry_budget_share = 0.2;
inline constexpr double retry_budget_reserve = 10.0; // tokens at the start
// The wait before the n-th retry is a random part of the lesser of base * 2^(n-1) and the cap.
inline constexpr std::chrono::milliseconds retry_backoff_base{20};
inline constexpr std::chrono::milliseconds retry_backoff_cap{500};
inline constexpr std::chrono::milliseconds default_request_deadline{60000};
inline constexpr std::chrono::milliseconds max_request_deadline{3600000};
// In tokens. Suffices for the retries of all streams that break at once when one of few endpoints crashes.
inline constexpr double retry_budget_cap = 200.0;
inline constexpr std::uint32_t max_configuration_pulls = 3; // for one reservation; agents may disagree on the version
inline constexpr std::chrono::milliseconds outcome_timeout{1000};
inline constexpr std::chrono::milliseconds failed_cooldown{1000};
inline constexpr std::chrono::milliseconds draining_cooldown{5000};
// Endpoints that are selected by the hash of the prompt's prefix; the other candidates are random.
inline constexpr std::size_t affinity_candidates = 2;
// Only the beginning of a prompt is hashed, so that all turns of a conversation have the same hash.
inline constexpr std::size_t prefix_hash_bytes = 512;
inline constexpr std::uint32_t bytes_per_token = 4;         // estimate of prompt tokens
inline constexpr std::uint32_t default_output_tokens = 256; // estimate for requests without max_tokens

// Crash suspects.
inline constexpr std::uint32_t quarantine_crashes = 2; // crashes after which the request is refused
inline constexpr std::chrono::minutes suspect_lifetime{10};
inline constexpr std::chrono::milliseconds suspect_publish_timeout{150};

// Configuration spread.
inline constexpr std::chrono::milliseconds announce_interval{250}; // mean; each interval has random jitter
inline constexpr std::size_t announce_peers = 2;                   // processes that receive each announcement
inline constexpr double store_polls_per_second = 50.0;             // of all processes together
inline constexpr std::chrono::milliseconds min_store_poll_interval{500};
inline constexpr std::size_t max_recent_deltas = 256;
// 1 MB. Larger sets of deltas cost a peer more than a snapshot.
inline constexpr std::size_t max_recent_delta_bytes = 1U << 20U;
inline constexpr std::uint64_t snapshot_interval_versions = 128;

// Leases.
inline constexpr std::chrono::milliseconds lease_lifetime{3000};
// Allowed difference of the processes' monotonic clocks over one `lease_lifetime`.
inline constexpr std::chrono::milliseconds lease_margin{500};

// Map switch.
inline constexpr std::chrono::milliseconds switch_prepare_timeout{600};
inline constexpr std::chrono::milliseconds switch_call_timeout{300};
inline constexpr std::chrono::milliseconds open_promise_limit{1500}; // longer than a prepare and its decision
// Upper bound of the random pause after a failed recovery; another proposer can finish its recovery in the pause.
inline constexpr std::chrono::milliseconds recovery_backoff{150};
inline constexpr std::chrono::milliseconds recovery_interval{10};
inline constexpr std::chrono::milliseconds coordinator_interval{100};
// Bounds the traffic of the coordinator: for 256 ranks, some 1 KB from each rank in 10 s.
inline constexpr std::chrono::milliseconds observation_interval_per_rank{40};
inline constexpr std::chrono::milliseconds lease_renewal_interval{1000};
inline constexpr std::chrono::milliseconds map_call_timeout{1000};
// Ranks that try to become coordinator; bounds the reads of the lease row by a large group.
inline constexpr std::uint32_t coordinator_candidates = 8;
// The target step is this many steps ahead, plus the number of steps that run in `switch_lead_time`, rounded up. A rank
// that has already started the target step aborts the switch; the lead doubles after each abort.
inline constexpr std::uint64_t switch_lead_steps = 2;
inline constexpr std::chrono::milliseconds switch_lead_time{50};
inline constexpr std::size_t kept_step_reports = 16;
inline constexpr std::size_t kept_maps = 8;

// Store access.
inline constexpr std::chrono::milliseconds store_timeout{1000};
inline constexpr std::uint32_t breaker_failures = 5; // consecutive failures that open the circuit breaker
inline constexpr std::chrono::milliseconds breaker_open_time{5000};

// Direct forwarding: routing state. A change must be in force at all processes within 2 s of its acknowledgement.
// The delay has three parts:
// - the time until a process reads the store: 0 if a process is watching the store, otherwise 0.7 s plus 0.1 s times
//   the position of the process in the order of the live entries by name (from 0)
// - the read: some ms
// - sending the state update and fetching the changed state: some ms
inline constexpr std::chrono::milliseconds state_stale_time{700};
inline constexpr std::chrono::milliseconds state_stale_step{100};
inline constexpr std::uint32_t state_stale_ranks = 5; // all processes from this rank on wait equally long
inline constexpr std::chrono::milliseconds state_check_interval{50};
inline constexpr std::chrono::milliseconds state_pull_timeout{400};
inline constexpr std::chrono::milliseconds store_watch_wait{450}; // also the interval of reading the endpoints
// After a failed read, the first `store_preferred_ranks` entries retry at the short interval and all other processes at
// the slow one, so that a failing store gets little additional load.
inline constexpr std::chrono::milliseconds store_retry_interval{200};
inline constexpr std::chrono::milliseconds store_slow_retry_interval{1000};
inline constexpr std::uint32_t store_preferred_ranks = 3;
// Added to the wait of a watch. Two of these timeouts fit into the longest stale time (0.7 s and five steps of 0.1 s).
inline constexpr std::chrono::milliseconds store_call_timeout{600};
// For a whole call, beside the wait of a watch. The timeout above holds for each wait for bytes of the store.
inline constexpr std::chrono::milliseconds store_call_limit{5000};
inline constexpr std::size_t max_store_response_bytes = 8U << 20U; // 8 MB, one page of a table
inline constexpr std::size_t max_store_table_bytes = 16U << 20U;   // 16 MB, keys and values
// For this time after the store's last failure or restore, a missing registration may simply have lapsed meanwhile.
// Its endpoint is then removed after `endpoint_return_time` instead of at once.
inline constexpr std::chrono::milliseconds store_recovery_grace{3000};
// Endpoints whose registration lapsed while the store was unavailable register again within 2 s after the store is
// available again. A removal must be in force within 2 s of its acknowledgement; this value leaves time to spread the
// removal.
inline constexpr std::chrono::milliseconds endpoint_return_time{1300};
// For this time after a restore of the store, registrations of endpoints that had left are disregarded. Those of
// endpoints that no longer run have expired then, after three of their heartbeat intervals.
inline constexpr std::chrono::milliseconds restored_registration_time{5000};
// Period over which the processes of a deployment register again after a restore.
inline constexpr std::chrono::milliseconds restored_registration_spread{2000};
// Departures are remembered for this time, which exceeds the age of the copies that the store is restored from.
inline constexpr std::chrono::seconds departure_memory{60};
inline constexpr std::chrono::milliseconds peer_update_interval{400};
inline constexpr std::chrono::milliseconds peer_update_timeout{1300}; // three intervals
// Load updates that an entry receives from all others. With fewer updates, entries place more requests without knowing
// of each other's.
inline constexpr double load_updates_per_second = 250.0;
// Updates that a process receives from all rank processes.
inline constexpr double rank_updates_per_second = 100.0;
// The load that a peer reported is ignored after this time without an update.
inline constexpr std::chrono::milliseconds peer_load_lifetime{1300};
// A rank process uses the declarations only for the shape of its group.
inline constexpr std::chrono::milliseconds rank_state_stale_time{10000};
inline constexpr std::chrono::milliseconds rank_update_interval{1000};
inline constexpr std::int64_t missed_rank_updates = 3;             // after these, a rank process counts as unresponsive
inline constexpr std::chrono::milliseconds rank_update_delay{200}; // of an update that is sent in time
// While a step is held, all streams of the group wait. They may pause for 120 ms; callers abandon a stream after 2 s.
inline constexpr std::chrono::milliseconds coordinator_update_interval{200};
inline constexpr std::chrono::milliseconds coordinator_update_timeout{700}; // three intervals
// Nanoseconds. Sequence numbers that are further apart belong to different processes at one address.
inline constexpr std::uint64_t peer_sequence_window = 1000000;

// Map switches of ranks that are controlled by commands. A step takes some 50 ms; arming eight ranks takes some 50 ms.
inline constexpr std::uint64_t step_lead = 5; // steps by which a switch is scheduled ahead
// One command to a rank and one read of its state take some 6 ms.
inline constexpr std::uint64_t ranks_armed_in_a_step = 8;
inline constexpr std::uint32_t rank_sweep_threads = 8; // a few kilobytes of stack each, only during a sweep
inline constexpr std::uint32_t rank_command_attempts = 5;
// Ranks whose counts are read. A round then costs the coordinator some 60 KB for 16 layers of 192 experts.
inline constexpr std::uint32_t counted_ranks = 16;
// Plans of one round, when the load changes while a map is prepared.
inline constexpr std::uint32_t consecutive_plans = 3;
// The switch is abandoned when a rank has not prepared the map after this time.
inline constexpr std::chrono::milliseconds prepare_timeout{5000};
inline constexpr std::uint32_t prepare_check_ms = 50; // between two checks; one copy takes 6 to 400 ms
inline constexpr std::uint32_t arm_retry_ms = 10;
inline constexpr std::chrono::milliseconds rank_call_timeout{300};
// For a whole call. The timeouts of a call and of a command hold for each wait for bytes of the engine.
inline constexpr std::chrono::milliseconds rank_call_limit{1000};
// The counts of 64 layers of 256 experts have some 160 KB.
inline constexpr std::size_t max_rank_response_bytes = 512U << 10U; // 512 KB
// Short, because an engine that does not respond at once responds only seconds later.
inline constexpr std::chrono::milliseconds rank_command_timeout{120};
// After a failed call to a rank process, its engine is called directly for this time.
inline constexpr std::chrono::milliseconds rank_process_cooldown{2000};
inline constexpr std::chrono::milliseconds map_interval{300};
// Interval of a coordinator: the sooner a change of the load is seen, the fewer streams pause too long.
inline constexpr std::chrono::milliseconds coordination_interval{120};
// Interval while a group forms and until its first plan: streams that begin on the first map, where one rank may have
// three times the mean load, pause too long. Two steps of some 50 ms.
inline constexpr std::chrono::milliseconds forming_map_interval{100};
// Rounds at `forming_map_interval`; a group without load then continues at `map_interval`.
inline constexpr std::uint32_t fast_map_rounds = 20;
// A plan requires at least this mean number of tokens per expert. The standard error of a mean count is then a third of
// the count.
inline constexpr double least_sample_per_expert = 10.0;

// Direct forwarding: crashes of endpoints.
inline constexpr std::chrono::milliseconds endpoint_probe_timeout{150};
// A connection that an endpoint has closed while its port was open is explained by a crash when the port is found
// closed after one of these times, or when the endpoint registers with a later start. Registrations arrive within 2 s.
inline constexpr std::array<std::chrono::milliseconds, 3> lost_run_probes{
    std::chrono::milliseconds{50}, std::chrono::milliseconds{250}, std::chrono::milliseconds{1000}};
inline constexpr std::chrono::milliseconds lost_run_check_interval{50};
inline constexpr std::chrono::seconds lost_run_memory{10};
inline constexpr std::size_t max_watched_runs = 512;
// After this number of events, a stream counts as a response: its request has not crashed the endpoint.
inline constexpr std::uint64_t proven_events = 4;
inline constexpr std::size_t max_fingerprint_segments = 16;
// Number of crashes after which requests with a trait are quarantined, and the duration: for a trait that never had a
// response, and for a trait that had one.
inline constexpr std::size_t new_trait_crashes = 3;
inline constexpr std::size_t proven_trait_crashes = 5;
inline constexpr std::chrono::minutes new_trait_quarantine{10};
inline constexpr std::chrono::minutes proven_trait_quarantine{1};
// Reports of one crash arrive within some ms. The first live entry decides after this time, each later one after one
// more step, so that usually one entry decides and the others adopt its decision.
inline constexpr std::chrono::milliseconds crash_settle_time{60};
inline constexpr std::chrono::milliseconds crash_settle_step{150};
inline constexpr std::uint32_t crash_settle_ranks = 5;              // all entries from this rank on wait equally long
inline constexpr std::chrono::milliseconds crash_report_time{3000}; // in which an entry repeats its reports
inline constexpr std::size_t max_lost_runs = 64;                    // of one crash, and in one datagram
// The evidence in one datagram; with `max_lost_runs`, at most 4 KB.
inline constexpr std::size_t max_reported_crashes = 16;
inline constexpr std::size_t max_reported_traits = 256;
inline constexpr std::size_t max_reported_responses = 40;
inline constexpr std::size_t max_known_crashes = 64;
inline constexpr std::size_t max_known_traits = 4096; // the most recently used ones
inline constexpr std::size_t max_quarantines = 256;
// Interval at which the reader of the store reads the quarantines, which must be in force within 3 s.
inline constexpr std::chrono::milliseconds quarantine_read_interval{1500};
// Only the first live entries report responses to the traits of another entry's report: all entries may have recorded
// responses to a common segment.
inline constexpr std::uint32_t correcting_entries = 3;
inline constexpr std::chrono::milliseconds response_report_interval{1000}; // of responses to one trait

// Direct forwarding: rate limits of endpoints.
// An endpoint that was idle may receive the requests of this period at once.
inline constexpr std::chrono::milliseconds rate_limit_burst{1000};
inline constexpr double least_probe_rate = 0.2; // requests per second to an endpoint with a lower limit
// A response without a limit lifts the limit only when no response has had one for this time.
inline constexpr std::chrono::milliseconds response_reorder_time{250};
inline constexpr std::chrono::milliseconds limit_report_time{500};           // in updates of the load
inline constexpr std::chrono::milliseconds periodic_limit_report_time{5000}; // in periodic updates
inline constexpr std::size_t max_reported_limits = 128;                      // in one datagram, 2.5 KB
inline constexpr std::chrono::minutes limit_memory{10};
// An endpoint that has stated that it leaves, and is still registered, is used again after this time.
inline constexpr std::chrono::minutes longest_leave{10};
inline constexpr std::size_t max_reported_leaves = 200; // in one datagram, 2.4 KB
// Longest time for which an endpoint counts as cold after one statement.
inline constexpr std::chrono::hours longest_cold_time{1};
inline constexpr std::size_t max_reported_cold = 80; // in one datagram, 1 KB
// Longest pause that an endpoint is granted at once.
inline constexpr std::chrono::minutes longest_pause{5};

// Direct forwarding: requests.
inline constexpr std::chrono::milliseconds endpoint_connect_timeout{300};
inline constexpr std::chrono::milliseconds endpoint_cooldown{1500};     // a stall of a group lasts this long
inline constexpr std::chrono::milliseconds max_endpoint_cooldown{6000}; // the cooldown doubles with each failure
inline constexpr std::chrono::milliseconds endpoint_refusal_cooldown{300};
inline constexpr std::chrono::milliseconds idle_connection_margin{700};   // before the endpoint's idle timeout
inline constexpr std::chrono::milliseconds idle_connection_default{1500}; // for endpoints that state no idle timeout
inline constexpr std::size_t max_idle_connections = 4;                    // per endpoint
inline constexpr std::size_t max_response_head_bytes = 32U << 10U;        // 32 KB
inline constexpr std::uint32_t max_interim_responses = 8;                 // (1xx) before a response
inline constexpr std::size_t max_trailer_bytes = 16U << 10U;              // 16 KB
inline constexpr std::size_t max_chunk_extension_bytes = 16U << 10U;      // 16 KB, in one body
inline constexpr std::size_t max_event_bytes = 256U << 10U;               // 256 KB
// Of a late response to an earlier request, which is read and dropped.
inline constexpr std::size_t max_stray_response_bytes = 1U << 20U; // 1 MB
// All responses that a process buffers may together exceed this part of each by `response_buffer_bytes`. The smallest
// host has 112 MB.
inline constexpr std::size_t unreserved_response_bytes = 64U << 10U; // 64 KB
inline constexpr std::size_t response_buffer_bytes = 16U << 20U;     // 16 MB
inline constexpr std::uint32_t max_caller_threads = 700;             // each serves one connection
inline constexpr int caller_thread_stack_bytes = 128 * 1024;
inline constexpr std::chrono::milliseconds caller_keep_alive{60000}; // longer than callers keep idle connections
inline constexpr std::chrono::milliseconds caller_read_timeout{3000};
// After its deadline, a caller that takes no byte of its response for the first time is disconnected, and any caller
// after the second.
inline constexpr std::chrono::milliseconds response_write_stall{1000};
inline constexpr std::chrono::milliseconds response_write_extension{5000};
inline constexpr std::chrono::milliseconds admission_poll_interval{20};
// Longest wait for a permit at an endpoint, for a response without streaming and for a stream. The usual latency
// targets are 100 ms for a response without streaming and 400 ms for the first event of a stream.
inline constexpr std::chrono::milliseconds longest_wait{150};
inline constexpr std::chrono::milliseconds longest_stream_wait{1000};
// Streams at services that declare the speed of their engines: pauses from this part of their target on limit the
// number of streams, and pauses of this many times the target are stalls.
inline constexpr int limiting_pause_percent = 70;
inline constexpr int stall_pauses = 3;
// Slow passes are remembered for this time, which exceeds the usual time between two changes of the demand for experts.
inline constexpr std::chrono::milliseconds capacity_memory{5000};
inline constexpr std::chrono::milliseconds capacity_period{250};
// Less important streams may always use this part of the slots.
inline constexpr double least_slot_share = 0.5;
// Part of the limit that is kept for each level of more important requests.
inline constexpr double share_per_level = 0.1;
inline constexpr std::uint32_t max_importance_levels = 3;
inline constexpr std::chrono::seconds importance_memory{5};
inline constexpr double least_level_share = 0.05;
// The first event follows the admission after some two passes, each of which may take the target for a pause.
inline constexpr int passes_to_first_event = 2;
// Added to Retry-After when a stream finds no capacity: streams that run for some 2 s have ended then.
inline constexpr std::chrono::milliseconds overload_pause{1000};
// A group serves again some 0.6 s after its last rank has returned; callers abandon a stream after 2 s without an
// event.
inline constexpr std::chrono::milliseconds longest_reopen_wait{1200};
inline constexpr std::uint32_t max_refusals = 2; // a request is retried up to this number of refusals
// After a failed connection, another endpoint is tried while at most this many endpoints were tried.
inline constexpr std::size_t max_unreached_endpoints = 4;

// Covers two health checks of the platform's balancer at 1 s intervals, and the connections that the balancer opened
// before the second check.
inline constexpr std::chrono::milliseconds rotation_time{2500};
inline constexpr std::chrono::milliseconds stop_margin{700}; // before the platform kills the process
inline constexpr std::chrono::milliseconds stop_check_interval{50};

// Callers' HTTP.
inline constexpr std::size_t max_header_fields = 64; // at entries with agents; others are limited by bytes only
inline constexpr std::size_t max_request_head_bytes = 64U << 10U;    // 64 KB, four times what deployments declare
inline constexpr std::chrono::milliseconds head_read_timeout{10000}; // from the first byte to the last
// After a request that was not read whole: the time and the bytes after which the connection is closed even though its
// client goes on sending and may lose the response.
inline constexpr std::chrono::milliseconds closing_wait{500};
inline constexpr std::size_t max_closing_bytes = 1U << 20U; // 1 MB
inline constexpr std::size_t max_body_bytes = 4U << 20U;    // 4 MB
inline constexpr std::chrono::milliseconds body_read_timeout{10000};
inline constexpr std::uint16_t max_entry_connections = 1024;
inline constexpr int entry_thread_stack_bytes = 256 * 1024;
// Levels of nesting. Serializing JSON recurses once per level, and the stacks of the threads are small.
inline constexpr int max_json_depth = 64;
inline constexpr std::size_t max_response_bytes = 16U << 20U; // 16 MB
inline constexpr std::size_t max_request_id_bytes = 64;
inline constexpr std::chrono::milliseconds caller_poll_interval{200}; // between checks whether callers disconnected

// Shutdown.
// A stopping entry closes its port after this time without new requests. The time suffices for
// the platform's balancer to read /readyz; connections that wait to be accepted are reset when the port closes.
inline constexpr std::chrono::milliseconds drain_quiet_time{500};
// A stopping entry closes its port after this time even if requests still arrive.
inline constexpr std::chrono::milliseconds drain_quiet_limit{5000};
inline constexpr std::chrono::milliseconds shutdown_grace{60000};

} // namespace pomelohoist::config
