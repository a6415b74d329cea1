namespace py auburnwall.wire.peer

/**
 * The last probe of one backend server by one watcher; ages are in milliseconds.
 *
 * `failing_ms` is how long probes have failed, negative while the server responds;
 * `bears` is how many concurrent requests it can take.
 */
struct Observation {
  1: string vm
  2: string watcher
  3: i32 age_ms
  4: bool reachable
  5: string boot_id
  6: string state
  7: i64 generation
  8: i32 running
  9: i32 bears
  10: i64 fence
  11: i64 failing_ms
  12: i64 seq
  13: string version
}

/** The last known end of the control stream, known `age_ms` ago; -1 if not known. */
struct LogWord {
  1: i64 end
  2: i64 age_ms
}

/** The calling node, and up to which of the peer's observations it has them. */
struct Cursor {
  1: string node
  2: string incarnation
  3: string seen_incarnation
  4: i64 seen_seq
}

/**
 * A node's state, and its observations of the backend servers that it watches.
 *
 * `observations` holds those that changed after the caller's cursor, or all of them if
 * `whole`. A watched server without one is unchanged, and was probed at most
 * `unchanged_age_ms` ago.
 */
struct Digest {
  1: string node
  2: string incarnation
  3: i64 folded
  4: LogWord word
  5: bool draining
  6: bool whole
  7: i64 seq
  8: i64 unchanged_age_ms
  9: list<Observation> observations
  10: list<string> forgotten
  11: i32 running
  12: i64 config_offset
  13: string mode
  14: list<string> suspects
}

struct RelayedRecord {
  1: i64 offset
  2: i64 time_ms
  3: binary data
}

/** Records from the offset asked for; `complete` is false if some are missing. */
struct Tail {
  1: bool complete
  2: list<RelayedRecord> records
  3: LogWord word
}

/**
 * Slots that a router holds and wants on one group. `closed` is the number of the last
 * grant of the named ledger under which the router begins nothing any more.
 */
struct CreditAsk {
  1: string node
  2: string incarnation
  3: string group
  4: i64 generation
  5: i32 in_use
  6: i32 want
  7: string boot_id
  8: i64 number
  9: i64 closed
  10: string ledger
}

struct CreditGrant {
  1: bool granted
  2: i32 slots
  3: i32 term_ms
  4: string reason
  5: i64 number
  6: string ledger
}

struct ClaimAsk {
  1: string key
  2: string digest
  3: string attempt
  4: string node
  5: string incarnation
}

/** Whose claim of a key came first in the stream. */
struct ClaimVerdict {
  1: bool won
  2: string digest
  3: string attempt
  4: string node
  5: string incarnation
  6: bool released
}

enum OutcomeState {
  UNKNOWN = 0
  RUNNING = 1
  DONE = 2
  NOT_RUN = 3
}

/** What the claim's holder knows of the request's run. */
struct Outcome {
  1: OutcomeState state
  2: i32 status
  3: map<string, string> headers
  4: binary body
}

exception PeerError {
  1: string detail
  2: string step
}

service Peer {
  Digest exchange(1: Cursor cursor) throws (1: PeerError error)
  Tail tail(1: i64 offset, 2: i32 limit) throws (1: PeerError error)
  CreditGrant credits(1: CreditAsk ask) throws (1: PeerError error)
  list<ClaimVerdict> claim(1: i32 shard, 2: list<ClaimAsk> asks)
    throws (1: PeerError error)
  void release(1: i32 shard, 2: ClaimAsk ask) throws (1: PeerError error)
  Outcome outcome(1: string key, 2: string attempt) throws (1: PeerError error)
}

/**
 * How many requests per second a server takes from all nodes, as its incarnation `born`
 * said `age_ms` ago.
 */
struct ServerLimit {
  1: i64 born
  2: double per_s
  3: i32 age_ms
}

/**
 * How many times slower than the median of its model a candidate is, as `responses` of
 * the last seconds show, the newest of them `age_ms` ago.
 */
struct SlowPace {
  1: double pace
  2: i32 responses
  3: i32 age_ms
}

/**
 * The requests and the demand of several nodes together.
 *
 * `running` counts their requests at each group or server. `demand` is the work that
 * callers asked them for, by model, as a number of groups. `nodes_with_traffic` is how
 * many of them have had a request, `nodes_measured` how many have measured the demand.
 * `suspects` counts the nodes that suspect each group. `leaving` maps the servers
 * that told any of them that they leave to the start time of their incarnation.
 * `crashes` maps crashed servers, as SERVER@BORN/NUMBER, to the requests in flight
 * there, each as the IDs of its prompt's parts joined by commas, a slash and its
 * fingerprint. NUMBER counts the crashes before with the same BORN. `sound_parts` are
 * shared parts and fingerprints of such requests that have been answered. `limits` maps
 * servers to the limits that they have named, the newest of each. `newest_demand` is the
 * demand of the newest second, not set where capacity is planned from the mean alone. `slow_paces`
 * maps slow groups to their paces. A node of an earlier build sends neither.
 */
