// Turns messages about placement into Thrift structs and back.
#include "wire/placement.h"

#include <algorithm>
#include <limits>

#include "comfreyflow/errors.h"
#include "wire/marks.h"

namespace comfreyflow::wire {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::int32_t Ms(Duration time) {
  const auto count = duration_cast<milliseconds>(time).count();
  constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, 0, kMost));
}

Duration FromMs(std::int32_t ms) { return milliseconds(std::max(ms, 0)); }

std::int32_t Signed(std::uint32_t value) {
  return static_cast<std::int32_t>(
      std::min<std::uint32_t>(value, std::numeric_limits<std::int32_t>::max()));
}

std::uint32_t Unsigned(std::int32_t value) {
  return static_cast<std::uint32_t>(std::max(value, 0));
}

PlacedTarget ToWire(const comfreyflow::PlacedTarget& target) {
  PlacedTarget out;
  out.name = target.name.value;
  out.address = target.address;
  out.reserve_tokens = Signed(target.reserve_tokens);
  out.version = static_cast<std::int64_t>(target.version);
  out.born = static_cast<std::int64_t>(target.born);
  return out;
}

comfreyflow::PlacedTarget FromWire(const PlacedTarget& in) {
  return {{in.name},
          in.address,
          Unsigned(in.reserve_tokens),
          static_cast<std::uint64_t>(in.version),
          static_cast<std::uint64_t>(in.born)};
}

PlaceAsk ToWire(const PlaceAskMessage& message, Time now) {
  const PlaceJob& job = message.job;
  PlaceAsk out;
  out.sequence = static_cast<std::int64_t>(job.id.sequence);
  out.service_name = message.service.value;
  out.account = job.account.value;
  out.failure_domain = job.domain.value;
  out.stream = job.stream;
  out.prompt_tokens = Signed(job.prompt_tokens);
  out.output_tokens = Signed(job.output_tokens);
  out.priority = Signed(job.priority);
  out.waited_ms = Ms(now - job.arrival);
  out.remaining_ms = Ms(job.deadline - now);
  if (job.first_event_deadline != Time::max())
    out.__set_begin_ms(Ms(job.first_event_deadline - now));
  out.objective_ms = Ms(job.objective);
  out.max_gap_ms = Ms(job.max_gap);
  out.number = Signed(job.number);
  for (const auto& name : job.excluded) out.excluded.push_back(name.value);
  out.repeat = job.is_retry;
  return out;
}

PlaceAskMessage FromWire(const PlaceAsk& in, const RequestId& id, Time now) {
  PlaceAskMessage out;
  out.service.value = in.service_name;
  PlaceJob& job = out.job;
  job.id = id;
  job.account.value = in.account;
  job.domain.value = in.failure_domain;
  job.stream = in.stream;
  job.prompt_tokens = Unsigned(in.prompt_tokens);
  job.output_tokens = Unsigned(in.output_tokens);
  job.priority = Unsigned(in.priority);
  job.arrival = now - FromMs(in.waited_ms);
  job.deadline = now + FromMs(in.remaining_ms);
  if (in.__isset.begin_ms) job.first_event_deadline = now + FromMs(in.begin_ms);
  job.objective = FromMs(in.objective_ms);
  job.max_gap = FromMs(in.max_gap_ms);
  job.number = Unsigned(in.number);
  for (const auto& name : in.excluded) job.excluded.push_back({name});
  job.is_retry = in.repeat;
  return out;
}

PlaceAnswer ToWire(const PlaceAnswerMessage& message) {
  PlaceAnswer out;
  out.sequence = static_cast<std::int64_t>(message.sequence);
  out.number = Signed(message.number);
  if (message.waits) return out;
  if (const auto* refusal = std::get_if<PlaceRefusal>(&message.verdict)) {
    out.code = static_cast<std::int32_t>(refusal->code);
    out.retry_after_ms = Ms(refusal->retry_after);
    return out;
  }
  const auto& grant = std::get<PlaceGrant>(message.verdict);
  out.estimate_ms = Ms(grant.estimate);
  out.out_of_turns = Signed(grant.out_of_permits);
  for (const auto& target : grant.targets) {
    out.targets.push_back(ToWire(target));
  }
  return out;
}

bool FromWire(const PlaceAnswer& in, PlaceAnswerMessage& out) {
  out.sequence = static_cast<std::uint64_t>(in.sequence);
  out.number = Unsigned(in.number);
  out.waits = in.code == 0 && in.targets.empty();
  if (in.code < 0 || in.code >= ErrorCount()) return false;
  if (in.code != 0) {
    PlaceRefusal refusal;
    refusal.number = out.number;
    refusal.code = static_cast<Errc>(in.code);
    refusal.retry_after = FromMs(in.retry_after_ms);
    out.verdict = refusal;
    return true;
  }
  PlaceGrant grant;
  grant.number = out.number;
  grant.estimate = FromMs(in.estimate_ms);
  grant.out_of_permits = Unsigned(in.out_of_turns);
  for (const auto& placed : in.targets) {
    grant.targets.push_back(FromWire(placed));
  }
  out.verdict = std::move(grant);
  return true;
}

