/*
 * Messages between the processes of bitterntiller.
 *
 * Every message is sent in one Frame, with a length prefix of four bytes, over the
 * one TCP connection between a pair of hosts. Times are durations in milliseconds,
 * never timestamps, because the clocks of hosts are not synchronized.
 * Fields are never renumbered; the number of a removed field stays unused.
 */

struct Frame {
    1: required i16 kind,          // MessageKind
    2: required i64 call,          // 0: no reply is expected
    3: required bool reply,        // true: the reply to the call with that number
    4: required binary body,       // the encoded message of that kind
}

enum MessageKind {
    HELLO = 1, CHALLENGE = 2, HELLO_REPLY = 3, FAULT = 4, LINK_PING = 5, LINK_PONG = 6,
    OPEN_TUNNEL = 7, OPEN_TUNNEL_REPLY = 8,
    REGISTER = 10, GRANT = 11, REFUSAL = 12, CANCEL = 13, STARTED = 14,
    PROGRESS = 15, FINISHED = 16, RETURNED = 17, REREGISTER = 18, LIVE = 19,
    ANNOUNCE = 20, ANNOUNCE_REPLY = 21, ENTRY_REPORT = 22, ENTRY_REPORT_REPLY = 23,
    ENDED_REQUESTS = 24, QUOTA_ASK = 25, QUOTA_ANSWER = 26, CRASH_REPORT = 27,
    UPSTREAM_LIMIT = 28, UPSTREAM_NOTICE = 29,
    HEARTBEAT = 30, HEARTBEAT_REPLY = 31, GET_CONFIG = 32, CONFIG_REPLY = 33,
    CHANGE = 34, CHANGE_REPLY = 35, CLAIM = 36, CLAIM_REPLY = 37,
    CONTROL_STATUS = 38, CONTROL_STATUS_REPLY = 39, REPAIR = 40, REPAIR_REPLY = 41,
    RELEASE_POOLS = 42, RELEASE_POOLS_REPLY = 43,
    ORDER = 44, ORDER_REPLY = 45, REGISTER_UPSTREAM = 46, REGISTER_UPSTREAM_REPLY = 47,
    START_ROLLOUT = 63, GET_ROLLOUT = 64, ROLLOUT_REPLY = 65,
    ROLLOUT_REPORT = 66, ROLLOUT_REPORT_REPLY = 67,
    GET_CONFIG_PART = 68, CONFIG_PART = 69,
    BEGUN_STREAMS = 70, FIND_STREAM = 71, FIND_STREAM_REPLY = 72,
    GET_VERSIONS = 73, GET_VERSIONS_REPLY = 74,
    QUERY_PLACEMENT = 75, QUERY_PLACEMENT_REPLY = 76,
    PRE_VOTE = 50, PRE_VOTE_REPLY = 51, VOTE = 52, VOTE_REPLY = 53,
    APPEND = 54, APPEND_REPLY = 55, SNAPSHOT_PIECE = 56, SNAPSHOT_REPLY = 57,
    JOIN = 58, JOIN_REPLY = 59, RETURN_CHECK = 60, RETURN_CHECK_REPLY = 61,
    TIMEOUT_NOW = 62,
}

/* ---- links ---- */

struct Challenge { 1: required binary nonce }

struct Hello {
    1: required string host,
    2: required string incarnation,   // new at each start of the process
    3: required binary proof,         // HMAC-SHA256 of the nonce, host, incarnation, address
    4: required string address,       // the internal address where peers connect to it
    5: optional string purpose,       // what the connection carries if not messages; proved too
}

struct HelloReply { 1: required string host, 2: required string incarnation }

struct Fault { 1: required i32 code, 2: required string text }

/* Liveness check on a connection that received nothing after data was sent. */
struct LinkPing { 1: required bool unused }

struct LinkPong { 1: required bool unused }

/* ---- tunnels: a connection through another host to an upstream ---- */

