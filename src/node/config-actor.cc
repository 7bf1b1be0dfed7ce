// Keeps the configuration current.
#include "node/config-actor.h"

#include <algorithm>
#include <utility>

#include "node/clock.h"
#include "node/log.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::Now;

constexpr const char* kKind = "config";
constexpr Duration kConfigTick = std::chrono::milliseconds(200);
constexpr Duration kWatchTime = std::chrono::seconds(20);
constexpr Duration kRetryRead = std::chrono::milliseconds(500);
/// Hosts without watch duty learn from peers; this is for those without any.
constexpr Duration kIdleRead = std::chrono::seconds(30);

ConfigSeen SeenOf(const PlatformObject& object) {
  return {object.version, object.value};
}

/// What answers of the store need, beyond the actor's life.
struct Writer {
  PlatformClient* platform;
  std::string environment;
  ActorRefPtr self;
};

/// The update may have taken effect: it has if the store holds the document at
/// a later version than the one it was made against.
void ReadBack(const Writer& writer, const ConfigWanted& message) {
  writer.platform->Read(
      kKind, writer.environment,
      [message, self = writer.self](const ReadAnswer& answer) {
        ApplyResult result;
        result.hash = Sha256(message.wanted.document).value;
        if (answer.error) {
          result.code = Errc::kPlatformUnavailable;
        } else if (answer.object.value == message.wanted.document &&
                   answer.object.version > message.wanted.generation) {
          result.generation = answer.object.version;
          self->Send(SeenOf(answer.object));
        } else {
          result.code = Errc::kConfigConflict;
        }
        message.done(std::move(result));
      });
}

void Written(const Writer& writer, const ConfigWanted& message,
             const WriteAnswer& answer) {
  if (answer.state == WriteState::kAnswerLost) return ReadBack(writer, message);
  ApplyResult result;
  result.hash = Sha256(message.wanted.document).value;
  if (answer.state == WriteState::kApplied) {
    result.generation = answer.version;
    writer.self->Send(ConfigSeen{answer.version, message.wanted.document});
  } else if (answer.error == Errc::kVersionConflict ||
             answer.error == Errc::kObjectNotFound) {
    result.code = Errc::kConfigConflict;
  } else {
    result.code = Errc::kPlatformUnavailable;
  }
  message.done(std::move(result));
}

}  // namespace

ConfigActor::ConfigActor(caf::actor_config& config, ConfigDeps deps)
    : caf::event_based_actor(config),
      deps_(std::move(deps)),
      last_contact_(Now()) {}

caf::behavior ConfigActor::make_behavior() {
  Subscribe();
  return {
      [this](const ConfigWanted& message) { Apply(message); },
      [this](const ConfigSeen& message) { TakeDocument(message); },
      [this](const StoreRead& message) { TakeRead(message); },
      [this](const PeerGeneration& message) { TakePeer(message); },
      [this](const WatchDuty& message) { watch_duty_ = message.on; },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const PeerRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void ConfigActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kConfigTick});
}

std::uint64_t ConfigActor::generation() const {
  const auto now = deps_.view->current();
  return now ? now->generation : 0;
}

void ConfigActor::Tick(Time now) {
  const bool reachable = now - last_contact_ < kConfigReach;
  if (reachable != reachable_) {
    reachable_ = reachable;
    deps_.hooks.reachable(reachable);
  }
  if (call_under_way_ || now < next_read_) return;
  call_under_way_ = true;
  if (read_once_ && watch_duty_) {
    Watch();
  } else {
    Read();
  }
}

void ConfigActor::Read() {
  deps_.platform->Read(kKind, deps_.environment,
                       [self = deps_.self](const ReadAnswer& answer) {
                         if (!answer.error) self->Send(SeenOf(answer.object));
                         self->Send(StoreRead{answer.error, 0});
                       });
}

void ConfigActor::Watch() {
  deps_.platform->Watch(kKind, watched_, kWatchTime,
                        [self = deps_.self, environment = deps_.environment](
                            const WatchAnswer& answer) {
                          for (const auto& change : answer.changes) {
                            if (change.name == environment && !change.deleted) {
                              self->Send(SeenOf(change));
                            }
                          }
                          self->Send(StoreRead{answer.error, answer.version});
                        });
}

void ConfigActor::TakeRead(const StoreRead& read) {
  call_under_way_ = false;
  const Time now = Now();
  const bool absent = read.error == Errc::kObjectNotFound;
  if (read.error && !absent) {
    next_read_ = now + kRetryRead;
    return;
  }
  last_contact_ = now;
  watched_ = std::max({watched_, read.version, generation()});
  read_once_ = true;
  next_read_ = watch_duty_ ? now : now + kIdleRead;
}

void ConfigActor::TakeDocument(const ConfigSeen& seen) {
  if (seen.generation <= generation()) return;
  auto parsed = ParseConfig(seen.text);
  if (!parsed.ok()) {
    LogLine(Severity::kError, "config_rejected")
        .With("generation", seen.generation)
        .With("problems", std::uint64_t{parsed.problems.size()});
    return;
  }
  auto next = std::make_shared<ConfigGeneration>();
  next->generation = seen.generation;
  next->text = seen.text;
  next->hash = Sha256(seen.text).value;
  next->config = std::move(parsed.config);
  deps_.hooks.apply(next);
}

void ConfigActor::TakePeer(const PeerGeneration& peer) {
  last_contact_ = Now();
  if (peer.generation > generation()) deps_.hooks.fetch_from_peer(peer.host);
}

void ConfigActor::Apply(const ConfigWanted& message) {
  const auto& wanted = message.wanted;
  ApplyResult result;
  const auto parsed = ParseConfig(wanted.document);
  result.problems = parsed.problems;
  result.hash = Sha256(wanted.document).value;
  if (!parsed.ok()) {
    result.code = Errc::kConfigInvalid;
  } else if (deps_.require_proof && wanted.proven_hash != result.hash) {
    result.code = Errc::kPromoteUnproven;
  } else {
    const Writer writer{deps_.platform, deps_.environment, deps_.self};
    const auto written = [writer, message](const WriteAnswer& answer) {
      Written(writer, message, answer);
    };
    if (wanted.generation == 0) {
      return deps_.platform->Create(kKind, deps_.environment, wanted.document,
                                    written);
    }
    return deps_.platform->Update(kKind, deps_.environment, wanted.generation,
                                  wanted.document, written);
  }
  message.done(std::move(result));
}

}  // namespace comfreyflow::node
