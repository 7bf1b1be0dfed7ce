// Messages between hosts. Field numbers are never used again for another field.
namespace cpp comfreyflow.wire

struct HostRecord {
  1: string name
  2: i64 incarnation
  3: string failure_domain
  4: string gossip
  5: string peers
  6: string callers
  7: i32 capacity
}

// `start` names the start of the target that leaves by its own word.
struct TargetMark {
  1: string target
  2: i64 version
  3: bool closed
  4: optional i64 start
  5: optional i64 era
  6: optional i64 entry_born
  7: optional i64 entry_report
}

struct SuspectMark {
  1: i64 fingerprint
  2: i32 crashes
}

// The failure domains that operators have taken out of service, as of one
// version of the store.
struct EvacuationState {
  1: i64 era
  2: i64 revision
  3: list<string> domains
  4: optional bool is_partial
}

// One datagram of the membership. Claims are parallel lists, to spare bytes:
// `claim_ids`, `claim_marks` (state + 4 * age in units of 20 ms) and
// `claim_loads` (load * 2 + draining), `claim_lags` (the sender's generation
// less the member's; empty when all are zero).
struct Datagram {
  1: i32 kind
  2: i32 sender
  3: i64 sequence
  4: optional i32 subject
  5: i64 generation
  6: i32 load
  7: i64 config_generation
  8: i64 config_hash
  9: list<i32> claim_ids
  10: list<i32> claim_marks
  11: binary claim_loads
  12: optional list<i64> claim_lags
  13: optional list<HostRecord> records
  14: optional list<i32> wanted
  15: optional list<TargetMark> targets
  16: optional list<SuspectMark> suspects
  17: optional i64 store_era
  18: optional EvacuationState evacuations
  // Ids of the claims, or the sender's, whose hosts can't place requests.
  19: optional list<i32> unready
}

// ---- Calls between hosts over TCP ------------------------------------------

struct AttemptId {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  4: i32 number
}

// An entry asks a steward for room on a target. Times are what remains.
struct ReserveCall {
  1: AttemptId attempt
  2: string target
  3: string account
  4: i64 kv_tokens
  5: i32 urgency
  7: i64 expires_ms
  8: i32 prefill_tokens
  9: i64 max_wait_us
  10: bool suspect
}

// The steward's answer, at once or later for what was queued.
struct GrantCall {
  1: AttemptId attempt
  2: string target
  3: i32 reply
  4: i64 retry_after_us
}

struct ReleaseCall {
  1: AttemptId attempt
  2: string target
}

// The attempt's prefill is done, its memory still in use.
struct PrefilledCall {
  1: AttemptId attempt
  2: string target
}

// A target's load report as its steward read it last.
struct LoadReport {
  1: string target
  2: i64 epoch
  3: i64 sequence
  4: i64 age_ms
  5: i32 running
  6: i32 waiting
  7: i64 kv_used
  8: i64 kv_capacity
  9: i32 max_running
  10: i64 prefill_backlog_tokens
  11: bool closing
  12: list<string> models
}

// What the sender knows of targets' loads; an answer is the same, back.
struct LoadsCall {
  1: list<LoadReport> reports
  2: bool answer_wanted
}

// A steward asks a host which of these attempts it still owns.
struct OwnersCall {
  1: list<AttemptId> attempts
}

struct OwnersAnswer {
  1: list<AttemptId> unknown
}

struct ConfigCall {
  1: i64 generation
}

struct ConfigAnswer {
  1: i64 generation
  2: string text
}

struct ShareAsk {
  1: string account
  2: i64 tokens_per_second
  3: i64 concurrent_tokens
}

// Parts of account limits asked for, lent, or (with `loan` 0) refused.
struct SharesCall {
  1: i64 loan
  2: i64 period_ms
  3: list<ShareAsk> shares
}

// A claim or an outcome of the claim log.
struct ClaimRecord {
  1: i32 kind
  2: string key
  3: i64 claimant
  4: i64 fingerprint
  5: i64 remaining_s
  6: i32 outcome
}

// Records to append, from an entry to the shard's steward.
struct ClaimsCall {
  1: list<ClaimRecord> records
}

struct ClaimVerdict {
  1: string key
  2: i64 claimant
  3: i32 verdict
}

struct ClaimsAnswer {
  1: list<ClaimVerdict> verdicts
}

// A fingerprint was running on the target when that crashed.
struct CrashCall {
  1: string target
  2: i64 fingerprint
}

union Body {
  1: ReserveCall reserve
  2: GrantCall grant
  3: ReleaseCall release
  4: PrefilledCall prefilled
  5: LoadsCall loads
  6: OwnersCall owners
  7: OwnersAnswer owners_answer
  8: ConfigCall config
  9: ConfigAnswer config_answer
  10: SharesCall shares
  11: ClaimsCall claims
  12: ClaimsAnswer claims_answer
  13: CrashCall crash
}