/*
 * The first message on a connection with the purpose tunnel. After a reply with status
 * ok, the sender's bytes are passed on as they are, and those of the upstream in parts
 * with a length of four bytes; a length of 0 is the orderly end of the upstream's bytes.
 */
struct OpenTunnel {
    1: required string request_id,
    2: required string upstream,
    3: required string address,       // of the upstream, IP:port
    4: required i32 connect_ms,       // how long the receiver may take to connect
    5: optional string pool,          // of the upstream
    6: optional bool probe,           // the sender checks whether the receiver reaches the upstream
}

struct OpenTunnelReply {
    1: required string status,        // ok, refused, unreachable, busy, stopping, invalid
    2: required string text,
}

/* ---- entry host to pool owner, and back ---- */

struct Load {
    1: required i32 running,
    2: required i32 waiting,
    3: required i32 kv_tokens,
    4: required i32 age_ms,
    5: optional i32 work_percent,         // how long work takes on its machine now, 100 as usual
}

struct Register {
    1: required string request_id,
    2: required string pool,
    3: required string workspace,
    4: required string tier,
    5: required i32 prompt_tokens,        // estimate
    6: required i32 output_tokens,        // estimate
    7: required i32 deadline_in_ms,       // remaining time
    8: required list<i64> prefix_hashes,  // of prompt prefixes, shortest first
    9: required string entry_host,
    10: required i32 waited_ms,
    11: required list<string> tried,      // upstreams that certainly did not run it
    12: optional list<i32> prefix_tokens, // tokens of each prefix, if the caller gave them
    13: optional i32 first_by_ms,         // time until the first output is late; may be negative
    14: optional i32 start_by_ms,         // time until the caller gives up without a first output
    15: optional i64 fingerprint,         // the same for all copies of a request
    16: optional string route,            // while a rollout of the service is evaluated
    17: optional string version,          // of the upstreams that may go on with its stream
    18: optional list<i64> parts,         // fingerprints of the parts of its prompt, in order
    19: optional i32 interval_ms,         // target time between two outputs of its stream
    20: optional i32 output_before,       // output of its stream that earlier attempts brought
}

struct Grant {
    1: required string request_id,
    2: required string pool,
    3: required i64 epoch,                // of the pool's ownership
    4: required string upstream,
    5: required string address,           // IP:port
    6: required string upstream_incarnation,
    7: required i32 valid_ms,             // from the arrival of the grant
    8: optional bool rate_limited,        // the owner expects responses of the upstream to state a rate limit
    9: optional list<string> relays,      // hosts that reach the upstream, for one that did not reach some
    10: optional string version,          // software version of the upstream
}

struct Refusal {
    1: required string request_id,
    2: required string pool,
    3: required string reason,
    4: required i32 retry_after_ms,
}

struct Cancel { 1: required string request_id, 2: required string pool }

struct RunningItem { 1: required Register request, 2: required string upstream, 3: required i32 output_tokens }

struct Started {
    1: required string request_id,
    2: required string pool,
    3: required string upstream,
    4: optional RunningItem running,      // it runs on where it ran before, not under a new grant
}

struct ProgressItem {
    1: required string request_id,
    2: required i32 output_tokens,
    3: optional i32 first_ms,             // time from sending to the first output; sent once
    4: optional i32 work_percent,         // as in Load, stated by the response; sent once
}

struct Progress { 1: required string pool, 2: required list<ProgressItem> items }

struct Finished {
    1: required string request_id,
    2: required string pool,
    3: required string upstream,
    4: required string outcome,
    5: required i32 output_tokens,
    6: required i32 cached_tokens,       // -1: not reported by the upstream
    7: required i32 first_token_ms,      // -1: there was none
    8: required i32 total_ms,
    9: required bool in_time,
    10: optional Load load,              // load reported in the upstream's response
    11: optional string relay,           // host through which the request was sent
    12: optional string fault,           // why its response is not whole: overrun, malformed or unfinished
}

/*
 * A grant that the entry host returns, unused or after an attempt whose response it does
 * not relay. With the reasons failed and lost-answer, the request may have run; with
 * upstream-silent it runs on, and the entry host looks for another upstream meanwhile.
 */
