// Converts placement messages to and from their Thrift structs.
#include "wire/placement.h"

#include <algorithm>
#include <limits>

#include "comfreyflow/errors.h"
#include "wire/marks.h"

namespace comfreyflow::wire {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Older builds know no `kUnsuited`. A cancelled request says as little about
/// its target.
std::int32_t EncodeEnd(WorkEnd end) {
  return static_cast<std::int32_t>(
      end == WorkEnd::kUnsuited ? WorkEnd::kCancelled : end);
}

/// Milliseconds, limited to the range from 0 to the largest `std::int32_t`.
std::int32_t ToMs(Duration time) {
  const auto count = duration_cast<milliseconds>(time).count();
  constexpr std::int64_t kMaxMs = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, 0, kMaxMs));
}

Duration FromMs(std::int32_t ms) { return milliseconds(std::max(ms, 0)); }

/// Limits the value to the largest `std::int32_t`.
std::int32_t ToInt32(std::uint32_t value) {
  return static_cast<std::int32_t>(
      std::min<std::uint32_t>(value, std::numeric_limits<std::int32_t>::max()));
}

/// Converts negative values, which only a faulty sender encodes, to 0.
std::uint32_t ToUint32(std::int32_t value) {
  return static_cast<std::uint32_t>(std::max(value, 0));
}

PlacedTarget ToWire(const comfreyflow::PlacedTarget& target) {
  PlacedTarget out;
  out.name = target.name.value;
  out.address = target.address;
  out.reserve_tokens = ToInt32(target.reserve_tokens);
  out.version = static_cast<std::int64_t>(target.version.revision);
  if (target.version.era != 0)
    out.__set_era(static_cast<std::int64_t>(target.version.era));
  out.born = static_cast<std::int64_t>(target.born);
  return out;
}

comfreyflow::PlacedTarget FromWire(const PlacedTarget& in) {
  return {{in.name},
          in.address,
          ToUint32(in.reserve_tokens),
          {static_cast<std::uint64_t>(in.era),
           static_cast<std::uint64_t>(in.version)},
          static_cast<std::uint64_t>(in.born)};
}

PlaceAsk ToWire(const PlaceRequestMessage& message, Time now) {
  const PlaceJob& job = message.job;
  PlaceAsk out;
  out.sequence = static_cast<std::int64_t>(job.id.sequence);
  out.service_name = message.service.value;
  out.account = job.account.value;
  out.failure_domain = job.domain.value;
  out.stream = job.stream;
  out.prompt_tokens = ToInt32(job.prompt_tokens);
  out.output_tokens = ToInt32(job.output_tokens);
  out.priority = ToInt32(job.priority);
  out.waited_ms = ToMs(now - job.arrival);
  out.remaining_ms = ToMs(job.deadline - now);
  if (job.first_event_deadline != Time::max())
    out.__set_begin_ms(ToMs(job.first_event_deadline - now));
  out.objective_ms = ToMs(job.objective);
  out.max_gap_ms = ToMs(job.max_gap);
  out.number = ToInt32(job.number);
  for (const auto& name : job.excluded) out.excluded.push_back(name.value);
  out.repeat = job.is_retry;
  return out;
}

PlaceRequestMessage FromWire(const PlaceAsk& in, const RequestId& id,
                             Time now) {
  PlaceRequestMessage out;
  out.service.value = in.service_name;
  PlaceJob& job = out.job;
  job.id = id;
  job.account.value = in.account;
  job.domain.value = in.failure_domain;
  job.stream = in.stream;
  job.prompt_tokens = ToUint32(in.prompt_tokens);
  job.output_tokens = ToUint32(in.output_tokens);
  job.priority = ToUint32(in.priority);
  job.arrival = now - FromMs(in.waited_ms);
  job.deadline = now + FromMs(in.remaining_ms);
  if (in.__isset.begin_ms) job.first_event_deadline = now + FromMs(in.begin_ms);
  job.objective = FromMs(in.objective_ms);
  job.max_gap = FromMs(in.max_gap_ms);
  job.number = ToUint32(in.number);
  for (const auto& name : in.excluded) job.excluded.push_back({name});
  job.is_retry = in.repeat;
  return out;
}

