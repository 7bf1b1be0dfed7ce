// A host of the exploration: what its decisions' commands do.
#include <utility>

#include "explore/host.h"

namespace comfreyflow::explore {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kConnectTime = milliseconds(1);
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kPostDelay = microseconds(200);
constexpr Duration kStoreTime = milliseconds(3);
constexpr Duration kResendDelay = milliseconds(200);
constexpr std::uint32_t kResendNumber = 1000;

}  // namespace

void Host::Carry(const RequestGrant& command) {
  const std::uint32_t target = world_.TargetNumber(command.target);
  const auto stewards = world_.StewardsOf(target);
  if (stewards.empty()) return;
  ReservationRequest ask;
  ask.attempt = command.attempt;
  ask.account = command.account;
  ask.kv_tokens = command.kv_tokens;
  ask.urgency = command.urgency;
  ask.prefill_tokens = command.prefill_tokens;
  ask.max_wait = command.max_wait;
  ask.suspect = command.suspect;
  ask.expires = command.expires;
  Host* steward = stewards.front();
  world_.network.Send(Link::kHostToHost, [this, steward, target, ask,
                                          life = steward->incarnation()] {
    steward->To(
        life, [this, steward, target, ask] { steward->Reserve(target, ask); });
  });
}

void Host::Reserve(std::uint32_t target, const ReservationRequest& ask) {
  if (!cores_->reported[target]) {
    const ReservationReply refused{ask.attempt, GrantReply::kRefused,
                                   milliseconds(200)};
    return CarrySteward(target, {{refused}, {}});
  }
  CarrySteward(target,
               cores_->stewards[target].Reserve(ask, world_.network.now()));
}

void Host::Carry(const ReleaseGrant& command) {
  const std::uint32_t target = world_.TargetNumber(command.target);
  for (Host* steward : world_.StewardsOf(target)) {
    world_.network.Send(
        Link::kHostToHost, [this, steward, target, id = command.attempt,
                            life = steward->incarnation()] {
          steward->To(life, [this, steward, target, id] {
            const Time now = world_.network.now();
            steward->CarrySteward(
                target, steward->cores_->stewards[target].Release(id, now));
          });
        });
  }
}

void Host::Carry(const PrefillDone& command) {
  const std::uint32_t target = world_.TargetNumber(command.target);
  for (Host* steward : world_.StewardsOf(target)) {
    world_.network.Send(
        Link::kHostToHost, [this, steward, target, id = command.attempt,
                            life = steward->incarnation()] {
          steward->To(life, [this, steward, target, id] {
            const Time now = world_.network.now();
            steward->CarrySteward(
                target, steward->cores_->stewards[target].PrefillDone(id, now));
          });
        });
  }
}

void Host::CarrySteward(std::uint32_t target, const StewardResult& turn) {
  for (const ReservationReply& answer : turn.answers) {
    Host* owner = world_.Named(answer.attempt.request.host);
    const Incarnation life = answer.attempt.request.incarnation;
    const GrantAnswered event{answer.attempt,
                              world_.targets[target]->info().name, answer.reply,
                              answer.retry_after};
    world_.network.Send(Link::kHostToHost, [owner, life, event] {
      owner->To(life, [owner, event] { owner->Give(event); });
    });
  }
  for (const AttemptId& attempt : turn.cancels) {
    SweepCommand command = CancelOnTarget{attempt};
    const auto& hook = world_.sabotage.sweep_command;
    if (!hook || hook(command)) CarrySweep(target, command);
  }
}

void Host::Carry(const OpenStream& command) {
  const std::uint32_t target = world_.TargetNumber(command.targets.front());
  streams_[command.attempt] = {target, command};
  const Duration wait =
      kConnectTime + world_.network.TakeDelay(Link::kHostToTarget);
  world_.network.After(wait, [this, id = command.attempt, life = incarnation_] {
    To(life, [this, id] { Connected(id); });
  });
}