struct Returned {
    1: required string request_id,
    2: required string pool,
    3: required string upstream,
    4: required string reason,           // expired, refused-connection, not-admitted, failed,
                                         // lost-answer, upstream-silent, upstream-left, upstream-paused,
                                         // version-withdrawn, other-version, or
                                         // why it is refused without a run (as no-lease)
    5: required bool still_waiting,
    6: optional string version,          // of the upstreams that may go on with its stream
    7: optional string fault,            // why its response is not whole: overrun, malformed or unfinished
}

/* The rate limit of an upstream for all hosts together, as stated in a response. */
struct UpstreamLimit {
    1: required string pool,
    2: required string upstream,
    3: required string incarnation,
    4: optional double limit,            // requests per second; absent: the response stated none
    5: required i32 age_ms,              // since the response began
}

/* What an upstream stated in its responses to one entry host. */
struct UpstreamNotice {
    1: required string pool,
    2: required string upstream,
    3: required string incarnation,
    4: required string entry_host,
    5: required bool leaving,            // takes no further requests from any host
    6: required i32 pause_ms,            // wants none from this entry host for so long
}

/* All requests that an entry host has with a pool, sent to a new owner. */
struct Reregister {
    1: required string pool,
    2: required i64 epoch,
    3: required string entry_host,
    4: required list<Register> waiting,
    5: required list<RunningItem> running,
}

/* The ids of all requests that an entry host has with a pool, sent every few seconds. */
struct Live { 1: required string pool, 2: required string entry_host, 3: required list<string> request_ids }

/* The ids of requests that recently ended at an entry host; each is sent several times. */
struct EndedRequests { 1: required string entry_host, 2: required list<string> request_ids }

/* Usage of a workspace's requests at one entry host, all of about the same age. */
struct Usage {
    1: required string workspace,
    2: required i64 amount,
    3: required i32 age_ms,
}

/* What a workspace's waiting requests at one entry host would use; complete in each report. */
struct Held { 1: required string workspace, 2: required i64 amount }

/* What is left of a workspace's quota over all hosts; negative if exceeded. */
struct QuotaLevel {
    1: required string workspace,
    2: required i64 amount,              // left in the window
    3: optional i64 paced,               // of that, what may be used now
    4: optional i64 lent,                // of that, what the host may use without asking
}

/* Sent by each entry host to the owners that it uses, a few times a second; number increases by each. */
struct EntryReport {
    1: required string entry_host,
    2: required string incarnation,
    3: required i64 number,
    4: required list<Usage> used,        // since the last report
    5: required list<Held> held,
    6: optional list<string> ended,      // ids of requests that recently ended here
    7: optional bool counting,           // true: the receiver is the counting host of the sender
    8: optional list<i64> settled,       // numbers of reservations that were used or released
    9: optional i32 within_ms,           // time until the next report, at most
}

struct EntryReportReply {
    1: required bool ready,              // false: can't own pools now
    2: required string incarnation,
    3: required i64 number,
    4: required list<QuotaLevel> levels,
    5: required i32 entry_hosts,         // number of entry hosts that report here
}

/* Asks the counting host to reserve quota of the workspace for a request. */
struct QuotaAsk {
    1: required string request_id,
    2: required string workspace,
    3: required i64 amount,
    4: required string entry_host,
    5: required i32 patience_ms,         // how long the request may wait in the quota queue
    6: required i32 latest_retry_ms,     // the latest retry that its caller would make
    7: required i64 retry_fingerprint,   // the same for a request and its retries
    8: required bool repeat,             // the request has run already and is to run again
    9: required i64 reservation,         // the sender's number of the reservation
    10: required string kind,            // the kind of requests that share quotas
}

