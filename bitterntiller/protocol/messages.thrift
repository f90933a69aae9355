/*
 * Messages between the processes of bitterntiller.
 *
 * Every message travels in one Frame, length-prefixed by four bytes, over the one
 * TCP connection of a pair of hosts. Times are durations in milliseconds, never
 * points in time, because the clocks of two hosts have nothing in common.
 * A field is never renumbered; a removed one leaves its number unused.
 */

struct Frame {
    1: required i16 kind,          // MessageKind
    2: required i64 call,          // 0: no reply is awaited
    3: required bool reply,        // true: answers the call of that number
    4: required binary body,       // the message of that kind
}

enum MessageKind {
    HELLO = 1, CHALLENGE = 2, HELLO_REPLY = 3, FAULT = 4, LINK_PING = 5, LINK_PONG = 6,
    REGISTER = 10, GRANT = 11, REFUSAL = 12, CANCEL = 13, STARTED = 14,
    PROGRESS = 15, FINISHED = 16, RETURNED = 17, REREGISTER = 18, LIVE = 19,
    ANNOUNCE = 20, ANNOUNCE_REPLY = 21, ENTRY_REPORT = 22, ENTRY_REPORT_REPLY = 23,
    ENDED_REQUESTS = 24, QUOTA_ASK = 25, QUOTA_ANSWER = 26, CRASH_REPORT = 27,
    UPSTREAM_LIMIT = 28,
    HEARTBEAT = 30, HEARTBEAT_REPLY = 31, GET_CONFIG = 32, CONFIG_REPLY = 33,
    CHANGE = 34, CHANGE_REPLY = 35, CLAIM = 36, CLAIM_REPLY = 37,
    CONTROL_STATUS = 38, CONTROL_STATUS_REPLY = 39, REPAIR = 40, REPAIR_REPLY = 41,
    RELEASE_POOLS = 42, RELEASE_POOLS_REPLY = 43,
    ORDER = 44, ORDER_REPLY = 45, REGISTER_UPSTREAM = 46, REGISTER_UPSTREAM_REPLY = 47,
    START_ROLLOUT = 63, GET_ROLLOUT = 64, ROLLOUT_REPLY = 65,
    ROLLOUT_REPORT = 66, ROLLOUT_REPORT_REPLY = 67,
    PRE_VOTE = 50, PRE_VOTE_REPLY = 51, VOTE = 52, VOTE_REPLY = 53,
    APPEND = 54, APPEND_REPLY = 55, SNAPSHOT_PIECE = 56, SNAPSHOT_REPLY = 57,
    JOIN = 58, JOIN_REPLY = 59, RETURN_CHECK = 60, RETURN_CHECK_REPLY = 61,
    TIMEOUT_NOW = 62,
}

/* ---- links ---- */

struct Challenge { 1: required binary nonce }

struct Hello {
    1: required string host,
    2: required string incarnation,   // new at every start of the process
    3: required binary proof,         // HMAC-SHA256 of the nonce, host, incarnation, address
    4: required string address,       // the internal address that peers reach it at
}

struct HelloReply { 1: required string host, 2: required string incarnation }

struct Fault { 1: required i32 code, 2: required string text }

/* Asked on a connection that is silent though something was sent on it. */
struct LinkPing { 1: required bool unused }

struct LinkPong { 1: required bool unused }

/* ---- entry host to pool owner, and back ---- */

struct Load {
    1: required i32 running,
    2: required i32 waiting,
    3: required i32 kv_tokens,
    4: required i32 age_ms,
}

struct Register {
    1: required string request_id,
    2: required string pool,
    3: required string workspace,
    4: required string tier,
    5: required i32 prompt_tokens,        // estimate
    6: required i32 output_tokens,        // estimate
    7: required i32 deadline_in_ms,       // what is left of it
    8: required list<i64> prefix_hashes,  // of growing prompt prefixes, shortest first
    9: required string entry_host,
    10: required i32 waited_ms,
    11: required list<string> tried,      // upstreams proved not to have run it
    12: optional list<i32> prefix_tokens, // tokens of each prefix, where the caller told them
    13: optional i32 first_by_ms,         // what is left until the first output is late; may be negative
    14: optional i32 start_by_ms,         // what is left until the caller gives up without a first output
    15: optional i64 fingerprint,         // the same for each copy of a request
    16: optional string route,            // while a rollout of the service is judged
}

