// Executes the claim log's commands.
#include "node/claim-actor.h"

#include <utility>

#include "node/clock.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

constexpr const char* kObjectKind = "claims";
constexpr Duration kClaimTickPeriod = std::chrono::milliseconds(20);

StoreResult ResultOf(const std::error_code& error) {
  if (!error) return StoreResult::kOk;
  if (error == Errc::kVersionConflict) return StoreResult::kConflict;
  if (error == Errc::kObjectNotFound) return StoreResult::kNotFound;
  return StoreResult::kNoAnswer;
}

StoreResult ResultOf(const WriteAnswer& answer) {
  if (answer.state == WriteState::kApplied) return StoreResult::kOk;
  if (answer.state == WriteState::kAnswerLost) return StoreResult::kNoAnswer;
  return ResultOf(answer.error);
}

StoreItem ItemOf(const PlatformObject& object) {
  return {object.name, object.version.revision, object.value};
}

}  // namespace

ClaimActor::ClaimActor(caf::actor_config& config, ClaimDeps deps)
    : Actor(config), deps_(std::move(deps)), claims_(deps_.settings) {}

caf::behavior ClaimActor::make_behavior() {
  Subscribe();
  if (deps_.hooks.stewards) Run(deps_.hooks.stewards());
  return {
      [this](const ClaimPosted& message) { Run(message.event); },
      [this](const TimerTick&) { Run(Tick{}); },
      [this](const DumpRequested& message) { message.done(Dump()); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void ClaimActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kClaimTickPeriod});
}

void ClaimActor::Run(const ClaimEvent& event) {
  const auto commands = claims_.Handle(event, comfreyflow::detail::Now());
  for (const auto& command : commands) {
    std::visit([this](const auto& typed) { Do(typed); }, command);
  }
}

PlatformClient::WriteHandler ClaimActor::WriteResultHandler(
    std::uint64_t op) const {
  return [self = deps_.self, op](const WriteAnswer& answer) {
    StoreAnswered event{op, ResultOf(answer), {}};
    event.items.push_back({"", answer.version.revision, ""});
    self->Send(ClaimPosted{std::move(event)});
  };
}

void ClaimActor::Do(const ClaimAnswered& command) {
  deps_.metrics->Claim(command.verdict);
  deps_.hooks.answered(command);
}

void ClaimActor::Do(const StoreGet& command) {
  deps_.platform->Read(
      kObjectKind, command.name,
      [self = deps_.self, op = command.op](const ReadAnswer& answer) {
        StoreAnswered event{op, ResultOf(answer.error), {}};
        if (!answer.error) event.items.push_back(ItemOf(answer.object));
        self->Send(ClaimPosted{std::move(event)});
      });
}

void ClaimActor::Do(const StoreCreate& command) {
  deps_.platform->Create(kObjectKind, command.name, command.value,
                         WriteResultHandler(command.op));
}

void ClaimActor::Do(const StoreUpdate& command) {
  deps_.platform->Update(kObjectKind, command.name, {0, command.version},
                         command.value, WriteResultHandler(command.op));
}

void ClaimActor::Do(const StoreList& command) {
  deps_.platform->List(
      {kObjectKind, command.prefix, command.from, command.limit},
      [self = deps_.self, op = command.op](const ListAnswer& answer) {
        StoreAnswered event{op, ResultOf(answer.error), {}};
        for (const auto& object : answer.items) {
          event.items.push_back(ItemOf(object));
        }
        self->Send(ClaimPosted{std::move(event)});
      });
}

void ClaimActor::Do(const StoreDelete& command) {
  deps_.platform->Remove(kObjectKind, command.name, {0, command.version},
                         WriteResultHandler(command.op));
}

void ClaimActor::Do(const AskClaimSteward& command) {
  if (deps_.hooks.query_claim_steward) deps_.hooks.query_claim_steward(command);
}

void ClaimActor::Do(const AnswerPeer& command) {
  if (deps_.hooks.answer_peer) deps_.hooks.answer_peer(command);
}

nlohmann::ordered_json ClaimActor::Dump() const {
  return {{"claims",
           {{"keys", claims_.keys()},
            {"waiting", claims_.pending_claims()},
            {"store_up", claims_.store_up()}}}};
}

}  // namespace comfreyflow::node