// Messages from one host to another, in order. Each is complete in itself; one
// that wants an answer gets it as a message of its own.
struct Envelope {
  1: string host
  2: i64 incarnation
  3: string to
  4: list<Body> bodies
}

// ---- Placement, in datagrams between hosts ----------------------------------
// Requests are named by the sequence of the host that has them; the sender's
// name and incarnation stand in the datagram.

struct PlaceAsk {
  1: i64 sequence
  2: string service_name
  3: string account
  4: string failure_domain
  5: bool stream
  6: i32 prompt_tokens
  7: i32 output_tokens
  8: i32 priority
  9: i32 waited_ms
  10: i32 remaining_ms
  11: i32 objective_ms
  12: i32 max_gap_ms
  13: i32 number
  14: list<string> excluded
  15: bool repeat
  16: optional i32 begin_ms
}

// `reserve_tokens` of memory are set aside there for the request; `version` is
// that of the target's entry at the holder.
struct PlacedTarget {
  1: string name
  2: string address
  3: i32 reserve_tokens
  4: i64 version
  5: i64 born
  6: optional i64 era
}

// The answer to an ask. `code` is 0 for a grant, else an error's number.
struct PlaceAnswer {
  1: i64 sequence
  2: i32 number
  3: i32 code
  4: list<PlacedTarget> targets
  5: i32 estimate_ms
  6: i32 retry_after_ms
  // Targets that had no turn left under the limits they named.
  7: i32 out_of_turns
  // The process that asked; older builds do not send it.
  8: optional i64 asker_incarnation
}

// Placed work began (outcome absent) or ended.
struct PlaceNote {
  1: i64 sequence
  2: string service_name
  3: optional i32 outcome
  4: optional string target
}

struct PlacedWork {
  1: i64 sequence
  2: list<PlacedTarget> targets
  3: bool stream
  4: bool begun
  5: i32 prompt_tokens
  6: i32 output_tokens
  7: i32 max_gap_ms
}

// All placed work of the sender for one service.
// Requests and retries of the sender that other holders granted so long ago.
struct GrantCount {
  1: i32 age_ms
  2: i32 requests
  3: i32 retries
}

// What one start of a host was granted that has ended.
struct HostGrants {
  1: string host
  2: i64 incarnation
  3: list<GrantCount> counts
}

// `elsewhere` and `departed` cover the window of the retry budget; hosts of older builds do
// not send it.
struct PlaceSync {
  1: string service_name
  2: list<PlacedWork> running
  3: optional list<GrantCount> elsewhere
  4: optional list<HostGrants> departed
}

// The target wants no request of the sender for so long.
struct TargetRest {
  1: string service_name
  2: string target
  3: i32 rest_ms
}

// That start of the target takes so many requests a second from all hosts
// together; `rate` is absent once it names no limit any more. Of two words the
// one with the higher count is later.
struct TargetLimit {
  1: string service_name
  2: string target
  3: i64 born
  4: optional double rate
  5: i64 count
}

// The contents of a request, as hashes.
struct RequestSubjects {
  1: i64 request
  2: i64 account
  3: list<i64> parts
}

// A start of a target crashed while it was about to answer these requests.
struct CrashReport {
  1: string service_name
  2: string target
  3: i64 born
  4: i32 age_ms
  5: list<RequestSubjects> requests
}

// A request that contained the subject was answered so long ago.
struct Acquittal {
  1: i64 subject
  2: i32 age_ms
}

// Requests that contain all subjects crash targets.
struct CrashVerdict {
  1: list<i64> subjects
  2: list<i64> accounts
  3: i32 first_crash_age_ms
  4: i32 last_crash_age_ms
  5: list<string> targets
  6: i32 trials
  7: i32 next_trial_ms
}

struct CrashNews {
  1: list<CrashReport> crashes
  2: list<Acquittal> acquittals
  3: list<CrashVerdict> verdicts
  // The sender asks for the receiver's verdicts and recent crashes.
  4: bool wanted
}

struct PlaceDatagram {
  1: string sender
  2: i64 incarnation
  3: list<PlaceAsk> asks
  4: list<PlaceAnswer> answers
  5: list<PlaceNote> notes
  6: list<PlaceSync> syncs
  7: list<TargetMark> leaving
  8: list<TargetRest> rests
  9: list<TargetLimit> limits
  10: optional CrashNews crash_news
}

// ---- Requests that one host sends to a target over another host -------------

struct CarriedField {
  1: string name
  2: string value
}

// The head of a carried request; the body follows it in the same frame.
struct CarryHead {
  1: string sender
  2: string request
  3: string service_name
  4: string address
  5: i64 progress_ms
  6: i64 idle_limit_ms
  7: bool probe_silence
  8: string method
  9: string target
  10: list<CarriedField> fields
}