struct Grant {
    1: required string request_id,
    2: required string pool,
    3: required i64 epoch,                // of the pool's ownership
    4: required string upstream,
    5: required string address,           // IP:port
    6: required string upstream_incarnation,
    7: required i32 valid_ms,             // counted from the arrival of the grant
    8: optional bool rate_limited,             // the owner believes that the upstream names a limit
}

struct Refusal {
    1: required string request_id,
    2: required string pool,
    3: required string reason,
    4: required i32 retry_after_ms,
}

struct Cancel { 1: required string request_id, 2: required string pool }

struct Started { 1: required string request_id, 2: required string pool, 3: required string upstream }

struct ProgressItem {
    1: required string request_id,
    2: required i32 output_tokens,
    3: optional i32 first_ms,             // from the sending to the first output, once
}

struct Progress { 1: required string pool, 2: required list<ProgressItem> items }

struct Finished {
    1: required string request_id,
    2: required string pool,
    3: required string upstream,
    4: required string outcome,
    5: required i32 output_tokens,
    6: required i32 cached_tokens,       // -1: the upstream did not say
    7: required i32 first_token_ms,      // -1: none came
    8: required i32 total_ms,
    9: required bool in_time,
    10: optional Load load,              // what the upstream's answer told of its load
}

/* A grant that was not used: the request had not run. */
struct Returned {
    1: required string request_id,
    2: required string pool,
    3: required string upstream,
    4: required string reason,           // expired, refused-connection, not-admitted, lease
    5: required bool still_waiting,
}

struct RunningItem { 1: required Register request, 2: required string upstream, 3: required i32 output_tokens }

/* What an answer named as the most that its upstream takes from all hosts together. */
struct UpstreamLimit {
    1: required string pool,
    2: required string upstream,
    3: required string incarnation,
    4: optional double limit,            // requests a second; absent: it named none
    5: required i32 age_ms,              // since the answer began
}

/* All that an entry host has with a pool, told to a new owner. */
struct Reregister {
    1: required string pool,
    2: required i64 epoch,
    3: required string entry_host,
    4: required list<Register> waiting,
    5: required list<RunningItem> running,
}

/* The ids of all requests that an entry host has with a pool, told every few seconds. */
struct Live { 1: required string pool, 2: required string entry_host, 3: required list<string> request_ids }

/* The ids of requests that have ended at an entry host of late, told several times each. */
struct EndedRequests { 1: required string entry_host, 2: required list<string> request_ids }

/* What a workspace's requests have used at one entry host, all about the same time ago. */
struct Usage {
    1: required string workspace,
    2: required i64 amount,
    3: required i32 age_ms,
}

/* What a workspace's waiting requests at one entry host would use; told whole each time. */
struct Held { 1: required string workspace, 2: required i64 amount }

/* What is left of a workspace's quota over all hosts; below 0 when it is overdrawn. */
struct QuotaLevel {
    1: required string workspace,
    2: required i64 amount,              // what is left of the window
    3: optional i64 paced,               // what of it may be used now
    4: optional i64 lent,                // what the host may use of it without asking
}

/* Told by every entry host to the owner it uses, a few times a second; number grows with each. */
struct EntryReport {
    1: required string entry_host,
    2: required string incarnation,
    3: required i64 number,
    4: required list<Usage> used,        // since the last report
    5: required list<Held> held,
    6: optional list<string> ended,      // ids of requests that have ended here of late
    7: optional bool counting,           // true: to the host that counts quotas for this one
    8: optional list<i64> settled,       // numbers of reservations that were used or given up
    9: optional i32 within_ms,           // the next report comes within this time
}

struct EntryReportReply {
    1: required bool ready,              // false: not able to own pools now
    2: required string incarnation,
    3: required i64 number,
    4: required list<QuotaLevel> levels,
    5: required i32 entry_hosts,         // how many report here
}

