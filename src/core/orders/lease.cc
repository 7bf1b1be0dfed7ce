// The issuer's lease: read, taken, renewed and given back.
#include <algorithm>

#include "comfreyflow/orders.h"

namespace comfreyflow {
namespace {

using std::chrono::seconds;

constexpr Duration kCallLimit = seconds(5);
constexpr Duration kRetryPeriod = seconds(2);
constexpr Duration kTakeAfter = kLeaseTime + kLeaseMargin;
constexpr Duration kUseTime = kLeaseTime - kLeaseMargin;

std::string Join(const std::set<ModelVersion>& models) {
  std::string out;
  for (const ModelVersion& model : models) {
    out += (out.empty() ? "" : ", ") + ToString(model);
  }
  return out;
}

}  // namespace

std::string ToText(const LeaseValue& value) {
  std::string out = "[lease]\n";
  out += "holder = " + value.holder.value + "\n";
  out += "incarnation = " + std::to_string(value.incarnation.value) + "\n";
  return out + "failed = " + Join(value.failed) + "\n";
}

bool ParseLease(const std::string& text, LeaseValue& out) {
  IniDocument document = ParseIni(text);
  if (document.sections.size() != 1) return false;
  if (document.sections[0].kind != "lease") return false;
  SectionReader reader(document.sections[0], document.problems);
  LeaseValue value;
  value.holder.value = reader.Text("holder", "");
  value.incarnation.value =
      reader.Number("incarnation", 0, 0, static_cast<std::uint64_t>(-1));
  for (const std::string& item : reader.List("failed")) {
    const auto at = item.rfind('@');
    if (at == std::string::npos) return false;
    value.failed.insert({{item.substr(0, at)}, item.substr(at + 1)});
  }
  reader.Finish();
  if (!document.problems.empty()) return false;
  out = std::move(value);
  return true;
}

bool Orders::holds_lease(Time now) const { return held_ && now < held_->until; }

LeaseValue Orders::OwnValue() const {
  return {settings_.self, settings_.incarnation, failed_};
}

void Orders::Begin(Call call, Time now, OrderCommands& out) {
  call_ = call;
  call_began_ = now;
  if (call == Call::kRead) out.emplace_back(ReadLease{});
}

void Orders::Write(Call call, LeaseValue value, Time now, OrderCommands& out) {
  Begin(call, now, out);
  const std::uint64_t version =
      held_ ? held_->version : (seen_ ? seen_->version : 0);
  out.emplace_back(WriteLease{version, std::move(value)});
}

/// One step towards the lease that is needed now; one call at a time.
void Orders::Lease(Time now, OrderCommands& out) {
  if (call_ != Call::kNone) {
    if (now < call_began_ + kCallLimit) return;
    On(LeaseUnanswered{}, now, out);
  }
  if (now < next_call_) return;
  const bool needed = chosen_ && (!converged() || failed_unsaved_);
  if (held_ && !needed) {
    Write(Call::kRelease, {{}, {}, failed_}, now, out);
    return;
  }
  if (!needed) return;
  if (held_ && now < held_->until - kUseTime / 2 && !failed_unsaved_) return;
  if (held_) {
    Write(Call::kTake, OwnValue(), now, out);
  } else {
    Begin(Call::kRead, now, out);
  }
}

void Orders::On(const LeaseRead& event, Time now, OrderCommands& out) {
  if (call_ != Call::kRead) return;
  call_ = Call::kNone;
  if (!seen_ || seen_->version != event.version) {
    seen_ = Seen{event.version, event.value, now};
  }
  for (const ModelVersion& model : event.value.failed) {
    if (desired_.models.contains(model) || desired_.adapters.contains(model)) {
      failed_.insert(model);
    }
  }
  const bool own = event.value.holder == settings_.self &&
                   event.value.incarnation == settings_.incarnation;
  const bool free = event.value.holder.value.empty();
  if (!own && !free) held_.reset();
  if (own || free || now >= seen_->since + kTakeAfter) {
    if (!chosen_ || (converged() && !failed_unsaved_)) return;
    if (held_) held_->version = event.version;
    Write(Call::kTake, OwnValue(), now, out);
    return;
  }
  next_call_ = seen_->since + kTakeAfter;
}

void Orders::On(const LeaseWritten& event, Time, OrderCommands&) {
  if (call_ == Call::kTake) {
    // Counted from before the write, which others count from later.
    held_ = Held{event.version, call_began_ + kUseTime};
    failed_unsaved_ = false;
  } else if (call_ == Call::kRelease) {
    held_.reset();
  }
  seen_.reset();
  call_ = Call::kNone;
}

void Orders::On(const LeaseConflict&, Time now, OrderCommands&) {
  call_ = Call::kNone;
  held_.reset();
  next_call_ = now;
}

/// The write may have been done or not: the next step reads. A lease that was
/// held stays usable until its own end.
void Orders::On(const LeaseUnanswered&, Time now, OrderCommands& out) {
  const Call call = call_;
  call_ = Call::kNone;
  if (call == Call::kTake || call == Call::kRelease) {
    Begin(Call::kRead, now, out);
    return;
  }
  next_call_ = now + kRetryPeriod;
}

void Orders::On(const OrderRefused&, Time now, OrderCommands&) {
  held_.reset();
  next_call_ = std::max(next_call_, now);
}

}  // namespace comfreyflow