struct QuotaAnswer {
    1: required string status,           // reserved, refused, not-counting
    2: required i64 left,                // in the window
    3: required i64 paced,               // of that, what may be used now
    4: required i64 ahead,               // amount queued before it
    5: required i32 waited_ms,
    6: required i32 retry_after_ms,      // of a refusal
    7: required bool retry_reserved,      // quota is reserved for a retry at that time
    8: required string incarnation,      // of the replying process
}

/* A crash of an upstream's process while it ran a request, or one with a part of a prompt. */
struct CrashItem {
    1: required i64 fingerprint,
    2: required string upstream,
    3: required string incarnation,
    4: required i64 age_ms,
    5: optional i64 workspace,           // digest of the name of the request's workspace
    6: optional i64 ran_ms,              // from the sending of the request to the end
}

/* Crashes of a request that are older than this no longer count. */
struct ClearingItem { 1: required i64 fingerprint, 2: required i64 age_ms }

/* An operator keeps a request or a part of prompts from upstreams; 0 ends that. */
struct BlockItem { 1: required i64 fingerprint, 2: required i64 age_ms, 3: required i64 duration_ms }

/* Sent to the pool owners, and by these to all hosts; the reply has what the report lacks. */
struct CrashReport {
    1: required string host,
    2: required bool broadcast,           // the receiver is to forward it to all hosts
    3: required list<CrashItem> crashes,
    4: required list<ClearingItem> clearings,
    5: optional i64 digest,              // of all records of the sender; requests those of the receiver
    6: optional bool partial,            // has only what is new; the reply has nothing
    7: optional list<BlockItem> blocks,
}

/* ---- placement queries of operators ---- */

/*
 * Asks the owner of a pool where a request would be placed now; nothing is queued. It is
 * the first message on a connection with the purpose placement: an owner of an earlier
 * release would close a connection that carries other messages.
 */
struct QueryPlacement {
    1: required string pool,
    2: required string workspace,
    3: required string tier,
    4: optional i32 prompt_tokens,
    5: optional i32 output_tokens,
    6: optional i32 deadline_in_ms,
    7: optional i32 first_by_ms,
    8: optional i32 start_by_ms,
    9: optional string entry_host,       // the host that is asked
    10: optional i32 interval_ms,        // as in Register
}

struct QueryPlacementReply {
    1: required string status,           // ok, no-owner, no-lease, no-configuration
    2: optional binary document,         // the evaluation as JSON
}

/* ---- streams that go on in another attempt ---- */

/* Streams whose first event came from an upstream of this service and version. */
struct VersionStreams {
    1: required string version,
    2: required list<i64> digests,       // of the ids of the callers' first attempts
    3: required i32 age_ms,              // since the newest event of any of them
    4: required string pool,
}

/* Sent by the host that relays the streams to hosts that remember them. */
struct BegunStreams { 1: required list<VersionStreams> versions }

struct FindStream { 1: required i64 digest }

struct FindStreamReply {
    1: required string status,           // known, unknown, conflict
    2: optional string version,
    3: optional i32 age_ms,
    4: required bool settled,            // false: the sender started too recently to know
    5: optional string pool,
}

/*
 * Asks the leader which versions may have served some services lately, and the services that a route
 * may have led to lately; the reply is linearizable.
 */
struct GetVersions {
    1: required list<string> pools,
    2: optional string route_host,
    3: optional string route_prefix,
}

/* Versions of registered upstreams, and of those that left lately. */
struct ServiceVersions { 1: required string pool, 2: required list<string> versions }

struct GetVersionsReply {
    1: required string status,           // ok, not-leader
    2: required string leader,
    3: required list<ServiceVersions> services,
}

/* ---- upstreams ---- */

struct CacheEvent { 1: required i64 sequence, 2: required bool stored, 3: required i64 prefix_hash }

struct Announce {
    1: required string name,
    2: required string pool,             // the name of its service
    3: required string address,          // IP:port
    4: required i64 incarnation,
    5: required i64 sequence,
    6: required string state,            // ready, leaving
    7: required map<string, string> labels,
    8: required i32 slots,
    9: required i32 kv_tokens,
    10: optional Load load,
    11: required list<CacheEvent> cache_events,
    12: optional i32 warm_in_ms,         // time until it reaches full speed
}