void Host::Connected(const AttemptId& attempt) {
  const auto at = streams_.find(attempt);
  if (at == streams_.end()) return;
  const Stream stream = at->second;
  const bool expired = world_.network.now() >= stream.open.expires;
  const bool cut = world_.network.Active(
      FaultKind::kCutLink, static_cast<std::uint32_t>(Link::kHostToTarget),
      static_cast<std::uint32_t>(Link::kCount));
  if (!expired && !cut && world_.targets[stream.target]->up()) {
    return SendCall(stream);
  }
  if (world_.sabotage.send_late) {
    world_.network.After(kConnectTimeout, [this, stream, life = incarnation_] {
      To(life, [this, stream] { SendCall(stream); });
    });
  }
  const StreamFailed failed{attempt, Errc::kTargetUnreachable, true, false};
  const Duration wait = cut ? kConnectTimeout : kPostDelay;
  world_.network.After(wait, [this, failed, life = incarnation_] {
    To(life, [this, failed] {
      streams_.erase(failed.attempt);
      Give(failed);
    });
  });
}

void Host::SendCall(const Stream& stream) {
  const AttemptId id = stream.open.attempt;
  if (world_.targets[stream.target]->SentTooLate()) {
    world_.checks.Fail(Promise::kLeavingTarget, "sent " + ToString(id));
  }
  const Submission* submission = world_.checks.Find(id.request);
  TargetCall call;
  call.attempt = id;
  call.answer = submission->answer;
  call.offset = stream.open.offset;
  call.total = submission->total;
  call.expires_in = stream.open.expires - world_.network.now();
  const auto reply = [this, life = incarnation_](const TargetMessage& message) {
    world_.network.Send(Link::kTargetToHost, [this, life, message] {
      To(life, [this, message] { OnMessage(message); });
    });
  };
  FakeTarget& target = *world_.targets[stream.target];
  world_.network.Send(Link::kHostToTarget, [this, &target, call, reply] {
    if (!target.up()) {
      reply({TargetMessage::Kind::kBroken, call.attempt, 0, 0, 0});
      return;
    }
    target.Start(call, reply,
                 [this](const RequestId& ran) { world_.checks.Ran(ran); });
  });
  const Duration post =
      kPostDelay + world_.network.TakeDelay(Link::kWithinHost);
  world_.network.After(post, [this, id, life = incarnation_] {
    To(life, [this, id] { Give(StreamOpened{id}); });
  });
}

void Host::OnMessage(const TargetMessage& message) {
  switch (message.kind) {
    case TargetMessage::Kind::kChunk:
      chunk_ = message;
      if (world_.sabotage.forward_unasked) {
        world_.checks.Forwarded(message.attempt.request, message.answer,
                                message.offset, message.length);
      }
      Give(ChunkArrived{message.attempt, message.offset, message.length, 1});
      chunk_.reset();
      return;
    case TargetMessage::Kind::kHeartbeat:
      return Give(StreamHeartbeat{message.attempt});
    case TargetMessage::Kind::kEnd:
      streams_.erase(message.attempt);
      return Give(StreamEnded{message.attempt, message.offset, 0, 0, 0});
    case TargetMessage::Kind::kRefused:
      streams_.erase(message.attempt);
      return Give(
          StreamFailed{message.attempt, Errc::kTargetRefused, true, false});
    case TargetMessage::Kind::kBroken:
      if (world_.sabotage.resend_broken) ResendBroken(message.attempt);

      streams_.erase(message.attempt);
      return Give(
          StreamFailed{message.attempt, Errc::kTargetFailed, false, true});
  }
}

void Host::ResendBroken(const AttemptId& attempt) {
  const auto at = streams_.find(attempt);
  if (at == streams_.end()) return;
  Stream again = at->second;
  again.open.attempt.number += kResendNumber;
  world_.network.After(kResendDelay, [this, again, life = incarnation_] {
    To(life, [this, again] { SendCall(again); });
  });
}

void Host::Carry(const CancelAttempt& command) {
  streams_.erase(command.attempt);
  FakeTarget& target = *world_.targets[world_.TargetNumber(command.target)];
  world_.network.Send(Link::kHostToTarget,
                      [&target, id = command.attempt] { target.Cancel(id); });
}

void Host::Carry(const Forward& command) {
  if (world_.sabotage.forward_unasked) return;
  if (!chunk_) {
    return world_.checks.Fail(Promise::kOwnAnswer, "forward without a chunk");
  }
  world_.checks.Forwarded(command.request, chunk_->answer,
                          chunk_->offset + command.skip,
                          chunk_->length - command.skip);
}

void Host::Carry(const Finish& command) {
  const Time now = world_.network.now();
  world_.checks.Finished(command, now, last_resume_);
  if (world_.sabotage.answer_twice) {
    world_.checks.Finished(command, now, last_resume_);
  }
}

