// Conversions between Thrift structs and the types of the core library.
#include "node/peer-wire.h"

#include <utility>

namespace comfreyflow::node {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Converts a number from a peer to an enum whose values run from 0 to `last`;
/// returns `fallback` if it is out of range.
template <class Enum>
Enum EnumOf(std::int32_t value, Enum last, Enum fallback) {
  const bool known = value >= 0 && value <= static_cast<std::int32_t>(last);
  return known ? static_cast<Enum>(value) : fallback;
}

}  // namespace

wire::AttemptId ToWire(const AttemptId& id) {
  wire::AttemptId out;
  out.host = id.request.host.value;
  out.incarnation = static_cast<std::int64_t>(id.request.incarnation.value);
  out.sequence = static_cast<std::int64_t>(id.request.sequence);
  out.number = static_cast<std::int32_t>(id.number);
  return out;
}

AttemptId FromWire(const wire::AttemptId& id) {
  AttemptId out;
  out.request.host.value = id.host;
  out.request.incarnation.value = static_cast<std::uint64_t>(id.incarnation);
  out.request.sequence = static_cast<std::uint64_t>(id.sequence);
  out.number = static_cast<std::uint32_t>(id.number);
  return out;
}

std::vector<wire::AttemptId> ToWire(const std::vector<AttemptId>& ids) {
  std::vector<wire::AttemptId> out;
  for (const auto& id : ids) out.push_back(ToWire(id));
  return out;
}

std::vector<AttemptId> FromWire(const std::vector<wire::AttemptId>& ids) {
  std::vector<AttemptId> out;
  for (const auto& id : ids) out.push_back(FromWire(id));
  return out;
}

wire::Body ReserveBody(const TargetName& target,
                       const ReservationRequest& request, Time now) {
  wire::ReserveCall call;
  call.attempt = ToWire(request.attempt);
  call.target = target.value;
  call.account = request.account.value;
  call.kv_tokens = static_cast<std::int64_t>(request.kv_tokens);
  call.prefill_tokens = static_cast<std::int32_t>(request.prefill_tokens);
  call.suspect = request.suspect;
  call.urgency = static_cast<std::int32_t>(request.urgency);
  call.max_wait_us = duration_cast<microseconds>(request.max_wait).count();
  call.expires_ms = duration_cast<milliseconds>(request.expires - now).count();
  wire::Body body;
  body.__set_reserve(call);
  return body;
}

ReservationRequest ReserveFromWire(const wire::ReserveCall& call, Time now) {
  ReservationRequest request;
  request.attempt = FromWire(call.attempt);
  request.account.value = call.account;
  request.kv_tokens = static_cast<std::uint64_t>(call.kv_tokens);
  request.prefill_tokens = static_cast<std::uint32_t>(call.prefill_tokens);
  request.suspect = call.suspect;
  request.urgency = EnumOf(call.urgency, Urgency::kHigh, Urgency::kNormal);
  request.max_wait = microseconds(call.max_wait_us);
  request.expires = now + milliseconds(call.expires_ms);
  return request;
}

wire::Body GrantBody(const TargetName& target, const ReservationReply& answer) {
  wire::GrantCall call;
  call.attempt = ToWire(answer.attempt);
  call.target = target.value;
  call.reply = static_cast<std::int32_t>(answer.reply);
  call.retry_after_us = duration_cast<microseconds>(answer.retry_after).count();
  wire::Body body;
  body.__set_grant(call);
  return body;
}

GrantAnswered GrantFromWire(const wire::GrantCall& call) {
  GrantAnswered out;
  out.attempt = FromWire(call.attempt);
  out.target.value = call.target;
  out.reply = EnumOf(call.reply, GrantReply::kClosed, GrantReply::kRefused);
  out.retry_after = microseconds(call.retry_after_us);
  return out;
}

wire::Body ReleaseBody(const TargetName& target, const AttemptId& attempt) {
  wire::ReleaseCall call;
  call.attempt = ToWire(attempt);
  call.target = target.value;
  wire::Body body;
  body.__set_release(call);
  return body;
}

wire::Body PrefilledBody(const TargetName& target, const AttemptId& attempt) {
  wire::PrefilledCall call;
  call.attempt = ToWire(attempt);
  call.target = target.value;
  wire::Body body;
  body.__set_prefilled(call);
  return body;
}

wire::Body CrashBody(const CrashEvidence& evidence) {
  wire::CrashCall call;
  call.target = evidence.target.value;
  call.fingerprint = static_cast<std::int64_t>(evidence.fingerprint);
  wire::Body body;
  body.__set_crash(call);
  return body;
}

CrashEvidence CrashFromWire(const wire::CrashCall& call) {
  return {static_cast<std::uint64_t>(call.fingerprint), {call.target}};
}

