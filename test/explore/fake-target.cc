// Targets of the exploration.
#include "explore/fake-target.h"

#include <algorithm>
#include <utility>

#include "explore/world.h"

namespace comfreyflow::explore {
namespace {

constexpr std::uint32_t kChunkBytes = 10;
constexpr Duration kChunkPeriod = std::chrono::milliseconds(60);
constexpr std::uint64_t kKvTokens = 1000;
constexpr Duration kPoisonTime = std::chrono::milliseconds(30);
constexpr Duration kRestartTime = std::chrono::milliseconds(500);
constexpr Duration kLeaveLimit = std::chrono::seconds(3);

}  // namespace

FakeTarget::FakeTarget(Network& network, TargetInfo info, std::uint32_t number)
    : network_(network), info_(std::move(info)), number_(number) {}

std::vector<RunningAttempt> FakeTarget::List() const {
  std::vector<RunningAttempt> list;
  for (const auto& [id, run] : running_) {
    list.push_back({id, kKvTokens, run.expires - network_.now()});
  }
  return list;
}

void FakeTarget::Start(const TargetCall& call,
                       std::function<void(const TargetMessage&)> reply,
                       const std::function<void(const RequestId&)>& ran) {
  if (!started_.insert(call.attempt).second) return;
  if (network_.Active(FaultKind::kTargetRefuses, number_, kTargets)) {
    reply({TargetMessage::Kind::kRefused, call.attempt, 0, 0, 0});
    return;
  }
  ran(call.attempt.request);
  Run run{.call = call,
          .reply = std::move(reply),
          .expires = network_.now() + call.expires_in,
          .at = call.offset};
  running_[call.attempt] = std::move(run);
  const std::uint64_t epoch = epoch_;
  network_.After(kChunkPeriod,
                 [this, id = call.attempt, epoch] { Step(id, epoch); });
  if (call.answer < kPoisonBody) return;
  network_.After(kPoisonTime, [this, id = call.attempt] {
    if (!running_.contains(id)) return;
    ++poison_crashes_;
    Crash();
    network_.After(kRestartTime, [this] { Restart(); });
  });
}

void FakeTarget::Step(const AttemptId& attempt, std::uint64_t epoch) {
  const auto at = running_.find(attempt);
  if (epoch != epoch_ || at == running_.end()) return;
  Run& run = at->second;
  const bool cut = network_.Active(FaultKind::kTruncate, number_, kTargets);
  if (run.at >= run.call.total || (cut && run.at > run.call.offset)) {
    if (!run.connected || run.silent) return;
    Say(run, TargetMessage::Kind::kEnd, run.call.total, 0);
    running_.erase(at);
    return;
  }
  const auto length = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(kChunkBytes, run.call.total - run.at));
  Say(run, TargetMessage::Kind::kChunk, run.at, length);
  run.at += length;
  network_.After(kChunkPeriod,
                 [this, attempt, epoch] { Step(attempt, epoch); });
}

void FakeTarget::Say(const Run& run, TargetMessage::Kind kind,
                     std::uint64_t offset, std::uint32_t length) const {
  if (!run.connected || run.silent) return;
  run.reply({kind, run.call.attempt, run.call.answer, offset, length});
}

bool FakeTarget::Cancel(const AttemptId& attempt) {
  return running_.erase(attempt) > 0;
}

void FakeTarget::Crash() {
  for (const auto& [id, run] : running_) {
    Say(run, TargetMessage::Kind::kBroken, 0, 0);
  }
  running_.clear();
  up_ = false;
  ++epoch_;
}

void FakeTarget::Restart() { up_ = true; }

void FakeTarget::Leave() { closing_ = true; }

TargetReport FakeTarget::Report() {
  TargetReport report;
  report.target = info_.name;
  report.epoch = epoch_;
  report.sequence = ++reports_;
  report.running = static_cast<std::uint32_t>(running_.size());
  report.kv_used = kKvTokens * running_.size();
  report.kv_capacity = info_.kv_capacity;
  report.max_running = info_.max_running;
  report.closing = closing_;
  report.models = info_.models;
  if (closing_ && !told_) told_ = network_.now();
  return report;
}

bool FakeTarget::SentTooLate() const {
  return told_ && network_.now() - *told_ > kLeaveLimit;
}

void FakeTarget::Disconnect(const HostName& host, Incarnation incarnation) {
  for (auto& [id, run] : running_) {
    if (id.request.host == host && id.request.incarnation == incarnation) {
      run.connected = false;
    }
  }
}

void FakeTarget::Silence() {
  for (auto& [id, run] : running_) run.silent = true;
}

}  // namespace comfreyflow::explore
