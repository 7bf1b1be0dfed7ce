// Executes the commands of `ConfigState` and operators' updates.
#include "node/config-actor.h"

#include <utility>

#include "node/clock.h"
#include "node/log.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::Now;

constexpr const char* kObjectKind = "config";

StoredConfig StoredOf(const PlatformObject& object) {
  return {object.version.revision, object.value};
}

void Post(const ActorRefPtr& self, ConfigEvent event) {
  self->Send(ConfigPosted{std::move(event)});
}

/// Writes one operator's update to the store. The handlers of pending store
/// calls own it.
class UpdateOperation : public std::enable_shared_from_this<UpdateOperation> {
 public:
  UpdateOperation(ConfigUpdateRequest message, const ConfigDeps& deps)
      : message_(std::move(message)),
        update_(message_.request.generation, message_.request.document),
        platform_(deps.platform),
        environment_(deps.environment),
        self_(deps.self) {}

  void Start() { RunStep(update_.Start()); }

 private:
  void RunStep(const UpdateStep& step) {
    std::visit([this](const auto& typed) { Do(typed); }, step);
  }

  void Do(const PutConfig& put) {
    const auto handler = [operation =
                              shared_from_this()](const WriteAnswer& answer) {
      operation->OnWritten(answer);
    };
    if (put.if_version == 0) {
      platform_->Create(kObjectKind, environment_, put.text, handler);
    } else {
      platform_->Update(kObjectKind, environment_, {0, put.if_version},
                        put.text, handler);
    }
  }

  void OnWritten(const WriteAnswer& answer) {
    if (answer.state == WriteState::kApplied) {
      return RunStep(update_.OnPut(PutReply::kDone, answer.version.revision));
    }
    const bool conflict = answer.error == Errc::kVersionConflict ||
                          answer.error == Errc::kObjectNotFound;
    const bool refused = answer.state == WriteState::kRefused;
    if (refused && !conflict) return Complete(ToErrc(answer.error), 0);
    RunStep(update_.OnPut(refused ? PutReply::kConflict : PutReply::kNoAnswer,
                          answer.version.revision));
  }

  void Do(const ReadBack&) {
    platform_->Read(kObjectKind, environment_,
                    [operation = shared_from_this()](const ReadAnswer& answer) {
                      operation->OnReadBack(answer);
                    });
  }

  void OnReadBack(const ReadAnswer& answer) {
    if (answer.error == Errc::kObjectNotFound) {
      return RunStep(update_.OnRead({}));
    }
    RunStep(answer.error ? update_.OnReadFailed()
                         : update_.OnRead(StoredOf(answer.object)));
  }

  void Do(const UpdateEnded& end) {
    Complete(end.code, end.current.generation);
  }

  void Complete(Errc code, std::uint64_t generation) {
    ApplyResult result;
    result.code = code;
    result.generation = generation;
    if (code == Errc::kOk) {
      result.hash = Sha256(message_.request.document).value;
      Post(self_,
           ConfigUpdateAccepted{{generation, message_.request.document}});
    }
    message_.done(std::move(result));
  }

  const ConfigUpdateRequest message_;
  ConfigUpdate update_;
  PlatformClient* const platform_;
  const std::string environment_;
  const ActorRefPtr self_;
};

}  // namespace

ConfigActor::ConfigActor(caf::actor_config& config, ConfigDeps deps)
    : Actor(config), deps_(std::move(deps)), state_(deps_.seed, Now()) {}

caf::behavior ConfigActor::make_behavior() {
  Subscribe();
  return {
      [this](const ConfigUpdateRequest& message) { Update(message); },
      [this](const ConfigPosted& message) { Run(message.event); },
      [this](const TimerTick&) { Run(ConfigTick{}); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void ConfigActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kConfigTick});
}

void ConfigActor::Run(const ConfigEvent& event) {
  for (const auto& command : state_.Handle(event, Now())) {
    std::visit([this](const auto& typed) { Do(typed); }, command);
  }
}

void ConfigActor::Do(const ApplyConfig& command) {
  auto next = std::make_shared<ConfigGeneration>();
  next->generation = command.generation;
  next->text = state_.text();
  next->hash = Sha256(next->text).value;
  next->digest = command.hash;
  next->config = *command.config;
  deps_.hooks.apply(next);
}

void ConfigActor::Do(const ReadStoredConfig&) {
  deps_.platform->Read(kObjectKind, deps_.environment,
                       [self = deps_.self](const ReadAnswer& answer) {
                         if (answer.error == Errc::kObjectNotFound) {
                           Post(self, StoreUnchanged{});
                         } else if (answer.error) {
                           Post(self, StoreFailed{});
                         } else {
                           Post(self,
                                StoreDocumentReceived{StoredOf(answer.object)});
                         }
                       });
}

void ConfigActor::Do(const WatchStoredConfig& command) {
  deps_.platform->Watch(kObjectKind, {0, command.since}, kWatchTime,
                        [self = deps_.self, environment = deps_.environment](
                            const WatchAnswer& answer) {
                          if (answer.error) {
                            Post(self, StoreFailed{});
                          } else {
                            Post(self, StoreUnchanged{});
                          }
                          for (const auto& change : answer.changes) {
                            if (change.name != environment || change.deleted)
                              continue;
                            Post(self, StoreDocumentReceived{StoredOf(change)});
                          }
                          Post(self, WatchEnded{});
                        });
}

void ConfigActor::Do(const FetchConfig& command) { deps_.hooks.fetch(command); }

void ConfigActor::Do(const ConfigRejected& command) {
  LogLine(Severity::kError, Event::kConfigRejected)
      .With("generation", command.generation)
      .With("problems", std::uint64_t{command.problems.size()});
}

void ConfigActor::Do(const StopAdmitting& command) {
  deps_.hooks.admitting(command.reason);
}

void ConfigActor::Do(const ResumeAdmitting&) {
  deps_.hooks.admitting(Errc::kOk);
}

void ConfigActor::Update(const ConfigUpdateRequest& message) {
  const auto& request = message.request;
  const auto parsed = ParseConfig(request.document);
  ApplyResult result;
  result.problems = parsed.problems;
  result.hash = Sha256(request.document).value;
  if (!parsed.ok()) {
    result.code = Errc::kConfigInvalid;
    return message.done(std::move(result));
  }
  const bool proven = request.proven_hash == PolicyHashOf(parsed.config).value;
  if (deps_.require_proof && !proven) {
    result.code = Errc::kPromoteUnproven;
    return message.done(std::move(result));
  }
  std::make_shared<UpdateOperation>(message, deps_)->Start();
}

}  // namespace comfreyflow::node