wire::LoadReport ToWire(const TargetReport& report) {
  wire::LoadReport out;
  out.target = report.target.value;
  out.epoch = static_cast<std::int64_t>(report.epoch);
  out.sequence = static_cast<std::int64_t>(report.sequence);
  out.age_ms = duration_cast<milliseconds>(report.age).count();
  out.running = static_cast<std::int32_t>(report.running);
  out.waiting = static_cast<std::int32_t>(report.waiting);
  out.kv_used = static_cast<std::int64_t>(report.kv_used);
  out.kv_capacity = static_cast<std::int64_t>(report.kv_capacity);
  out.max_running = static_cast<std::int32_t>(report.max_running);
  out.prefill_backlog_tokens =
      static_cast<std::int64_t>(report.prefill_backlog_tokens);
  out.closing = report.closing;
  for (const auto& model : report.models) out.models.push_back(model.value);
  return out;
}

TargetReport FromWire(const wire::LoadReport& report) {
  TargetReport out;
  out.target.value = report.target;
  out.epoch = static_cast<std::uint64_t>(report.epoch);
  out.sequence = static_cast<std::uint64_t>(report.sequence);
  out.age = milliseconds(report.age_ms);
  out.running = static_cast<std::uint32_t>(report.running);
  out.waiting = static_cast<std::uint32_t>(report.waiting);
  out.kv_used = static_cast<std::uint64_t>(report.kv_used);
  out.kv_capacity = static_cast<std::uint64_t>(report.kv_capacity);
  out.max_running = static_cast<std::uint32_t>(report.max_running);
  out.prefill_backlog_tokens =
      static_cast<std::uint64_t>(report.prefill_backlog_tokens);
  out.closing = report.closing;
  for (const auto& model : report.models) out.models.push_back({model});
  return out;
}

wire::Body OwnersBody(const std::vector<AttemptId>& attempts) {
  wire::OwnersCall call;
  call.attempts = ToWire(attempts);
  wire::Body body;
  body.__set_owners(call);
  return body;
}

wire::Body OwnersAnswerBody(const std::vector<AttemptId>& unknown) {
  wire::OwnersAnswer answer;
  answer.unknown = ToWire(unknown);
  wire::Body body;
  body.__set_owners_answer(answer);
  return body;
}

wire::Body ClaimsBody(const std::vector<ClaimRecord>& records) {
  wire::ClaimsCall call;
  for (const auto& record : records) {
    wire::ClaimRecord out;
    out.kind = static_cast<std::int32_t>(record.kind);
    out.key = record.key;
    out.claimant = static_cast<std::int64_t>(record.claimant);
    out.fingerprint = static_cast<std::int64_t>(record.fingerprint);
    out.remaining_s = record.remaining.count();
    out.outcome = static_cast<std::int32_t>(record.outcome);
    call.records.push_back(out);
  }
  wire::Body body;
  body.__set_claims(call);
  return body;
}

std::vector<ClaimRecord> FromWire(const wire::ClaimsCall& call) {
  std::vector<ClaimRecord> records;
  for (const auto& record : call.records) {
    ClaimRecord out;
    out.kind = EnumOf(record.kind, ClaimRecord::Kind::kOutcome,
                      ClaimRecord::Kind::kClaim);
    out.key = record.key;
    out.claimant = static_cast<std::uint64_t>(record.claimant);
    out.fingerprint = static_cast<std::uint64_t>(record.fingerprint);
    out.remaining = std::chrono::seconds(record.remaining_s);
    out.outcome = EnumOf(record.outcome, Outcome::kUnknown, Outcome::kUnknown);
    records.push_back(std::move(out));
  }
  return records;
}

wire::Body ClaimsAnswerBody(const std::vector<PeerVerdict>& verdicts) {
  wire::ClaimsAnswer answer;
  for (const auto& verdict : verdicts) {
    wire::ClaimVerdict out;
    out.key = verdict.key;
    out.claimant = static_cast<std::int64_t>(verdict.claimant);
    out.verdict = static_cast<std::int32_t>(verdict.verdict);
    answer.verdicts.push_back(out);
  }
  wire::Body body;
  body.__set_claims_answer(answer);
  return body;
}

std::vector<PeerVerdict> FromWire(const wire::ClaimsAnswer& answer) {
  std::vector<PeerVerdict> verdicts;
  for (const auto& verdict : answer.verdicts) {
    PeerVerdict out;
    out.key = verdict.key;
    out.claimant = static_cast<std::uint64_t>(verdict.claimant);
    out.verdict = EnumOf(verdict.verdict, ClaimVerdict::kUnavailable,
                         ClaimVerdict::kUnavailable);
    verdicts.push_back(std::move(out));
  }
  return verdicts;
}

}  // namespace comfreyflow::node
