/// Hooks that put a deliberate fault between the decisions and their host, to
/// show that the exploration finds it. Empty hooks change nothing.
#pragma once

#include <functional>

#include "comfreyflow/claims.h"
#include "comfreyflow/entry.h"
#include "comfreyflow/sweep.h"

namespace comfreyflow::explore {

/// Each hook may change what passes, and returns false to swallow it.
struct Sabotage {
  std::function<bool(EntryEvent&)> entry_event;
  std::function<bool(EntryCommand&)> entry_command;
  std::function<bool(ClaimEvent&)> claim_event;
  std::function<bool(ClaimCommand&)> claim_command;
  std::function<bool(SweepEvent&)> sweep_event;
  std::function<bool(SweepCommand&)> sweep_command;
  std::function<void(ClaimSettings&)> claim_settings;
  /// Hosts take no notice of a target's word that it is leaving.
  bool ignore_leaving = false;
  /// A planned stop ends the process at once.
  bool stop_at_once = false;
  /// The store overwrites where it should create.
  bool store_overwrites = false;
  /// The shell gives each chunk to the caller, asked to or not.
  bool forward_unasked = false;
  /// The shell sends on a connection that it has given up.
  bool send_late = false;
  /// The shell sends a call again when its connection broke.
  bool resend_broken = false;
  /// The caller hears each final answer twice.
  bool answer_twice = false;
};

}  // namespace comfreyflow::explore