struct AnnounceReply { 1: required string status }   // accepted, stale, no-owner

/* ---- nodes and control ---- */

struct PoolOwner {
    1: required string pool,
    2: required string host,
    3: required i64 epoch,
    4: optional string incarnation,      // of the owning process
    5: optional string address,          // internal port, IP:port
}

struct HostEntry {
    1: required string host,
    2: required string address,          // internal port, IP:port
    3: required string zone,
    4: required string incarnation,
    5: optional list<string> roles,
}

struct Heartbeat {
    1: required string host,
    2: required string incarnation,
    3: required string address,
    4: required string zone,
    5: required list<string> roles,
    6: required i64 config_version,      // newest version in force on the node
    7: required i64 directory_version,   // newest directory the node holds
    8: required bool draining,
    9: optional bool leased,             // the node's lease was valid at the time of sending
    10: optional i64 upstreams_version,  // newest list of upstreams the node holds
    11: optional i64 rollouts_version,   // newest version rules the node holds
    12: optional bool loads_parts,       // the node loads large configurations with GetConfigPart
}

struct ConfigChange { 1: required i64 version, 2: required binary patch }  // JSON merge patch

/* A compressed configuration that a node loads in parts; digest identifies its bytes. */
struct ConfigCopy { 1: required i64 version, 2: required i32 size, 3: required i64 digest }

struct GetConfigPart { 1: required i64 version, 2: required i64 digest, 3: required i32 offset }

struct ConfigPart { 1: required string status, 2: required binary data }   // ok, unknown

/* The complete lists of hosts and pool owners; sent if the node's copy is outdated. */
struct Directory {
    1: required i64 version,
    2: required list<HostEntry> hosts,
    3: required list<PoolOwner> owners,
    4: optional bool partial,            // a new leader has not yet received heartbeats of all hosts
}

/* All registered upstreams; version is the log index of the last change. */
struct UpstreamList { 1: required i64 version, 2: required list<Announce> upstreams }

/* Which versions of a service's upstreams may get requests; empty if not set. */
struct ServiceVersionRules {
    1: required string pool,
    2: required string serving,
    3: required string candidate,        // of a rollout under evaluation
    4: required string denied,           // of the last rollout that was reverted
    5: required i64 number,              // of the rollout
}

struct VersionRulesList { 1: required i64 version, 2: required list<ServiceVersionRules> rules }

struct HeartbeatReply {
    1: required string status,           // granted, not-leader, unknown-host
    2: required string leader,           // address of the leader, if known
    3: required i32 lease_ms,            // from the sending of the heartbeat
    4: required i64 config_version,
    5: optional list<ConfigChange> changes,
    6: optional binary config,           // complete, if the node is too far behind for changes
    7: optional Directory directory,
    8: required i64 term,
    9: optional i32 next_ms,             // time until the next heartbeat is due
    10: optional UpstreamList upstreams, // if the node's list is outdated
    11: optional VersionRulesList rollouts,  // if the node's rules are outdated
    12: optional ConfigCopy copy,        // in place of changes and config if these are large
    13: optional i32 superseded_ms,      // since a newer version than the node's was accepted
}

/* The announcement of an upstream to control, sent by the host that received it. */
struct RegisterUpstream { 1: required Announce upstream }

struct RegisterUpstreamReply { 1: required string status, 2: required string leader }   // ok, stale, unknown, not-leader

struct GetConfig { 1: required bool unused }

struct ConfigReply {
    1: required string status,
    2: required i64 version,
    3: required binary config,
    4: optional string leader,
}

struct Change {
    1: required string change_id,
    2: required i64 base_version,
    3: required binary config,
    4: optional i64 number,        // the operator's own number: the highest takes effect, base_version is ignored
}

struct ChangeReply {
    1: required string status,     // accepted, conflict, invalid, unknown, not-leader, expired-id
    2: required i64 version,
    3: required string text,
    4: required string leader,
}

