// Finds and cancels the attempts of a target that have no owner.
#include "comfreyflow/sweep.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {

Sweep::Sweep(SweepSettings settings) : settings_(settings) {}

SweepCommands Sweep::Handle(const SweepEvent& event, Time now) {
  now_ = now;
  out_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  return std::move(out_);
}

std::size_t Sweep::cancelling() const {
  return static_cast<std::size_t>(std::count_if(
      listed_.begin(), listed_.end(),
      [](const auto& entry) { return entry.second.is_cancelling; }));
}

void Sweep::On(const AttemptsListed& event) {
  if (event.epoch < epoch_) return;
  epoch_ = event.epoch;
  std::map<AttemptId, ListedAttempt> next;
  for (const RunningAttempt& attempt : event.attempts) {
    const auto old = listed_.find(attempt.id);
    ListedAttempt listed = old != listed_.end()
                               ? old->second
                               : ListedAttempt{.first_seen_at = now_};
    listed.expires_at = now_ + attempt.expires_in;
    next.emplace(attempt.id, listed);
  }
  listed_ = std::move(next);
  On(SweepTick{});
}

void Sweep::On(const OwnerAlive& event) {
  Owner& owner = owners_[event.host];
  if (event.incarnation < owner.incarnation) return;
  if (event.incarnation > owner.incarnation) owner.changed_at = now_;
  owner.is_known = true;
  owner.incarnation = event.incarnation;
  owner.is_lost = false;
}

void Sweep::On(const OwnerLost& event) {
  Owner& owner = owners_[event.host];
  if (event.incarnation < owner.incarnation) return;
  if (owner.is_lost && event.incarnation == owner.incarnation) return;
  owner.is_known = true;
  owner.incarnation = event.incarnation;
  owner.is_lost = true;
  owner.changed_at = now_;
}

void Sweep::On(const OwnerAnswered& event) {
  On(OwnerAlive{event.host, event.incarnation});
  for (const AttemptId& id : event.unknown) {
    if (id.request.host != event.host) continue;
    if (id.request.incarnation != event.incarnation) continue;
    On(AttemptDropped{id});
  }
}

void Sweep::On(const AttemptDropped& event) {
  const auto found = listed_.find(event.attempt);
  if (found == listed_.end()) return;
  found->second.is_cancelling = true;
  Cancel(found->first, found->second);
}

void Sweep::On(const SweepTick&) {
  for (auto& [id, listed] : listed_) {
    if (!listed.is_cancelling && IsOrphaned(id, listed))
      listed.is_cancelling = true;
    if (listed.is_cancelling) Cancel(id, listed);
  }
  QueryOwners();
}

bool Sweep::IsOrphaned(const AttemptId& id, const ListedAttempt& listed) const {
  if (listed.expires_at <= now_) return true;
  const auto found = owners_.find(id.request.host);
  const bool is_known = found != owners_.end() && found->second.is_known &&
                        found->second.incarnation >= id.request.incarnation;
  if (!is_known) return now_ - listed.first_seen_at >= settings_.resume_window;
  const Owner& owner = found->second;
  const bool is_replaced = id.request.incarnation < owner.incarnation;
  const bool is_lost =
      owner.is_lost && id.request.incarnation == owner.incarnation;
  if (!is_replaced && !is_lost) return false;
  return now_ - std::max(owner.changed_at, listed.first_seen_at) >=
         settings_.resume_window;
}

void Sweep::Cancel(const AttemptId& id, ListedAttempt& listed) {
  const bool is_first = listed.last_cancel_at == Time{};
  if (!is_first && now_ - listed.last_cancel_at < settings_.cancel_period)
    return;
  listed.last_cancel_at = now_;
  out_.push_back(CancelOnTarget{id});
}

void Sweep::QueryOwners() {
  std::map<HostName, std::vector<AttemptId>> by_host;
  for (const auto& [id, listed] : listed_) {
    if (!listed.is_cancelling) by_host[id.request.host].push_back(id);
  }
  for (auto& [host, attempts] : by_host) {
    Owner& owner = owners_[host];
    if (owner.last_query_at != Time{} &&
        now_ - owner.last_query_at < settings_.query_period) {
      continue;
    }
    owner.last_query_at = now_;
    out_.push_back(QueryOwner{host, owner.incarnation, std::move(attempts)});
  }
}

}  // namespace comfreyflow