PlaceSync ToWire(const PlaceSyncMessage& message) {
  PlaceSync out;
  out.service_name = message.service.value;
  for (const auto& work : message.running) {
    PlacedWork& placed = out.running.emplace_back();
    placed.sequence = static_cast<std::int64_t>(work.id.sequence);
    for (const auto& target : work.targets) {
      placed.targets.push_back(ToWire(target));
    }
    placed.stream = work.stream;
    placed.begun = work.is_started;
    placed.prompt_tokens = Signed(work.prompt_tokens);
    placed.output_tokens = Signed(work.output_tokens);
    placed.max_gap_ms = Ms(work.max_gap);
  }
  return out;
}

}  // namespace

std::string EncodePlacement(const PlaceMessages& messages, const FleetKey& key,
                            Time now) {
  PlaceDatagram out;
  out.sender = messages.sender.value;
  out.incarnation = static_cast<std::int64_t>(messages.incarnation.value);
  for (const auto& ask : messages.asks) out.asks.push_back(ToWire(ask, now));
  for (const auto& answer : messages.answers) {
    out.answers.push_back(ToWire(answer));
  }
  for (const auto& note : messages.notes) {
    PlaceNote& wire = out.notes.emplace_back();
    wire.sequence = static_cast<std::int64_t>(note.sequence);
    wire.service_name = note.service.value;
    if (note.ended) wire.__set_outcome(static_cast<std::int32_t>(note.end));
    if (!note.at.value.empty()) wire.__set_target(note.at.value);
  }
  for (const auto& sync : messages.syncs) out.syncs.push_back(ToWire(sync));
  for (const auto& mark : messages.leaving) {
    out.leaving.push_back(wire::ToWire(mark));
  }
  for (const auto& rest : messages.rests) {
    TargetRest& wire = out.rests.emplace_back();
    wire.service_name = rest.service.value;
    wire.target = rest.target.value;
    wire.rest_ms = Ms(rest.rest);
  }
  for (const auto& limit : messages.limits) {
    TargetLimit& wire = out.limits.emplace_back();
    wire.service_name = limit.service.value;
    wire.target = limit.word.target.value;
    wire.born = static_cast<std::int64_t>(limit.word.born);
    wire.count = static_cast<std::int64_t>(limit.word.count);
    if (limit.word.rate) wire.__set_rate(*limit.word.rate);
  }
  return EncodePlaceDatagram(out, key);
}

std::error_code DecodePlacement(std::string_view bytes, const FleetKey& key,
                                Time now, PlaceMessages& out) {
  PlaceDatagram in;
  if (const auto error = DecodePlaceDatagram(bytes, key, in)) return error;
  out = {};
  out.sender.value = in.sender;
  out.incarnation.value = static_cast<std::uint64_t>(in.incarnation);
  const auto id = [&out](std::int64_t sequence) {
    return RequestId{out.sender, out.incarnation,
                     static_cast<std::uint64_t>(sequence)};
  };
  for (const auto& ask : in.asks) {
    out.asks.push_back(FromWire(ask, id(ask.sequence), now));
  }
  for (const auto& answer : in.answers) {
    if (!FromWire(answer, out.answers.emplace_back())) return Errc::kCodec;
  }
  for (const auto& note : in.notes) {
    PlaceNoteMessage& message = out.notes.emplace_back();
    message.sequence = static_cast<std::uint64_t>(note.sequence);
    message.service.value = note.service_name;
    message.ended = note.__isset.outcome;
    message.at.value = note.target;
    if (!message.ended) continue;
    const auto last = static_cast<std::int32_t>(WorkEnd::kCancelled);
    if (note.outcome < 0 || note.outcome > last) return Errc::kCodec;
    message.end = static_cast<WorkEnd>(note.outcome);
  }
  for (const auto& sync : in.syncs) {
    PlaceSyncMessage& message = out.syncs.emplace_back();
    message.service.value = sync.service_name;
    for (const auto& placed : sync.running) {
      RunningWork& work = message.running.emplace_back();
      work.id = id(placed.sequence);
      for (const auto& target : placed.targets) {
        work.targets.push_back(FromWire(target));
      }
      work.stream = placed.stream;
      work.is_started = placed.begun;
      work.prompt_tokens = Unsigned(placed.prompt_tokens);
      work.output_tokens = Unsigned(placed.output_tokens);
      work.max_gap = FromMs(placed.max_gap_ms);
    }
  }
  for (const auto& mark : in.leaving) {
    out.leaving.push_back(wire::FromWire(mark));
  }
  for (const auto& rest : in.rests) {
    out.rests.push_back(
        {{rest.service_name}, {rest.target}, FromMs(rest.rest_ms)});
  }
  for (const auto& limit : in.limits) {
    TargetLimitMessage& message = out.limits.emplace_back();
    message.service.value = limit.service_name;
    message.word.target.value = limit.target;
    message.word.born = static_cast<std::uint64_t>(limit.born);
    message.word.count = static_cast<std::uint64_t>(limit.count);
    if (!limit.__isset.rate) continue;
    if (!(limit.rate >= 0 && limit.rate <= kMaxLimit)) return Errc::kCodec;
    message.word.rate = limit.rate;
  }
  return {};
}

}  // namespace comfreyflow::wire