struct Claim {
    1: required string action,     // take, finish, void, find
    2: required string workspace,
    3: required string key,
    4: required string digest,
    5: required string host,
    6: required string incarnation,
    7: required string upstream,
    8: required string request_id,
    9: required string outcome,
    10: required i32 http_status,
    11: required string address,
}

struct ClaimReply {
    1: required string status,     // taken, running, finished, orphaned, mismatch, voided, full, unknown, not-leader
    2: required string leader,
    3: required string host,
    4: required string upstream,
    5: required string request_id,
    6: required string outcome,
    7: required i32 http_status,
    8: required string address,
}

struct ControlStatus { 1: required bool unused }

struct ControlStatusReply { 1: required string status, 2: required string leader, 3: required binary document }

struct Repair { 1: required string remove, 2: required string add, 3: required string address }

struct RepairReply { 1: required string status, 2: required string text, 3: required string leader }

struct ReleasePools { 1: required string host, 2: required string incarnation, 3: required list<string> pools }

struct ReleasePoolsReply { 1: required string status, 2: required string leader }

/* ---- rollouts ---- */

/* Moves a service to upstreams of another version within a duration. */
struct StartRollout { 1: required string pool, 2: required string to, 3: required i64 duration_ms }

struct GetRollout { 1: required string pool }

struct RolloutReply {
    1: required string status,     // accepted, conflict, invalid, ok, absent, unknown, not-leader
    2: required string leader,
    3: required string text,
    4: optional string to,
    5: optional string phase,      // judged, complete, reverted
    6: optional i64 number,        // of the rollout
    7: optional binary document,   // for operators, as JSON
}

/* Cumulative counts of one second, route and upstream, in the order of rollouts.models.Counts. */
struct EvidenceItem {
    1: required i32 second,
    2: required string route,
    3: required string upstream,   // empty: all upstreams of the old version
    4: required list<i32> counts,
}

/* What one owner has counted since the rollout started; evidence has only what changed since its last report. */
struct RolloutReport {
    1: required string pool,
    2: required i64 number,
    3: required string owner,      // identifies the process
    4: required i64 reached,
    5: required i64 exposed,
    6: required i32 old_running,
    7: required i32 wanted,        // requests that it would send to the new version
    8: required list<EvidenceItem> evidence,
    9: optional i64 cap,           // set by the leader: the maximum allotted to all owners
    10: optional i64 told_ms,      // set by the leader: cluster time of the report
}

struct RolloutReportReply {
    1: required string status,     // ok, absent, unknown, not-leader
    2: required i32 allowed,
    3: optional string phase,
    4: optional string leader,
    5: optional i64 elapsed_ms,    // since the rollout started
}

/* The leader's decision on the rollout with that number. */
struct RolloutStep {
    1: required string pool,
    2: required i64 number,
    3: required string phase,            // complete, reverted
    4: required string why,
}

/* ---- commands of the replicated log ---- */

struct Assignment {
    1: required string pool,
    2: required string host,             // empty: the pool no longer has an owner
    3: required string incarnation,
    4: required string address,
    5: required i64 expected_epoch,      // of the previous owner, 0 for none
}

/* Contains everything that depends on time or settings, so that all replicas get the same result. */
struct Command {
    1: required i64 time_ms,             // cluster time of the leader
    2: required i64 forget_changes_ms,   // outcomes older than this are dropped
    3: required i64 forget_claims_ms,    // claims older than this are dropped
    4: optional Change change,
    5: optional list<Claim> claims,
    6: optional list<Assignment> assignments,
    7: optional ReleasePools release,
    8: optional list<Announce> upstreams,
    9: optional bool settle_versions,    // new versions serve only after an ordered rollout
    10: optional StartRollout rollout,
    11: optional RolloutReport rollout_report,
    12: optional RolloutStep rollout_step,
}

/* The result of applying a command. */
struct CommandResult {
    1: optional ChangeReply change,
    2: optional list<ClaimReply> claims,
    3: optional RolloutReply rollout,
    4: optional RolloutReportReply rollout_report,
}

