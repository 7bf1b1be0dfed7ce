// How the issuer reads, acquires, renews and releases its lease.
#include <algorithm>

#include "comfreyflow/orders.h"

namespace comfreyflow {
namespace {

using std::chrono::seconds;

constexpr Duration kCallTimeout = seconds(5);
constexpr Duration kRetryPeriod = seconds(2);
constexpr Duration kTakeoverDelay = kLeaseDuration + kLeaseMargin;
constexpr Duration kUsableDuration = kLeaseDuration - kLeaseMargin;

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
    const auto separator = item.rfind('@');
    if (separator == std::string::npos) return false;
    value.failed.insert(
        {{item.substr(0, separator)}, item.substr(separator + 1)});
  }
  reader.Finish();
  if (!document.problems.empty()) return false;
  out = std::move(value);
  return true;
}

bool Orders::holds_lease(Time now) const {
  return held_ && now < held_->usable_until;
}

LeaseValue Orders::LocalValue() const {
  return {settings_.self, settings_.incarnation, failed_};
}

void Orders::StartCall(StoreCall call, Time now, OrderCommands& out) {
  call_ = call;
  call_started_at_ = now;
  if (call == StoreCall::kRead) out.emplace_back(ReadLease{});
}

void Orders::StartWrite(StoreCall call, LeaseValue value, Time now,
                        OrderCommands& out) {
  StartCall(call, now, out);
  const std::uint64_t version =
      held_ ? held_->version : (last_read_ ? last_read_->version : 0);
  out.emplace_back(WriteLease{version, std::move(value)});
}

/// Starts the next store call that acquires, renews or releases the lease, if
/// one is needed. Only one call is in progress at a time.
void Orders::AdvanceLease(Time now, OrderCommands& out) {
  if (call_ != StoreCall::kNone) {
    if (now < call_started_at_ + kCallTimeout) return;
    On(LeaseUnanswered{}, now, out);
  }
  if (now < next_call_at_) return;
  const bool is_needed = is_issuer_ && (!converged() || has_unsaved_failures_);
  if (held_ && !is_needed) {
    StartWrite(StoreCall::kRelease, {{}, {}, failed_}, now, out);
    return;
  }
  if (!is_needed) return;
  if (held_ && now < held_->usable_until - kUsableDuration / 2 &&
      !has_unsaved_failures_)
    return;
  if (held_) {
    StartWrite(StoreCall::kAcquire, LocalValue(), now, out);
  } else {
    StartCall(StoreCall::kRead, now, out);
  }
}

void Orders::On(const LeaseRead& event, Time now, OrderCommands& out) {
  if (call_ != StoreCall::kRead) return;
  call_ = StoreCall::kNone;
  if (!last_read_ || last_read_->version != event.version) {
    last_read_ = LastRead{event.version, event.value, now};
  }
  for (const ModelVersion& model : event.value.failed) {
    if (desired_.models.contains(model) || desired_.adapters.contains(model)) {
      failed_.insert(model);
    }
  }
  const bool held_by_self = event.value.holder == settings_.self &&
                            event.value.incarnation == settings_.incarnation;
  const bool is_free = event.value.holder.value.empty();
  if (!held_by_self && !is_free) held_.reset();
  if (held_by_self || is_free ||
      now >= last_read_->unchanged_since + kTakeoverDelay) {
    if (!is_issuer_ || (converged() && !has_unsaved_failures_)) return;
    if (held_) held_->version = event.version;
    StartWrite(StoreCall::kAcquire, LocalValue(), now, out);
    return;
  }
  next_call_at_ = last_read_->unchanged_since + kTakeoverDelay;
}

void Orders::On(const LeaseWritten& event, Time, OrderCommands&) {
  if (call_ == StoreCall::kAcquire) {
    // Counted from before the write, so it ends before the wait of other hosts,
    // which starts when they read this version.
    held_ = HeldLease{event.version, call_started_at_ + kUsableDuration};
    has_unsaved_failures_ = false;
  } else if (call_ == StoreCall::kRelease) {
    held_.reset();
  }
  last_read_.reset();
  call_ = StoreCall::kNone;
}

void Orders::On(const LeaseConflict&, Time now, OrderCommands&) {
  call_ = StoreCall::kNone;
  held_.reset();
  next_call_at_ = now;
}

/// A write without a response may have succeeded, so the object is read next. A
/// lease held before stays usable until it expires.
void Orders::On(const LeaseUnanswered&, Time now, OrderCommands& out) {
  const StoreCall call = call_;
  call_ = StoreCall::kNone;
  if (call == StoreCall::kAcquire || call == StoreCall::kRelease) {
    StartCall(StoreCall::kRead, now, out);
    return;
  }
  next_call_at_ = now + kRetryPeriod;
}

void Orders::On(const OrderRefused&, Time now, OrderCommands&) {
  held_.reset();
  next_call_at_ = std::max(next_call_at_, now);
}

}  // namespace comfreyflow
