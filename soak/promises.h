/// The promises that hold whatever fails, checked against records.
#pragma once

#include <string>
#include <vector>

#include "soak/records.h"

namespace comfreyflow::soak {

/// Times and shares that the pages promise.
struct Bounds {
  Duration config = std::chrono::milliseconds(2000);
  Duration drain = std::chrono::milliseconds(2000);
  Duration evacuation = std::chrono::milliseconds(5000);
  Duration touch = std::chrono::milliseconds(3000);
  /// A target that wants nothing for a while may get what was on its way for so
  /// long, and this many requests afterwards.
  Duration rest_slack = std::chrono::milliseconds(500);
  std::size_t rest_requests = 2;
  /// A limit binds so long after it was first named: in any window its target
  /// gets the factor of what it allows and the slack at most, of the hosts that
  /// passed its word on by `limit_told` before.
  Duration limit_grace = std::chrono::milliseconds(3000);
  Duration limit_window = std::chrono::seconds(4);
  Duration limit_told = std::chrono::milliseconds(500);
  double limit_factor = 1.5;
  double limit_slack = 5;
  Duration late_answer = std::chrono::milliseconds(500);
  /// From the order to stop until the process is ended by force.
  Duration stop = std::chrono::seconds(4);
  /// What was sent later than this after the order to stop is never cut.
  Duration stop_sent = std::chrono::seconds(3);
  /// A request that reached no target may be cut so long after it was sent.
  Duration loss_slack = std::chrono::milliseconds(200);
  /// A configuration disturbs no request sent so long after its writing.
  Duration config_change = std::chrono::milliseconds(3000);
  Duration left = std::chrono::milliseconds(500);
  /// Beside hosts that start and are turned away by the store, others refuse
  /// nothing from so long after the start on.
  Duration turned_away = std::chrono::seconds(1);
  /// From the last disturbance until requests are served again.
  Duration recover = std::chrono::seconds(12);
  double recovered_share = 0.25;
  double repeat_ratio = 0.2;
  double repeat_slack = 100;
  Duration repeat_window = std::chrono::seconds(10);
  std::size_t attempts = 2;
  /// After the last use of memory that was set aside.
  Duration free_memory = std::chrono::seconds(4);
};

struct Breach {
  std::string promise;
  std::string request;  ///< Id; empty where no single one is at fault.
  std::string detail;
  bool is_before = false;  ///< By a host of the build before.
};

/// How often a promise was judged at all.
struct Judged {
  std::string promise;
  double judged = 0;  ///< In `unit`.
  double of = 0;      ///< Of so many that there were.
  const char* unit = "";
};

/// Of LOST and ORDER; `timed`: also of promises that name a time.
std::vector<Judged> CountJudged(const Records& records, const Bounds& bounds,
                                bool timed);

/// `timed`: also promises that name a time, which a busy machine can break.
std::vector<Breach> Check(const Records& records, const Bounds& bounds,
                          bool timed);

}  // namespace comfreyflow::soak
