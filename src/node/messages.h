/// Messages between the actors of one process.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "comfreyflow/config.h"
#include "comfreyflow/entry.h"
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

/// A steward's wish for load and lists, or an entry's for a grant.
struct GrantWanted {
  AskGrant ask;
};
struct GrantReturned {
  ReleaseGrant release;
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::GrantWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::GrantReturned)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigApplied)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::DumpWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerSubscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TimerTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PeerRestarted)