void Host::Carry(const ShareSuspect& command) {
  for (const auto& other : world_.hosts) {
    if (other.get() == this) continue;
    const SuspectReported event{command.evidence};
    world_.network.Send(Link::kHostToHost, [peer = other.get(), event,
                                            life = other->incarnation()] {
      peer->To(life, [peer, event] { peer->Give(event); });
    });
  }
}

void Host::CarryClaim(const ClaimCommand& command) {
  if (const auto* told = std::get_if<ClaimAnswered>(&command)) {
    const Duration post =
        kPostDelay + world_.network.TakeDelay(Link::kWithinHost);
    world_.network.After(post, [this, told = *told, life = incarnation_] {
      To(life, [this, told] { Give(told); });
    });
  } else if (const auto* ask = std::get_if<AskClaimSteward>(&command)) {
    Host* peer = world_.Named(ask->steward);
    const PeerClaims event{name_, ask->records};
    world_.network.Send(
        Link::kHostToHost, [peer, event, life = peer->incarnation()] {
          peer->To(life, [peer, event] { peer->GiveClaims(event); });
        });
  } else if (const auto* answer = std::get_if<AnswerPeer>(&command)) {
    Host* peer = world_.Named(answer->to);
    const PeerVerdicts event{name_, answer->verdicts};
    world_.network.Send(
        Link::kHostToHost, [peer, event, life = peer->incarnation()] {
          peer->To(life, [peer, event] { peer->GiveClaims(event); });
        });
  } else {
    CallStore(command);
  }
}

void Host::CallStore(const ClaimCommand& command) {
  Network& network = world_.network;
  StoreAnswered lost;
  testing::ClaimStore().Apply(command, lost);
  lost = {lost.op, StoreResult::kNoAnswer, {}};
  if (network.Active(FaultKind::kStoreDown, 0, 1)) {
    return AnswerStore(lost, kStoreTime);
  }
  // A delayed call takes effect late; its answer is given up before.
  const Fault* delay = network.Take(FaultKind::kDelayStoreCall, 0, 1);

  network.After(kStoreTime + (delay != nullptr ? delay->length : Duration{}),
                [this, command, lost, life = incarnation_] {
                  StoreAnswered answer;
                  const auto* create = std::get_if<StoreCreate>(&command);
                  if (world_.sabotage.store_overwrites && create != nullptr) {
                    world_.store.objects.erase(create->name);
                  }
                  world_.store.Apply(command, answer);
                  Network& net = world_.network;
                  const bool deaf = net.Active(FaultKind::kStoreDeaf, 0, 1) ||
                                    net.Take(FaultKind::kLoseStoreAnswer, 0, 1);
                  if (deaf) answer = lost;
                  const bool slow = net.Active(FaultKind::kStoreSlow, 0, 1);
                  if (!alive() || incarnation_ != life) return;
                  AnswerStore(answer, slow ? milliseconds(700) : kStoreTime);
                });
}

void Host::AnswerStore(StoreAnswered answer, Duration delay) {
  world_.network.After(delay,
                       [this, answer = std::move(answer), life = incarnation_] {
                         To(life, [this, answer] { GiveClaims(answer); });
                       });
}

void Host::CarrySweep(std::uint32_t target, const SweepCommand& command) {
  if (const auto* cancel = std::get_if<CancelOnTarget>(&command)) {
    world_.network.Send(Link::kHostToTarget,
                        [this, target, id = cancel->attempt] {
                          world_.SweepCancel(target, id);
                        });
    return;
  }
  const auto& ask = std::get<QueryOwner>(command);
  Host* owner = world_.Named(ask.host);
  world_.network.Send(
      Link::kHostToHost, [this, owner, target, ask, asker = incarnation_,
                          life = owner->incarnation()] {
        owner->To(life, [this, owner, target, ask, asker] {
          OwnerAnswered answer{owner->name(), owner->incarnation(), {}};
          for (const AttemptId& id : ask.attempts) {
            if (!owner->streams_.contains(id)) answer.unknown.push_back(id);
          }
          world_.network.Send(Link::kHostToHost, [this, target, answer, asker] {
            To(asker, [this, target, answer] { GiveSweep(target, answer); });
          });
        });
      });
}

}  // namespace comfreyflow::explore