/* Asks the counting host to reserve what a request would use of its workspace's quota. */
struct QuotaAsk {
    1: required string request_id,
    2: required string workspace,
    3: required i64 amount,
    4: required string entry_host,
    5: required i32 patience_ms,         // how long the request may wait in the line
    6: required i32 latest_retry_ms,         // the latest return that its caller would make
    7: required i64 retry_fingerprint,            // equal for a request and its later copies
    8: required bool repeat,             // it has run already and is to run once more
    9: required i64 reservation,         // the host's number for what it asks to reserve
    10: required string kind,            // the requests among which quotas are shared
}

struct QuotaAnswer {
    1: required string status,           // reserved, refused, not-counting
    2: required i64 left,                // of the window
    3: required i64 paced,               // what of it may be used now
    4: required i64 ahead,               // what waited before it in the line
    5: required i32 waited_ms,
    6: required i32 retry_after_ms,      // of a refusal
    7: required bool retry_reserved,             // room is kept for its return at that time
    8: required string incarnation,      // of the answering process
}

/* The end of an upstream's process while it ran a request. */
struct CrashItem {
    1: required i64 fingerprint,
    2: required string upstream,
    3: required string incarnation,
    4: required i64 age_ms,
}

/* The crashes of a request that are older than this count no more. */
struct ClearingItem { 1: required i64 fingerprint, 2: required i64 age_ms }

/* Told to the owners of pools, and by these to all hosts; answered by what is not in it. */
struct CrashReport {
    1: required string host,
    2: required bool broadcast  ,            // the receiver is to tell all hosts
    3: required list<CrashItem> crashes,
    4: required list<ClearingItem> clearings,
    5: optional i64 digest,              // of all that the sender knows; it asks for the receiver's
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
    12: optional i32 warm_in_ms,            // until then it is slower than later
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
    9: optional bool leased,             // the node's lease was valid when this was sent
    10: optional i64 upstreams_version,  // newest list of upstreams the node holds
    11: optional i64 rollouts_version,   // newest version rules the node holds
}

struct ConfigChange { 1: required i64 version, 2: required binary patch }  // JSON merge patch

/* The hosts and the owners of pools, whole when the node's copy is old. */
struct Directory {
    1: required i64 version,
    2: required list<HostEntry> hosts,
    3: required list<PoolOwner> owners,
    4: optional bool partial,            // a new leader has not yet heard all hosts
}

/* All registered upstreams; the version is the index of the last change in the log. */
struct UpstreamList { 1: required i64 version, 2: required list<Announce> upstreams }

/* Which versions of a service's upstreams may get requests; empty for none named. */
struct ServiceVersionRules {
    1: required string pool,
    2: required string serving,
    3: required string candidate,        // of a rollout that is judged
    4: required string denied,           // of the last rollout that was reverted
    5: required i64 number,              // of the rollout
}

struct VersionRulesList { 1: required i64 version, 2: required list<ServiceVersionRules> rules }

struct HeartbeatReply {
    1: required string status,           // granted, not-leader, unknown-host
    2: required string leader,           // address of the leader, if known
    3: required i32 lease_ms,            // counted from the sending of the heartbeat
    4: required i64 config_version,
    5: optional list<ConfigChange> changes,
    6: optional binary config,           // whole, when the node is far behind
    7: optional Directory directory,
    8: required i64 term,
    9: optional i32 next_ms,             // when the next heartbeat is wanted
    10: optional UpstreamList upstreams, // when the node's list is another
    11: optional VersionRulesList rollouts,  // when the node's rules are others
}

/* The announcement of an upstream to control, by whichever host took it. */
struct RegisterUpstream { 1: required Announce upstream }

struct RegisterUpstreamReply { 1: required string status, 2: required string leader }   // ok, stale, unknown, not-leader

struct GetConfig { 1: required bool unused }

struct ConfigReply { 1: required string status, 2: required i64 version, 3: required binary config }