struct Load {
  1: map<string, i32> running
  2: map<string, double> demand
  3: i32 nodes_with_traffic
  4: i32 nodes_measured
  5: map<string, i32> suspects
  6: map<string, i64> leaving
  7: map<string, list<string>> crashes
  8: list<string> sound_parts
  9: map<string, ServerLimit> limits
  10: optional map<string, double> newest_demand
  11: optional map<string, SlowPace> slow_paces
}

/**
 * A node, and how many milliseconds ago it was last heard of.
 *
 * `lost_services` are the services of which it reaches no server, `cut_off` is whether
 * one of them has model servers.
 */
struct NodeStatus {
  1: string node
  2: string incarnation
  3: bool ready
  4: bool stopping
  5: bool reads_tables
  6: bool has_traffic
  7: i32 age_ms
  8: bool cut_off
  9: list<string> lost_services
}

/**
 * A routed node's heartbeat.
 *
 * `running` counts its requests at each group or server. `demand` is the work that
 * callers asked it for, by model, as a number of groups; empty until it has been
 * measured. `suspects` names groups whose requests make no progress. `table_ends` is up
 * to which offset it has read each of the platform's tables, `reads_tables` whether it
 * reads all of them from the store. `cut_off` and `lost_services` are as in
 * `NodeStatus`, `leaving`, `crashes`, `sound_parts`, `limits`, `newest_demand` and
 * `slow_paces` are as in `Load`. `members` are the nodes that report to it, and
 * `member_load` is the load of these. `config_version` is the version of the
 * configuration that it goes by, `config_is_current` whether it would refuse a request
 * for good by that version; nodes of earlier builds tell neither.
 */
struct Pulse {
  1: string node
  2: string incarnation
  3: bool ready
  4: bool stopping
  5: bool reads_tables
  6: map<string, i64> table_ends
  7: map<string, i32> running
  8: map<string, double> demand
  9: list<string> suspects
  10: bool has_traffic
  11: list<NodeStatus> members
  12: Load member_load
  13: map<string, i64> leaving
  14: map<string, list<string>> crashes
  15: list<string> sound_parts
  16: map<string, ServerLimit> limits
  17: bool cut_off
  18: list<string> lost_services
  19: optional map<string, double> newest_demand
  20: optional map<string, SlowPace> slow_paces
  21: optional i64 config_version
  22: optional bool config_is_current
}

/**
 * The state of all nodes, for a node that reports to the sender.
 *
 * `nodes` holds the live nodes whose status changed after the version that the caller
 * named, `lost` the names of those that are no longer live since. If `whole`, `nodes`
 * holds all live nodes. `load` is that of all live nodes, the caller included.
 * `config_version` and `config_is_current` are the sender's.
 */
struct FleetDigest {
  1: string incarnation
  2: i64 version
  3: bool whole
  4: list<NodeStatus> nodes
  5: list<string> lost
  6: Load load
  7: optional i64 config_version
  8: optional bool config_is_current
}

struct TableRow {
  1: i64 offset
  2: string key
  3: binary value
  4: bool removed
}

/**
 * Records of a table from the offset asked for, or, if `whole`, the newest of all keys.
 *
 * Records that repeat the state of their key may be missing. The copy had the age
 * `age_ms` when the peer had waited `waited_ms` for a new record. `era` rises each time
 * the store has lost records.
 */
struct TableRows {
  1: bool whole
  2: i64 end
  3: i64 age_ms
  4: list<TableRow> rows
  5: i64 era
  6: i32 waited_ms
}

/**
 * A request for a slot at one of the groups of a model in a data centre.
 *
 * `id` is unique to this attempt of the request `request`. The times left are in
 * milliseconds; `objective_left_ms` may be negative, `resume_window_ms` is -1 for
 * requests that do not resume a stream. With `wait` the broker queues the request if no
 * slot is free.
 */
struct SlotAsk {
  1: string id
  2: string node
  3: string request
  4: string service_name
  5: string model
  6: string team
  7: i32 rank
  8: i32 prompt_tokens
  9: i32 response_tokens
  10: i32 deadline_left_ms
  11: i32 objective_left_ms
  12: i32 objective_ms
  13: i32 resume_window_ms
  14: list<string> excluded_servers
  15: bool wait
}

/**
 * The broker's decision. With `granted`, a slot at the group `group`, which has `load`
 * other requests; otherwise why not, and after how many seconds to retry.
 */
struct SlotGrant {
  1: bool granted
  2: string broker
  3: string incarnation
  4: string group
  5: string server
  6: i64 born
  7: string address
  8: string data_center
  9: i32 slots
  10: i32 load
  11: string why
  12: double retry_after_s
}

service Routed {
  Pulse pulse(1: Pulse mine) throws (1: PeerError error)
  FleetDigest report(1: Pulse mine, 2: string digest_of, 3: i64 version)
    throws (1: PeerError error)
  TableRows rows(1: string table, 2: i64 from_offset, 3: i32 wait_ms, 4: i64 era)
    throws (1: PeerError error)
  bool reaches(1: string server, 2: string address) throws (1: PeerError error)
  SlotGrant take_slot(1: SlotAsk ask) throws (1: PeerError error)
  void release_slot(1: string id) throws (1: PeerError error)
}
