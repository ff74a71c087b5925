// Messages between instances. Each struct has a data class of the same name and fields
// in peer.py; examples/generate_schema.py generates schema.py from this file.

struct WorkInfo {
  1: string ask, 2: string request, 3: string instance, 4: string customer,
  5: string tier, 6: i32 rank, 7: i32 prompt_tokens, 8: i32 output_tokens,
  9: double deadline_in, 10: double waited, 11: bool stoppable,
  12: list<i64> prefixes, 13: list<string> avoid, 14: double due_in,
  15: string data_centre, 16: double ends_in, 17: i64 identity, 18: i64 suspect,
  19: list<string> resting, 20: string route, 21: i64 memory_tokens,
  22: string bound_version, 23: i64 stream, 24: i64 resumes
}
struct Heartbeat {
  1: string instance, 2: string incarnation, 3: string data_centre, 4: string region,
  5: string peer_address, 6: string operator_address, 7: i64 version,
  8: bool ready, 9: bool leaving, 10: list<string> known, 11: bool greet,
  12: bool relay, 13: i32 capacity, 14: i32 followers, 15: string parent,
  16: bool accepts_tunnels, 17: bool receives_streams
}
struct Relays { 1: list<Heartbeat> relays, 2: i32 instances }
struct Beat { 1: string incarnation, 2: i64 version }
struct PoolAsk { 1: string pool, 2: WorkInfo work }
struct PoolWithdraw { 1: string pool, 2: string ask }
struct PoolFirstToken {
  1: string pool, 2: string ask, 3: double seconds, 4: double pace,
  5: i64 stream, 6: string version
}
struct PoolFinished {
  1: string pool, 2: string ask, 3: string outcome, 4: i32 tokens,
  5: double decode_seconds, 6: i32 computed, 7: double longest_pause,
  8: double pace, 9: double pace_age, 10: bool in_path
}
struct PlaceInfo {
  1: i64 identity, 2: string customer, 3: i32 rank, 4: double seconds,
  5: double starts_in, 6: bool used
}
struct StreamGroup { 1: string version, 2: list<i64> streams }
struct PoolRegister {
  1: string pool, 2: string instance, 3: string incarnation,
  4: list<WorkInfo> waiting, 5: list<WorkInfo> running, 6: list<string> targets, 7: list<PlaceInfo> places,
  8: list<StreamGroup> streams
}
struct PoolStreams { 1: string pool, 2: list<StreamGroup> streams }
struct PoolGrant {
  1: string pool, 2: string ask, 3: string target, 4: double waited, 5: bool used_place,
  6: string version
}
struct PoolRefuse {
  1: string pool, 2: string ask, 3: string reason, 4: double retry_after,
  5: double place_s, 6: double place_seconds
}
struct PoolLearnt {
  1: string pool, 2: list<string> targets, 3: list<double> slowness, 4: double first,
  5: double token, 6: double share
}
struct PoolHeld {
  1: string pool, 2: string instance, 3: list<string> asks, 4: list<string> hanging
}
struct PoolQueued { 1: string pool, 2: double again_in }
struct PoolInquire { 1: string pool }
struct Usage {
  1: string incarnation, 2: string scope, 3: list<string> customers,
  4: list<i64> totals, 5: list<i64> recent
}
struct UsageAsk { 1: string incarnation }
struct UsageHistory {
  1: double age, 2: double known_for, 3: bool kept_known, 4: list<string> listed,
  5: list<Usage> usages, 6: i32 instances
}
struct TargetState {
  1: string name, 2: i64 revision, 3: bool removed, 4: string pool,
  5: string address, 6: string data_centre, 7: i32 slots, 8: bool leaving,
  9: i64 incarnation, 10: string version, 11: double rate_limit,
  12: i64 rate_limit_version,
  13: double rejection_limit, 14: i64 rejection_limit_version
}
struct TargetStates {
  1: list<TargetState> states, 2: i64 revision, 3: bool announced
}
struct SuspectState {
  1: i64 fingerprint, 2: list<string> targets, 3: list<double> weights,
  4: list<double> spans, 5: list<double> ages, 6: list<string> cleared
}
struct SuspectStates {
  1: list<SuspectState> states, 2: list<SuspectState> parts
}
struct RolloutRecord {
  1: string pool, 2: string version, 3: i64 revision, 4: bool removed,
  5: double duration, 6: string state, 7: string state_version, 8: i64 number,
  9: double age, 10: i64 requests, 11: i64 exposed, 12: i64 answers, 13: bool is_known,
  14: bool is_rejected, 15: list<string> serving, 16: i64 serving_since,
  17: double serving_for, 18: double evidence, 19: list<string> begun,
  20: i64 begun_revision, 21: double serving_began
}
struct RolloutRecords { 1: list<RolloutRecord> records }
struct RolloutWrite {
  1: string pool, 2: i64 revision, 3: string version, 4: string state
}
struct TunnelOpen { 1: string target, 2: string address }
struct PoolStop { 1: string pool, 2: string ask }
struct NotDispatcher { 1: string pool }
struct ClaimAsk {
  1: string number, 2: i32 shard, 3: binary digest, 4: binary body_digest,
  5: string holder, 6: string incarnation, 7: string attempt, 8: string supersedes,
  9: bool lookup
}
struct ClaimReply {
  1: string number, 2: string result, 3: string holder, 4: string incarnation,
  5: string attempt, 6: binary body_digest
}
struct ClaimRelease { 1: i32 shard, 2: binary digest, 3: string attempt }
struct AnswerAsk { 1: string number, 2: string attempt }
struct AnswerReply {
  1: string number, 2: string state, 3: i32 status, 4: string content_type, 5: binary body
}
struct ConfigurationAsk { 1: string number }
struct ConfigurationReply { 1: string number, 2: i64 version, 3: binary value }
struct StatusAsk { 1: string number, 2: string pool }
struct StatusReply { 1: string number, 2: string text }

// Claimed keys as stored on the platform.
struct ClaimRecord {
  1: binary digest, 2: binary body_digest, 3: string holder, 4: string incarnation,
  5: string attempt, 6: i64 at, 7: bool released, 8: i64 sequence
}
struct ClaimSegment { 1: list<ClaimRecord> records }
struct SealedSegment { 1: string name, 2: i32 count, 3: i64 newest }
struct ClaimHead {
  1: list<SealedSegment> sealed, 2: list<ClaimRecord> open, 3: string batch,
  4: i64 next_sequence
}
