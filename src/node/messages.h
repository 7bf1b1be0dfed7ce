/// Messages between the actors of one process.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/entry.h"
#include "comfreyflow/steward.h"
#include "comfreyflow/sweep.h"
#include "node/call.h"

namespace comfreyflow::node {

/// To the entry actor: a caller's request, already validated.
struct CallArrived {
  CallPtr call;
};

/// To the entry actor: a target sent a part of an answer's text.
struct TextArrived {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string text;
  std::uint32_t tokens = 0;
};

/// To the entry actor: the complete response of a plain service.
struct PlainAnswered {
  AttemptId attempt;
  http::Response response;
};

/// To the entry actor: any other event.
struct EntryPosted {
  EntryEvent event;
};

// ---- To the steward actor ----

/// Requests, releases or updates the reservation of a target's capacity for an
/// attempt, which any host may own.
struct ReserveRequested {
  TargetName target;
  ReservationRequest reservation;
};
struct ReserveReleased {
  TargetName target;
  AttemptId attempt;
};
struct ReservePrefilled {
  TargetName target;
  AttemptId attempt;
};

/// The complete list of targets of which this host is now the steward.
struct StewardshipsChanged {
  std::vector<TargetInfo> targets;
};

/// Results of polling a target.
struct LoadRead {
  TargetReport report;
};
struct AttemptsRead {
  TargetName target;
  AttemptsListed list;
};
struct CacheRead {
  PrefixReported events;
};
/// A poll of the target has ended, successfully or not.
struct PollEnded {
  TargetName target;
  int poll = 0;
};

/// A host reported that the target crashed.
struct CrashReported {
  TargetName target;
};

/// The state of a host that may own attempts, for the sweeps of all targets.
struct OwnerUpdate {
  std::variant<OwnerAlive, OwnerLost, OwnerAnswered> update;
};

/// To the entry actor: asks which of these attempts this host does not own.
/// `done` runs on the actor.
struct OwnersQueried {
  std::vector<AttemptId> attempts;
  std::function<void(std::vector<AttemptId> unknown)> done;
};

/// A new generation of the configuration is in force.
struct ConfigApplied {
  std::shared_ptr<const Config> config;
};

/// Requests an actor's state for a diagnostic dump. `done` runs on the actor.
struct DumpRequested {
  std::function<void(nlohmann::ordered_json)> done;
};

/// To the timer service: send `TimerTick` every `period` until `subscriber`
/// ends.
struct TimerSubscribe {
  caf::actor subscriber;
  Duration period;
};
struct TimerTick {
  Time now;
};

/// The supervisor restarted the named actor, which has lost its subscriptions.
struct ActorRestarted {
  std::string name;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CallArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TextArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PlainAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::EntryPosted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReserveRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReserveReleased)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReservePrefilled)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::StewardshipsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::LoadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::AttemptsRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CacheRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PollEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OwnerUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CrashReported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OwnersQueried)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigApplied)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::DumpRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerSubscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ActorRestarted)
