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

/// A caller's checked request, to the entry actor.
struct CallArrived {
  CallPtr call;
};

/// Text of an answer came from a target, to the entry actor.
struct TextArrived {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string text;
  std::uint32_t tokens = 0;
};

/// The whole answer of a plain service, to the entry actor.
struct PlainAnswered {
  AttemptId attempt;
  http::Response response;
};

/// Anything else that happened, to the entry actor.
struct EntryPosted {
  EntryEvent event;
};

// ---- To the steward actor ----

/// Room on a target, for an attempt of any host.
struct ReserveWanted {
  TargetName target;
  ReservationRequest ask;
};
struct ReserveReleased {
  TargetName target;
  AttemptId attempt;
};
struct ReservePrefilled {
  TargetName target;
  AttemptId attempt;
};

/// The targets whose steward this host is now.
struct StewardshipsChanged {
  std::vector<TargetInfo> targets;
};

/// What a target said when it was polled.
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
/// A poll of the target has ended, whatever it gave.
struct PollEnded {
  TargetName target;
  int poll = 0;
};

/// To the steward actor: some host saw the target crash.
struct CrashSeen {
  TargetName target;
};

/// Life and death of hosts, for the sweeps and grants of all targets.
struct OwnerNews {
  std::variant<OwnerAlive, OwnerLost, OwnerAnswered> news;
};

/// To the entry actor: which of these attempts it does not own. `done` runs on
/// the actor.
struct OwnersAsked {
  std::vector<AttemptId> attempts;
  std::function<void(std::vector<AttemptId> unknown)> done;
};

/// A new generation of the configuration is in force.
struct ConfigApplied {
  std::shared_ptr<const Config> config;
};

/// Asks an actor for its state, as part of a dump. `done` runs on the actor.
struct DumpWanted {
  std::function<void(nlohmann::ordered_json)> done;
};

/// The timer service: sends `TimerTick` every `period` until `subscriber`
/// ends.
struct TimerSubscribe {
  caf::actor subscriber;
  Duration period;
};
struct TimerTick {
  Time now;
};

/// The supervisor started a child again; its subscriptions are gone.
struct PeerRestarted {
  std::string name;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CallArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TextArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PlainAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::EntryPosted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReserveWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReserveReleased)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ReservePrefilled)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::StewardshipsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::LoadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::AttemptsRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CacheRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PollEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OwnerNews)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::CrashSeen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OwnersAsked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigApplied)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::DumpWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerSubscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PeerRestarted)
