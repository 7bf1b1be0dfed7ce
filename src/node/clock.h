/// The machine's clocks. Only the shell (actors and I/O) reads them; decision
/// code receives the time as an argument.
#pragma once

#include "comfreyflow/types.h"

namespace comfreyflow::detail {

/// The host's monotonic clock.
Time Now();
/// An incarnation number for a process that starts now: milliseconds of the
/// system clock, so that a later start gets a higher number unless the clock
/// was set back.
Incarnation IncarnationFromClock();

}  // namespace comfreyflow::detail