PlaceAnswer ToWire(const PlaceAnswerMessage& message) {
  PlaceAnswer out;
  out.sequence = static_cast<std::int64_t>(message.sequence);
  out.number = ToInt32(message.number);
  if (message.asker)
    out.__set_asker_incarnation(
        static_cast<std::int64_t>(message.asker->value));
  if (message.is_queued) return out;
  if (const auto* refusal = std::get_if<PlaceRefusal>(&message.decision)) {
    out.code = static_cast<std::int32_t>(refusal->code);
    out.retry_after_ms = ToMs(refusal->retry_after);
    return out;
  }
  const auto& grant = std::get<PlaceGrant>(message.decision);
  out.estimate_ms = ToMs(grant.estimate);
  out.out_of_turns = ToInt32(grant.out_of_permits);
  for (const auto& target : grant.targets) {
    out.targets.push_back(ToWire(target));
  }
  return out;
}

bool FromWire(const PlaceAnswer& in, PlaceAnswerMessage& out) {
  out.sequence = static_cast<std::uint64_t>(in.sequence);
  out.number = ToUint32(in.number);
  if (in.__isset.asker_incarnation)
    out.asker = {static_cast<std::uint64_t>(in.asker_incarnation)};
  out.is_queued = in.code == 0 && in.targets.empty();
  if (in.code < 0 || in.code >= ErrorCount()) return false;
  if (in.code != 0) {
    PlaceRefusal refusal;
    refusal.number = out.number;
    refusal.code = static_cast<Errc>(in.code);
    refusal.retry_after = FromMs(in.retry_after_ms);
    out.decision = refusal;
    return true;
  }
  PlaceGrant grant;
  grant.number = out.number;
  grant.estimate = FromMs(in.estimate_ms);
  grant.out_of_permits = ToUint32(in.out_of_turns);
  for (const auto& placed : in.targets) {
    grant.targets.push_back(FromWire(placed));
  }
  out.decision = std::move(grant);
  return true;
}

std::vector<GrantCount> ToWire(
    const std::vector<comfreyflow::GrantCount>& counts, Time now) {
  std::vector<GrantCount> out;
  for (const auto& count : counts) {
    GrantCount& wire_count = out.emplace_back();
    wire_count.age_ms = ToMs(now - count.begin);
    wire_count.requests = ToInt32(count.requests);
    wire_count.retries = ToInt32(count.retries);
  }
  return out;
}

std::vector<comfreyflow::GrantCount> FromWire(const std::vector<GrantCount>& in,
                                              Time now) {
  std::vector<comfreyflow::GrantCount> out;
  for (const auto& count : in) {
    out.push_back({now - FromMs(count.age_ms), ToUint32(count.requests),
                   ToUint32(count.retries)});
  }
  return out;
}

PlaceSync ToWire(const PlaceSyncMessage& message, Time now) {
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
    placed.prompt_tokens = ToInt32(work.prompt_tokens);
    placed.output_tokens = ToInt32(work.output_tokens);
    placed.max_gap_ms = ToMs(work.max_gap);
  }
  if (message.elsewhere) {
    out.__set_elsewhere(ToWire(*message.elsewhere, now));
  }
  if (message.departed.empty()) return out;
  out.__isset.departed = true;
  for (const auto& grants : message.departed) {
    HostGrants& wire_grants = out.departed.emplace_back();
    wire_grants.host = grants.host.value;
    wire_grants.incarnation =
        static_cast<std::int64_t>(grants.incarnation.value);
    wire_grants.counts = ToWire(grants.counts, now);
  }
  return out;
}

