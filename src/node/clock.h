/// The machine's clocks, read by the shell only; decisions are told the time.
#pragma once

#include "comfreyflow/types.h"

namespace comfreyflow::detail {

/// The host's monotonic clock.
Time Now();
/// An incarnation number for a process that starts now.
Incarnation IncarnationFromClock();

}  // namespace comfreyflow::detail
