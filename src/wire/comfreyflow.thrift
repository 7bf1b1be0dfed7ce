// Messages between hosts. Field numbers are never used again for another field.
namespace cpp comfreyflow.wire

struct HostRecord {
  1: string name
  2: i64 incarnation
  3: string failure_domain
  4: string gossip
  5: string peers
  6: string callers
}

struct TargetMark {
  1: string target
  2: i64 version
  3: bool closed
}

struct SuspectMark {
  1: i64 fingerprint
  2: i32 crashes
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
}

// ---- Calls between hosts over TCP ------------------------------------------

struct AttemptId {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  4: i32 number
}

// An entry asks a steward for room on a target.
struct ReserveCall {
  1: AttemptId attempt
  2: string target
  3: string account
  4: i64 kv_tokens
  5: i32 urgency
  6: bool long_prefill
  7: i64 expires_ms
}

// The steward's answer, at once or later for what was queued.
struct GrantCall {
  1: AttemptId attempt
  2: string target
  3: i32 reply
  4: i64 retry_after_ms
}

struct ReleaseCall {
  1: AttemptId attempt
  2: string target
}

// A target's load report as its steward read it last.
struct ReportCall {
  1: string target
}

struct ReportAnswer {
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

struct ConfigCall {
  1: i64 generation
}

struct ConfigAnswer {
  1: i64 generation
  2: string text
}

// A document that the store has accepted, from the operator's side.
struct ConfigOffer {
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

struct ClaimItem {
  1: string account
  2: string key
  3: i64 fingerprint
  4: AttemptId writer
  5: i64 expires_ms
}

// Claims to append in one slot, from an entry to the shard's appender.
struct ClaimBatchCall {
  1: i32 shard
  2: list<ClaimItem> claims
}

struct ClaimBatchAnswer {
  1: i32 shard
  2: list<i32> verdicts
}

// A target crashed while it ran these requests.
struct PoisonCall {
  1: string target
  2: list<SuspectMark> suspects
}

struct StatusCall {
  1: bool whole_dump
}

struct StatusAnswer {
  1: HostRecord host
  2: i64 generation
  3: string hash
  4: string dump
}

struct ErrorAnswer {
  1: i32 code
}

union Body {
  1: ReserveCall reserve
  2: GrantCall grant
  3: ReleaseCall release
  4: ReportCall report
  5: ReportAnswer report_answer
  6: ConfigCall config
  7: ConfigAnswer config_answer
  8: ConfigOffer config_offer
  9: SharesCall shares
  10: ClaimBatchCall claims
  11: ClaimBatchAnswer claims_answer
  12: PoisonCall poison
  13: StatusCall status
  14: StatusAnswer status_answer
  15: ErrorAnswer error
}

// One message on a connection between hosts; `answers` is the sequence of the
// call that it answers, 0 for a call.
struct Envelope {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  4: i64 answers
  5: Body body
}