struct Change {
    1: required string change_id,
    2: required i64 base_version,
    3: required binary config,
    4: optional i64 number,        // the operator's own number: the highest takes effect, base_version is not compared
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

/* The order to move a service to upstreams of another version within a time. */
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

/* Cumulative counts of one cell of evidence, in the order of rollouts.models.Counts. */
struct EvidenceItem {
    1: required i32 second,
    2: required string route,
    3: required string upstream,   // empty: all of the old version
    4: required list<i32> counts,
}

/* What one owner has counted since the order; evidence has what is new since its last report. */
struct RolloutReport {
    1: required string pool,
    2: required i64 number,
    3: required string owner,      // names the process
    4: required i64 reached,
    5: required i64 exposed,
    6: required i32 old_running,
    7: required i32 wanted,        // requests that it would send to the new version
    8: required list<EvidenceItem> evidence,
    9: optional i64 cap,           // set by the leader: the most to be allotted to all owners
    10: optional i64 told_ms,      // set by the leader: cluster time of the report
}

struct RolloutReportReply {
    1: required string status,     // ok, absent, unknown, not-leader
    2: required i32 allowed,
    3: optional string phase,
    4: optional string leader,
    5: optional i64 elapsed_ms,    // since the order
}

/* The leader's verdict on the rollout of that number. */
struct RolloutStep {
    1: required string pool,
    2: required i64 number,
    3: required string phase,            // complete, reverted
    4: required string why,
}

/* ---- commands of the replicated log ---- */

struct Assignment {
    1: required string pool,
    2: required string host,             // empty: the pool has no owner any more
    3: required string incarnation,
    4: required string address,
    5: required i64 expected_epoch,      // of the owner before, 0 for none
}

/* Whatever depends on time or settings is in the command, for one result everywhere. */
struct Command {
    1: required i64 time_ms,             // cluster time of the leader
    2: required i64 forget_changes_ms,   // outcomes older than this are dropped
    3: required i64 forget_claims_ms,    // claims older than this are dropped
    4: optional Change change,
    5: optional list<Claim> claims,
    6: optional list<Assignment> assignments,
    7: optional ReleasePools release,
    8: optional list<Announce> upstreams,
    9: optional bool settle_versions,    // versions of upstreams serve by order only
    10: optional StartRollout rollout,
    11: optional RolloutReport rollout_report,
    12: optional RolloutStep rollout_step,
}

/* What applying a command gave. */
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

/* boot names the sender's start; what an earlier start sent is dropped. */

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

/* A leader that stops has the voter with the longest log campaign at once. */
struct TimeoutNow { 1: required i64 term, 2: required string leader, 3: optional i64 boot }

struct Append {
    1: required i64 term, 2: required string leader, 3: required i64 prev_index, 4: required i64 prev_term,
    5: required list<Entry> entries, 6: required i64 commit, 7: required i64 round, 8: optional i64 boot,
}
struct AppendReply {
    1: required i64 term, 2: required string follower, 3: required bool matched, 4: required i64 match_index,
    5: required i64 hint_index, 6: required i64 round,
    7: optional bool counted,            // false: not yet allowed to vote, count it in no quorum
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

/* Asked of all other voters at each start, before the first vote. */
struct ReturnCheck {
    1: required i64 term, 2: required string replica, 3: required i64 last_index,
    4: required i64 members_index, 5: optional i64 boot,
    6: optional string address,          // where the sender is reached, IP:port
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
    3: optional string replica, 4: optional string host, 5: optional string address,  // who answers
    6: optional binary members,          // formed: the first membership, entry 1 of the log
}

/* ---- the replicated log on disk ---- */

struct Mark {
    1: required string replica, 2: required i64 boot, 3: required i64 term, 4: required i64 index,
}

/* What one synced write holds, applied in this order. */
struct LogBatch {
    1: optional i64 term, 2: optional string vote, 3: optional i64 boot,
    4: optional list<Mark> marks,
    5: optional i64 truncate_from,
    6: optional list<Entry> entries,
}

struct SnapshotFile {
    1: required i64 index, 2: required i64 term, 3: required i64 members_index, 4: required binary members, 5: required binary data,
}