std::int64_t ToInt64(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t ToUint64(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

CrashNews ToWire(const CrashNewsMessage& news, Time now) {
  CrashNews out;
  out.wanted = news.wanted;
  for (const auto& crash : news.crashes) {
    CrashReport& report = out.crashes.emplace_back();
    report.service_name = crash.service.value;
    report.target = crash.target.value;
    report.born = ToInt64(crash.born);
    report.age_ms = ToMs(now - crash.at);
    for (const auto& request : crash.requests) {
      RequestSubjects& subjects = report.requests.emplace_back();
      subjects.request = ToInt64(request.request);
      subjects.account = ToInt64(request.account);
      for (const auto part : request.parts)
        subjects.parts.push_back(ToInt64(part));
    }
  }
  for (const auto& acquittal : news.acquittals) {
    Acquittal& wire_acquittal = out.acquittals.emplace_back();
    wire_acquittal.subject = ToInt64(acquittal.subject);
    wire_acquittal.age_ms = ToMs(now - acquittal.at);
  }
  for (const auto& verdict : news.verdicts) {
    CrashVerdict& wire_verdict = out.verdicts.emplace_back();
    for (const auto subject : verdict.subjects)
      wire_verdict.subjects.push_back(ToInt64(subject));
    for (const auto account : verdict.accounts)
      wire_verdict.accounts.push_back(ToInt64(account));
    wire_verdict.first_crash_age_ms = ToMs(now - verdict.first_crash);
    wire_verdict.last_crash_age_ms = ToMs(now - verdict.last_crash);
    for (const auto& target : verdict.targets)
      wire_verdict.targets.push_back(target.value);
    wire_verdict.trials = ToInt32(verdict.trials);
    wire_verdict.next_trial_ms = ToMs(verdict.next_trial - now);
  }
  return out;
}

CrashNewsMessage FromWire(const CrashNews& in, Time now) {
  CrashNewsMessage out;
  out.wanted = in.wanted;
  for (const auto& report : in.crashes) {
    comfreyflow::CrashReport& crash = out.crashes.emplace_back();
    crash.service.value = report.service_name;
    crash.target.value = report.target;
    crash.born = ToUint64(report.born);
    crash.at = now - FromMs(report.age_ms);
    for (const auto& subjects : report.requests) {
      comfreyflow::RequestSubjects& request = crash.requests.emplace_back();
      request.request = ToUint64(subjects.request);
      request.account = ToUint64(subjects.account);
      for (const auto part : subjects.parts)
        request.parts.push_back(ToUint64(part));
    }
  }
  for (const auto& acquittal : in.acquittals) {
    out.acquittals.push_back(
        {ToUint64(acquittal.subject), now - FromMs(acquittal.age_ms)});
  }
  for (const auto& wire_verdict : in.verdicts) {
    comfreyflow::CrashVerdict& verdict = out.verdicts.emplace_back();
    for (const auto subject : wire_verdict.subjects)
      verdict.subjects.push_back(ToUint64(subject));
    std::sort(verdict.subjects.begin(), verdict.subjects.end());
    for (const auto account : wire_verdict.accounts)
      verdict.accounts.insert(ToUint64(account));
    verdict.first_crash = now - FromMs(wire_verdict.first_crash_age_ms);
    verdict.last_crash = now - FromMs(wire_verdict.last_crash_age_ms);
    for (const auto& target : wire_verdict.targets)
      verdict.targets.push_back({target});
    verdict.trials = ToUint32(wire_verdict.trials);
    verdict.next_trial = now + FromMs(wire_verdict.next_trial_ms);
  }
  return out;
}

}  // namespace

std::string EncodePlacement(const PlaceMessages& messages, const FleetKey& key,
                            Time now) {
  PlaceDatagram out;
  out.sender = messages.sender.value;
  out.incarnation = static_cast<std::int64_t>(messages.incarnation.value);
  for (const auto& request : messages.requests)
    out.asks.push_back(ToWire(request, now));
  for (const auto& answer : messages.answers) {
    out.answers.push_back(ToWire(answer));
  }
  for (const auto& note : messages.notes) {
    PlaceNote& wire_note = out.notes.emplace_back();
    wire_note.sequence = static_cast<std::int64_t>(note.sequence);
    wire_note.service_name = note.service.value;
    if (note.ended) wire_note.__set_outcome(EncodeEnd(note.end));
    if (!note.at.value.empty()) wire_note.__set_target(note.at.value);
  }
  for (const auto& sync : messages.syncs)
    out.syncs.push_back(ToWire(sync, now));
  for (const auto& mark : messages.leaving) {
    out.leaving.push_back(wire::ToWire(mark));
  }
  for (const auto& back_off : messages.back_offs) {
    TargetRest& wire_back_off = out.rests.emplace_back();
    wire_back_off.service_name = back_off.service.value;
    wire_back_off.target = back_off.target.value;
    wire_back_off.rest_ms = ToMs(back_off.back_off);
  }
  for (const auto& limit : messages.limits) {
    TargetLimit& wire_limit = out.limits.emplace_back();
    wire_limit.service_name = limit.service.value;
    wire_limit.target = limit.report.target.value;
    wire_limit.born = static_cast<std::int64_t>(limit.report.born);
    wire_limit.count = static_cast<std::int64_t>(limit.report.count);
    if (limit.report.rate) wire_limit.__set_rate(*limit.report.rate);
  }
  if (!messages.crash_news.empty())
    out.__set_crash_news(ToWire(messages.crash_news, now));
  return EncodePlaceDatagram(out, key);
}

std::error_code DecodePlacement(std::string_view bytes, const FleetKey& key,
                                Time now, PlaceMessages& out) {
  PlaceDatagram in;
  if (const auto error = DecodePlaceDatagram(bytes, key, in)) return error;
  out = {};
  out.sender.value = in.sender;
  out.incarnation.value = static_cast<std::uint64_t>(in.incarnation);
  const auto request_id = [&out](std::int64_t sequence) {
    return RequestId{out.sender, out.incarnation,
                     static_cast<std::uint64_t>(sequence)};
  };
  for (const auto& ask : in.asks) {
    out.requests.push_back(FromWire(ask, request_id(ask.sequence), now));
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
    if (sync.__isset.elsewhere) {
      message.elsewhere = FromWire(sync.elsewhere, now);
    }
    for (const auto& grants : sync.departed) {
      message.departed.push_back(
          {{grants.host},
           {static_cast<std::uint64_t>(grants.incarnation)},
           FromWire(grants.counts, now)});
    }
    for (const auto& placed : sync.running) {
      RunningWork& work = message.running.emplace_back();
      work.id = request_id(placed.sequence);
      for (const auto& target : placed.targets) {
        work.targets.push_back(FromWire(target));
      }
      work.stream = placed.stream;
      work.is_started = placed.begun;
      work.prompt_tokens = ToUint32(placed.prompt_tokens);
      work.output_tokens = ToUint32(placed.output_tokens);
      work.max_gap = FromMs(placed.max_gap_ms);
    }
  }
  for (const auto& mark : in.leaving) {
    out.leaving.push_back(wire::FromWire(mark));
  }
  for (const auto& back_off : in.rests) {
    out.back_offs.push_back(
        {{back_off.service_name}, {back_off.target}, FromMs(back_off.rest_ms)});
  }
  for (const auto& limit : in.limits) {
    TargetLimitMessage& message = out.limits.emplace_back();
    message.service.value = limit.service_name;
    message.report.target.value = limit.target;
    message.report.born = static_cast<std::uint64_t>(limit.born);
    message.report.count = static_cast<std::uint64_t>(limit.count);
    if (!limit.__isset.rate) continue;
    if (!(limit.rate >= 0 && limit.rate <= kMaxLimit)) return Errc::kCodec;
    message.report.rate = limit.rate;
  }
  if (in.__isset.crash_news) out.crash_news = FromWire(in.crash_news, now);
  return {};
}

}  // namespace comfreyflow::wire
