// Which attempts on a target have no owner, and their cancels.
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
  return static_cast<std::size_t>(
      std::count_if(listed_.begin(), listed_.end(),
                    [](const auto& item) { return item.second.doomed; }));
}

void Sweep::On(const AttemptsListed& event) {
  if (event.epoch < epoch_) return;
  epoch_ = event.epoch;
  std::map<AttemptId, Listed> next;
  for (const RunningAttempt& attempt : event.attempts) {
    const auto old = listed_.find(attempt.id);
    Listed listed =
        old != listed_.end() ? old->second : Listed{.first_seen = now_};
    listed.expires = now_ + attempt.expires_in;
    next.emplace(attempt.id, listed);
  }
  listed_ = std::move(next);
  On(SweepTick{});
}

void Sweep::On(const OwnerAlive& event) {
  Owner& owner = owners_[event.host];
  if (event.incarnation < owner.incarnation) return;
  if (event.incarnation > owner.incarnation) owner.since = now_;
  owner.known = true;
  owner.incarnation = event.incarnation;
  owner.lost = false;
}

void Sweep::On(const OwnerLost& event) {
  Owner& owner = owners_[event.host];
  if (event.incarnation < owner.incarnation) return;
  if (owner.lost && event.incarnation == owner.incarnation) return;
  owner.known = true;
  owner.incarnation = event.incarnation;
  owner.lost = true;
  owner.since = now_;
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
  const auto at = listed_.find(event.attempt);
  if (at == listed_.end()) return;
  at->second.doomed = true;
  Cancel(at->first, at->second);
}

void Sweep::On(const SweepTick&) {
  for (auto& [id, listed] : listed_) {
    if (!listed.doomed && Ownerless(id, listed)) listed.doomed = true;
    if (listed.doomed) Cancel(id, listed);
  }
  AskOwners();
}

bool Sweep::Ownerless(const AttemptId& id, const Listed& listed) const {
  if (listed.expires <= now_) return true;
  const auto at = owners_.find(id.request.host);
  const bool known = at != owners_.end() && at->second.known &&
                     at->second.incarnation >= id.request.incarnation;
  if (!known) return now_ - listed.first_seen >= settings_.resume_window;
  const Owner& owner = at->second;
  const bool replaced = id.request.incarnation < owner.incarnation;
  const bool lost = owner.lost && id.request.incarnation == owner.incarnation;
  if (!replaced && !lost) return false;
  return now_ - std::max(owner.since, listed.first_seen) >=
         settings_.resume_window;
}

void Sweep::Cancel(const AttemptId& id, Listed& listed) {
  const bool first = listed.last_cancel == Time{};
  if (!first && now_ - listed.last_cancel < settings_.cancel_period) return;
  listed.last_cancel = now_;
  out_.push_back(CancelOnTarget{id});
}

void Sweep::AskOwners() {
  std::map<HostName, std::vector<AttemptId>> by_host;
  for (const auto& [id, listed] : listed_) {
    if (!listed.doomed) by_host[id.request.host].push_back(id);
  }
  for (auto& [host, attempts] : by_host) {
    Owner& owner = owners_[host];
    if (owner.asked != Time{} && now_ - owner.asked < settings_.query_period) {
      continue;
    }
    owner.asked = now_;
    out_.push_back(QueryOwner{host, owner.incarnation, std::move(attempts)});
  }
}

}  // namespace comfreyflow