/* ---- orders to upstreams ---- */

struct Order {
    1: required string upstream,
    2: required string kind,        // load, unload, role
    3: required string argument,
    4: required i64 fence,
    5: required string order_id,
}

struct OrderReply { 1: required string status, 2: required string text }

/* ---- replicated log ---- */

struct Entry { 1: required i64 index, 2: required i64 term, 3: required i16 kind, 4: required binary data }

/* boot identifies the sender's start; messages from an earlier start are dropped. */

struct PreVote {
    1: required i64 term, 2: required string candidate, 3: required i64 last_index, 4: required i64 last_term,
    5: optional i64 boot,
}
struct PreVoteReply {
    1: required i64 term, 2: required string voter, 3: required bool granted, 4: optional i64 boot,
}

struct Vote {
    1: required i64 term, 2: required string candidate, 3: required i64 last_index, 4: required i64 last_term,
    5: optional i64 boot,
}
struct VoteReply {
    1: required i64 term, 2: required string voter, 3: required bool granted, 4: optional i64 boot,
}

/* A leader that stops makes the voter with the longest log campaign at once (leadership transfer). */
struct TimeoutNow { 1: required i64 term, 2: required string leader, 3: optional i64 boot }

struct Append {
    1: required i64 term, 2: required string leader, 3: required i64 prev_index, 4: required i64 prev_term,
    5: required list<Entry> entries, 6: required i64 commit, 7: required i64 round, 8: optional i64 boot,
}
struct AppendReply {
    1: required i64 term, 2: required string follower, 3: required bool matched, 4: required i64 match_index,
    5: required i64 hint_index, 6: required i64 round,
    7: optional bool counted,            // false: may not vote yet, so it counts in no quorum
    8: optional i64 boot,
}

struct SnapshotPiece {
    1: required i64 term, 2: required string leader, 3: required i64 last_index, 4: required i64 last_term,
    5: required i64 offset, 6: required binary data, 7: required bool done, 8: required binary members, 9: required i64 round,
    10: optional i64 members_index, 11: optional i64 boot,
}
struct SnapshotReply {
    1: required i64 term, 2: required string follower, 3: required i64 last_index, 4: required i64 offset, 5: required i64 round,
    6: optional bool done, 7: optional bool counted, 8: optional i64 boot,
}

/* Sent to all other voters at each start, before the first vote. */
struct ReturnCheck {
    1: required i64 term, 2: required string replica, 3: required i64 last_index,
    4: required i64 members_index, 5: optional i64 boot,
    6: optional string address,          // address of the sender, IP:port
}
struct ReturnCheckReply {
    1: required i64 term, 2: required string voter, 3: required i64 asked_boot,
    4: required string verdict,          // fine, stale, removed
    5: required i64 last_index, 6: required i64 last_term, 7: required i64 members_index,
    8: required binary members, 9: optional i64 boot,
}

struct Join {
    1: required string replica, 2: required string host, 3: required string address,
    4: optional bool fresh,              // the sender's data folder holds no log
}
struct JoinReply {
    1: required string status,           // fresh, formed, exists, accepted, not-leader, full
    2: required string leader,
    3: optional string replica, 4: optional string host, 5: optional string address,  // the replying replica
    6: optional binary members,          // formed: the initial membership, entry 1 of the log
    7: optional bool may_form,           // fresh: the replying host may form the initial membership
}

/* ---- the replicated log on disk ---- */

struct Mark {
    1: required string replica, 2: required i64 boot, 3: required i64 term, 4: required i64 index,
}

/* Contents of one synced write, applied in this order. */
struct LogBatch {
    1: optional i64 term, 2: optional string vote, 3: optional i64 boot,
    4: optional list<Mark> marks,
    5: optional i64 truncate_from,
    6: optional list<Entry> entries,
}

struct SnapshotFile {
    1: required i64 index, 2: required i64 term, 3: required i64 members_index, 4: required binary members, 5: required binary data,
}
